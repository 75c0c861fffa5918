package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
)

// Guards against a limit that outlasts its end because the engine is a little slower than others that are
// idle and gets no request in whose response it would name none.
func TestSlowEngineWithALimitIsStillAsked(t *testing.T) {
	p := pool(3)
	for range 10 {
		for _, id := range []fleet.EngineID{"e0", "e1", "e2"} {
			latency := 10 * time.Millisecond
			if id == "e0" {
				latency *= 2
			}
			p.Succeeded(0, id, latency, 10*time.Millisecond)
		}
	}
	p.SetRate(0, "e0", placement.RateBound{Rate: 1, Burst: 1})
	requests := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if c := choose(t, p, now, placement.Request{}); c.Engine.ID == "e0" {
			p.TakeToken(now, "e0")
			requests++
		}
	}
	require.InDelta(t, 5, requests, 1, "a token a second, of which one is used after it was unused for a second")
}

// Guards against prompts that alternate between an engine with a rate limit and another one, so that both
// must read them.
func TestEngineWithALimitKeepsTheSamePrompts(t *testing.T) {
	p := pool(6)
	const limited = fleet.EngineID("e0")
	p.SetRate(0, limited, placement.RateBound{Rate: 5, Burst: 8})
	var keys []uint64
	for key := uint64(1); len(keys) < 40; key++ {
		if choose(t, pool(6), 0, placement.Request{Key: key}).Engine.ID == limited {
			keys = append(keys, key)
		}
	}
	at := map[uint64]map[fleet.EngineID]bool{}
	served, now := 0, time.Duration(0)
	for round := range 60 {
		for _, key := range keys {
			now += 50 * time.Millisecond
			c := choose(t, p, now, placement.Request{Key: key})
			if c.Engine.ID == limited {
				p.TakeToken(now, limited)
				served++
			}
			if round >= 5 {
				if at[key] == nil {
					at[key] = map[fleet.EngineID]bool{}
				}
				at[key][c.Engine.ID] = true
			}
		}
	}
	alternating := 0
	for _, engines := range at {
		require.LessOrEqual(t, len(engines), 2)
		if len(engines) > 1 {
			alternating++
		}
	}
	require.LessOrEqual(t, float64(served), 5*now.Seconds()+8)
	require.Greater(t, float64(served), 0.6*5*now.Seconds())
	require.LessOrEqual(t, alternating, len(keys)/2)
}
