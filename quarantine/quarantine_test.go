package quarantine_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func ExampleTracker() {
	tracker := quarantine.New(quarantine.Config{})
	tracker.Crash(0, "engine-1", 1, []fleet.Fingerprint{7, 8})
	tracker.Crash(time.Second, "engine-2", 1, []fleet.Fingerprint{7})
	fmt.Println(tracker.Check(time.Second, 7), tracker.Check(time.Second, 8).State)
	// Output: {quarantined 10m1s} suspect
}

// Guards against a poison fingerprint that costs a third engine, and against innocents that are
// quarantined although suspects never shared an engine. The poison crashes its engine after a
// random time and is sent again; the other requests of that engine are sent again too.
func TestPoisonCostsTwoEnginesAndSparesInnocents(t *testing.T) {
	const poison = fleet.Fingerprint(1 << 40)
	rapid.Check(t, func(t *rapid.T) {
		tracker, peer := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
		engines := make([][]fleet.Fingerprint, rapid.IntRange(1, 6).Draw(t, "engines"))
		fresh, lost, at := fleet.Fingerprint(1), 0, -1
		var again []fleet.Fingerprint
		for step := range 60 {
			now := time.Duration(step) * time.Second
			e := rapid.IntRange(0, len(engines)-1).Draw(t, "engine")
			request := fresh
			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0 && at >= 0:
				strikes := tracker.Crash(now, fleet.EngineID(fmt.Sprint(at)), uint64(step), engines[at])
				peer.Merge(now, append(strikes, strikes...))
				again = append(again, engines[at]...)
				engines[at], at, lost = nil, -1, lost+1
				continue
			case kind == 0:
				request = poison
			case kind == 1 && len(again) > 0:
				request, again = again[0], again[1:]
			default:
				fresh++
			}
			if (request == poison && at >= 0) || !tracker.MayRun(now, request, engines[e]) {
				continue
			}
			engines[e] = append(engines[e], request)
			if request == poison {
				at = e
			}
		}
		require.LessOrEqual(t, lost, 2)
		end := 60 * time.Second
		require.Equal(t, tracker.Strikes(end), peer.Strikes(end))
		for f := fleet.Fingerprint(1); f < fresh; f++ {
			require.NotEqual(t, quarantine.Quarantined, tracker.Check(end, f).State)
		}
	})
}

// Guards against strikes that outlive their time and a table without a bound.
func TestExpiryAndBound(t *testing.T) {
	tracker := quarantine.New(quarantine.Config{MaxFingerprints: 3, StrikeLife: time.Minute})
	tracker.Crash(0, "a", 1, []fleet.Fingerprint{1, 2, 3, 4})
	require.Equal(t, 3, tracker.Len())
	tracker.Crash(2*time.Minute, "b", 1, []fleet.Fingerprint{4})
	require.Equal(t, quarantine.Suspect, tracker.Check(2*time.Minute, 4).State)
	tracker.Tick(4 * time.Minute)
	require.Zero(t, tracker.Len())
}

// Guards against strikes that two peers pass to each other without end because one of them
// has no place or no more use for them, and against a joiner that misses a quarantine.
func TestStrikesAreNotPassedOnTwice(t *testing.T) {
	tracker, joiner := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	old := []quarantine.Strike{{Engine: "e", Fingerprint: 1, Age: 11 * time.Minute}}
	require.Empty(t, tracker.Merge(0, old))
	for i := range uint64(8) {
		tracker.Crash(0, "a", i, []fleet.Fingerprint{1})
	}
	require.Empty(t, tracker.Merge(0, []quarantine.Strike{{Engine: "b", Fingerprint: 1, Age: time.Minute}}))
	tracker.Crash(9*time.Minute, "a", 9, []fleet.Fingerprint{1})
	at := 15 * time.Minute
	joiner.Merge(at, tracker.Strikes(at))
	require.Equal(t, tracker.Check(at, 1), joiner.Check(at, 1))
	require.Equal(t, quarantine.Quarantined, joiner.Check(at, 1).State)
}
