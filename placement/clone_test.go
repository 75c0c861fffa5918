package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/statedump"
)

// drawPool returns a pool of random engines in random states, and its random source.
func drawPool(t *rapid.T, now time.Duration) (*Pool, *rand.PCG) {
	rng := rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)
	p := New(Config{Forecast: true}, rand.New(rng))
	var engines []Engine
	for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
		engines = append(engines, Engine{ID: fleet.EngineID(fmt.Sprintf("e%d", i)), Slots: 4, Draining: rapid.IntRange(0, 5).Draw(t, "draining") == 0,
			Evacuated: rapid.IntRange(0, 5).Draw(t, "evacuated") == 0, QuietUntil: time.Duration(rapid.IntRange(0, 2).Draw(t, "quiet")) * now})
	}
	p.SetEngines(0, engines)
	p.SetShortestTarget(100 * time.Millisecond)
	for range 10 {
		p.RecordFirstEvent(Reading{Tokens: 100}, 10*time.Millisecond)
		p.RecordFirstEvent(Reading{Tokens: 4000}, 90*time.Millisecond)
	}
	for i, e := range engines {
		for range rapid.IntRange(0, 6).Draw(t, "load") {
			p.Started(e.ID)
		}
		p.RecordPace(now, fleet.TagOf(e.ID), time.Duration(1+rapid.IntRange(0, 4).Draw(t, "pace"))*time.Millisecond, 1)
		p.ReadingStarted(now, e.ID, uint64(i), 400*rapid.IntRange(0, 20).Draw(t, "unread"))
		p.RecordPromptRead(now, e.ID, uint64(rapid.IntRange(1, 4).Draw(t, "read")))
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0:
			p.Failed(now, e.ID, Unreachable, 0)
		case 1:
			p.Failed(0, e.ID, Unreachable, 0)
		case 2:
			p.SetRate(0, e.ID, RateBound{Rate: float64(rapid.IntRange(0, 2).Draw(t, "rate")), Burst: 2})
		case 3:
			p.SetRate(0, e.ID, RateBound{Rate: 2, Burst: 2, Owner: "i2"})
		case 4:
			p.SetWarmUp(0, e.ID, WarmUp{Until: 2 * now, Rate: float64(rapid.IntRange(0, 1).Draw(t, "warm-up"))})
		case 5:
			p.RecordLoadReport(now, e.ID, Load{Running: rapid.IntRange(0, 6).Draw(t, "reported"), Slots: 4, PacePercent: 150})
		}
	}
	return p, rng
}

func drawRequest(t *rapid.T) Request {
	r := Request{Key: uint64(rapid.IntRange(0, 5).Draw(t, "key")), AvoidAsking: rapid.Bool().Draw(t, "asked"), AvoidRecentlyPaused: rapid.Bool().Draw(t, "not repeatable"),
		AvoidLost: rapid.Bool().Draw(t, "runs")}
	if rapid.Bool().Draw(t, "tokens") {
		r.Tokens, r.TargetLeft = Tokens{Prompt: 12_000 * rapid.IntRange(1, 2).Draw(t, "prompt") / 2, Own: 50}, 100*time.Millisecond
	}
	if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
		r.Exclude = []fleet.EngineID{"e0"}
	}
	return r
}

// Guards against a clone that chooses differently, or whose choices, tokens and counts reach the pool; and against an engine
// that is listed as excluded although it may get the request, or the other way round.
func TestCloneChoosesAlikeAndCandidatesAreTrue(t *testing.T) {
	const now = 10 * time.Second
	skipped := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		p, state := drawPool(t, now)
		request := drawRequest(t)
		before := statedump.Dump(p)
		clone := func() *Pool {
			copied := *state
			return p.Clone(rand.New(&copied))
		}
		require.Subset(t, []string{"ranking", "model"}, statedump.Shared(p, clone()))
		candidates, mean := clone().Candidates(now, request)
		c := clone()
		choice, ok := c.Choose(now, request)
		c.Started(choice.Engine.ID)
		c.TakeToken(now, choice.Engine.ID)
		c.ReadingStarted(now, choice.Engine.ID, request.Key, 100)
		require.Equal(t, before, statedump.Dump(p), "the pool has changed")

		for _, candidate := range candidates {
			m := p.members[candidate.Engine.ID]
			require.Equal(t, p.usable(now, m, request), len(candidate.Excluded) == 0, "%v", candidate)
			skipped[candidate.Skipped]++
		}
		if request.Key != 0 {
			checkFirst(t, candidates, choice)
		}
		chosen, chosenOK := p.Choose(now, request)
		require.Equal(t, ok, chosenOK)
		require.Equal(t, choice, chosen)
		if ok {
			require.Equal(t, mean, choice.Mean)
			i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Engine.ID == choice.Engine.ID })
			require.Equal(t, candidates[i].Load, choice.Load)
			require.Equal(t, candidates[i].Reading, choice.Reading)
		}
	})
	t.Log(skipped)
}

// checkFirst checks that a choice of the first search is the first candidate that nothing keeps from the request.
func checkFirst(t *rapid.T, candidates []Candidate, choice Choice) {
	first := slices.IndexFunc(candidates, func(c Candidate) bool { return len(c.Excluded) == 0 && c.Skipped == "" })
	if first >= 0 && (choice.Reason == FirstChoice || choice.Reason == Overflow) {
		passedOver := slices.ContainsFunc(candidates[:first], func(c Candidate) bool { return c.Engine.ID == choice.Engine.ID && c.Skipped != "" })
		require.True(t, choice.Engine.ID == candidates[first].Engine.ID || passedOver, "%v, not %v", choice.Engine.ID, candidates[first].Engine.ID)
	}
}
