package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Guards against waiting for a lost response although another engine could still meet the target
// latency, and against giving up on an engine when no other attempt may follow.
func TestStallLimits(t *testing.T) {
	s := newSession(t, 3)
	require.Zero(t, s.call("/get/x").HeaderTimeout, "no latency is known yet")
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, FirstByte: 20 * time.Millisecond})
	require.Equal(t, 60*time.Millisecond, s.call("/get/x").HeaderTimeout)
	s.endAttempt(Stalled)
	require.Zero(t, must[Send](s).HeaderTimeout, "no other attempt may follow")
	s.call("/post/x")
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, FirstByte: 20 * time.Millisecond})
	require.Zero(t, s.call("/post/x").HeaderTimeout)
	s.r.cfg.RetryReserve = 0
	s.r.divideBudgets()
	require.Zero(t, s.call("/get/x").HeaderTimeout, "the budget is used up")
}

// Guards against an attempt that is ended as stalled although no other engine can take the request, and against
// a late report that ends the attempt after it.
func TestStalledAttemptEndsOnlyForAnotherEngine(t *testing.T) {
	ended := func(s *session) bool {
		_, ok := find[EndStalledAttempt](s)
		return ok
	}
	s := newSession(t, 2)
	first := s.call("/chat/x")
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.True(t, ended(s))
	s.endAttempt(Stalled)
	require.NotEqual(t, first.Engine.ID, must[Send](s).Engine.ID)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.False(t, ended(s), "the report is about the attempt before")
	s.endAttempt(Completed)

	first = s.call("/chat/x")
	other := map[fleet.EngineID]fleet.EngineID{"e0": "e1", "e1": "e0"}[first.Engine.ID]
	s.r.pools["s"].engines.SetQuiet(other, s.now+500*time.Millisecond)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.False(t, ended(s), "the other engine wants no requests")
	s.advance(500 * time.Millisecond)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.True(t, ended(s))
	s.endAttempt(Completed)

	first = s.call("/plan/x")
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.False(t, ended(s), "the request must not run again")
}
