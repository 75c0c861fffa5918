package notice_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/notice"
)

// Guards against a departure that holds for the next process of an engine, that is told twice, or that
// never ends.
func TestDepartures(t *testing.T) {
	tracker := notice.NewTracker()
	first, second := notice.Run{Engine: "e", Incarnation: 1}, notice.Run{Engine: "e", Incarnation: 2}
	require.True(t, tracker.ObserveLeaving(time.Second, first))
	require.False(t, tracker.ObserveLeaving(2*time.Second, first))
	require.True(t, tracker.Leaving(first))
	require.False(t, tracker.Leaving(second))
	require.Equal(t, []notice.Departure{{Run: first, Age: time.Second}}, tracker.TakeUntold(3*time.Second))
	require.Empty(t, tracker.TakeUntold(3*time.Second))
	require.Len(t, tracker.Departures(3*time.Second), 1)
	tracker.Forget("e")
	require.True(t, tracker.Leaving(first), "the engine may be registered again while it leaves")
	require.False(t, tracker.Expire(9*time.Minute))
	require.True(t, tracker.Expire(11*time.Minute))
	require.False(t, tracker.Leaving(first))
}

// Guards against a departure of an engine without a start time that holds for its next process.
func TestDepartureWithoutStartTimeEndsWithItsRegistration(t *testing.T) {
	tracker := notice.NewTracker()
	run := notice.Run{Engine: "e"}
	tracker.ObserveLeaving(0, run)
	tracker.ObserveQuiet(0, run, time.Second, 0)
	tracker.Forget("e")
	require.False(t, tracker.Leaving(run))
	require.Zero(t, tracker.QuietUntil(run))
}

// Guards against departures that peers keep telling each other for ever.
func TestPeersDepartureKeepsItsAge(t *testing.T) {
	tracker := notice.NewTracker()
	run := notice.Run{Engine: "e", Incarnation: 1}
	now := 20 * time.Minute
	require.False(t, tracker.MergeLeaving(now, notice.Departure{Run: run, Age: 11 * time.Minute}))
	require.True(t, tracker.MergeLeaving(now, notice.Departure{Run: run, Age: 9 * time.Minute}))
	require.False(t, tracker.HasUntold())
	require.Equal(t, 9*time.Minute, tracker.Departures(now)[0].Age)
	require.True(t, tracker.Expire(now+time.Minute))
}

// Guards against a quiet time that ends before the time that the engine named, that lasts longer than its
// bound, or that a later and shorter one cuts.
func TestQuietTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := notice.NewTracker()
		run := notice.Run{Engine: "e", Incarnation: 1}
		now, end := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 8).Draw(t, "notices") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pause"))
			named := time.Duration(rapid.Int64Range(-1, int64(2*time.Minute)).Draw(t, "named"))
			until := tracker.ObserveQuiet(now, run, named, rapid.Float64Range(0, 1).Draw(t, "random"))
			end = max(end, now+min(named, notice.MaxQuietTime))
			if until < end || until > now+notice.MaxQuietTime+time.Second {
				t.Fatalf("quiet until %v, named until %v at %v", until, end, now)
			}
			tracker.Expire(end - 1)
			if end > now && tracker.QuietUntil(run) < end {
				t.Fatalf("the quiet time ended early")
			}
		}
		tracker.Expire(now + 2*time.Minute)
		if tracker.QuietUntil(run) != 0 {
			t.Fatalf("the quiet time did not end")
		}
	})
}
