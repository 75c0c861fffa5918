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

// Guards against a fingerprint that crashes a third engine, and against harmless requests that are
// quarantined although no two suspects shared an engine. The poison request is the one that crashes
// engines: its engine crashes after a random time, and all requests of that engine are sent again.
func TestPoisonCostsTwoEnginesAndSparesInnocents(t *testing.T) {
	const poison = fleet.Fingerprint(1 << 40)
	rapid.Check(t, func(t *rapid.T) {
		tracker, peer := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
		engines := make([][]fleet.Fingerprint, rapid.IntRange(1, 6).Draw(t, "engines"))
		nextFingerprint, enginesLost, poisonedEngine := fleet.Fingerprint(1), 0, -1
		var resent []fleet.Fingerprint
		for step := range 60 {
			now := time.Duration(step) * time.Second
			e := rapid.IntRange(0, len(engines)-1).Draw(t, "engine")
			request := nextFingerprint
			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0 && poisonedEngine >= 0:
				strikes := tracker.Crash(now, fleet.EngineID(fmt.Sprint(poisonedEngine)), uint64(step), engines[poisonedEngine])
				peer.Merge(now, append(strikes, strikes...))
				resent = append(resent, engines[poisonedEngine]...)
				engines[poisonedEngine], poisonedEngine, enginesLost = nil, -1, enginesLost+1
				continue
			case kind == 0:
				request = poison
			case kind == 1 && len(resent) > 0:
				request, resent = resent[0], resent[1:]
			default:
				nextFingerprint++
			}
			if (request == poison && poisonedEngine >= 0) || !tracker.MayRunBeside(now, request, engines[e]) {
				continue
			}
			engines[e] = append(engines[e], request)
			if request == poison {
				poisonedEngine = e
			}
		}
		require.LessOrEqual(t, enginesLost, 2)
		end := 60 * time.Second
		require.Equal(t, tracker.Strikes(end), peer.Strikes(end))
		for f := fleet.Fingerprint(1); f < nextFingerprint; f++ {
			require.NotEqual(t, quarantine.Quarantined, tracker.Check(end, f).State)
		}
	})
}

// Guards against strikes that still count after StrikeLife, and against an unbounded number of
// fingerprints.
func TestExpiryAndBound(t *testing.T) {
	tracker := quarantine.New(quarantine.Config{MaxFingerprints: 3, StrikeLife: time.Minute})
	tracker.Crash(0, "a", 1, []fleet.Fingerprint{1, 2, 3, 4})
	require.Equal(t, 3, tracker.Len())
	tracker.Crash(2*time.Minute, "b", 1, []fleet.Fingerprint{4})
	require.Equal(t, quarantine.Suspect, tracker.Check(2*time.Minute, 4).State)
	tracker.Tick(4 * time.Minute)
	require.Zero(t, tracker.Len())
}

// Guards against strikes that two peers pass to each other without end because one of them drops them
// as expired or beyond its limit, and against a joining instance that misses a quarantine.
func TestStrikesAreNotPassedOnTwice(t *testing.T) {
	tracker, joiner := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	expired := []quarantine.Strike{{Engine: "e", Fingerprint: 1, Age: 11 * time.Minute}}
	require.Empty(t, tracker.Merge(0, expired))
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
