package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/crashcause"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
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

// stalledBeside sends a stream to one of two engines, limits the other one, and reports whether the attempt ends when
// its engine is silent, and whether the request then goes on at another engine.
func stalledBeside(t *testing.T, limitOther func(s *session, pool *servicePool, other fleet.EngineID)) (ended, goesOn bool) {
	s := newSession(t, 2)
	first := s.call("/chat/x")
	other := map[fleet.EngineID]fleet.EngineID{"e0": "e1", "e1": "e0"}[first.Engine.ID]
	limitOther(s, s.r.pools["s"], other)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	if _, ended = find[EndStalledAttempt](s); !ended {
		return false, false
	}
	s.step(AttemptEnded{Call: s.last, Outcome: Stalled, Delivered: true})
	_, goesOn = find[Send](s)
	return true, goesOn
}

// Guards against a sound stream that is cut because its engine was silent for a moment: the other engine, for which
// its attempt is ended, does not get the request after all.
func TestStalledStreamIsNotCut(t *testing.T) {
	for name, limitOther := range map[string]func(*session, *servicePool, fleet.EngineID){
		"the queue of the other engine is long": func(s *session, pool *servicePool, other fleet.EngineID) {
			pool.engines.SetAnnouncedCounts(map[fleet.EngineTag]int{fleet.TagOf(other): 100})
			pool.engines.SetRate(s.now, map[fleet.EngineID]fleet.EngineID{"e0": "e1", "e1": "e0"}[other], placement.RateBound{Rate: 1, Burst: 1})
		},
		"the other engine has no free slot and may reject": func(_ *session, pool *servicePool, other fleet.EngineID) {
			pool.engines.SetAnnouncedCounts(map[fleet.EngineTag]int{fleet.TagOf(other): 8})
		},
		"an owner admits requests to the other engine": func(s *session, pool *servicePool, other fleet.EngineID) {
			pool.engines.SetRate(s.now, other, placement.RateBound{Rate: 1, Burst: 1, Owner: "i2"})
		},
		"the request is quarantined": func(s *session, _ *servicePool, _ fleet.EngineID) {
			require.True(t, s.r.poison.detector.Adopt(s.now, crashcause.Quarantine{Trait: s.r.calls[s.last].Fingerprint, Remaining: time.Minute}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			ended, goesOn := stalledBeside(t, limitOther)
			require.False(t, ended)
			require.False(t, goesOn)
		})
	}
}

// Guards against a stream that is cut because the owner of a rate limit does not admit it elsewhere, and against one
// that stays at a silent engine although the owner does.
func TestStalledStreamGoesOnWhereTheOwnerAdmitsIt(t *testing.T) {
	for _, admitted := range []bool{false, true} {
		s := newSession(t, 2)
		s.link(1)
		first := s.call("/chat/x")
		other := map[fleet.EngineID]fleet.EngineID{"e0": "e1", "e1": "e0"}[first.Engine.ID]
		s.r.pools["s"].engines.SetRate(s.now, other, placement.RateBound{Rate: 1, Burst: 1, Owner: "i2"})
		s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
		s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
		require.Len(t, s.r.tokens.pending, 1, "one question at a time")
		s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.EngineTokenReply{ID: s.r.tokens.lastID, Admitted: admitted}})
		_, ended := find[EndStalledAttempt](s)
		require.Equal(t, admitted, ended)
		if ended {
			s.step(AttemptEnded{Call: s.last, Outcome: Stalled, Delivered: true})
			require.Equal(t, other, must[Send](s).Engine.ID)
		}
		s.endAttempt(Completed)
		require.Empty(t, s.r.calls)
	}
}

// Guards against an admission that arrives after the silent engine has answered: the request must not run again.
func TestLateAdmissionOfAStalledRequest(t *testing.T) {
	s := newSession(t, 3)
	s.link(1)
	first := s.call("/get/x")
	for _, id := range []fleet.EngineID{"e0", "e1", "e2"} {
		if id != first.Engine.ID {
			s.r.pools["s"].engines.SetRate(s.now, id, placement.RateBound{Rate: 1, Burst: 1, Owner: "i2"})
		}
	}
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.Len(t, s.r.tokens.pending, 1)
	s.endAttempt(Completed)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.EngineTokenReply{ID: s.r.tokens.lastID, Admitted: true}})
	require.Empty(t, s.out)
}

// Guards against several streams that are ended for the last attempt of the retry budget: all but one are cut.
func TestStalledStreamsDoNotShareARetry(t *testing.T) {
	s := newSession(t, 3)
	type running struct {
		id     CallID
		engine fleet.EngineID
	}
	var streams []running
	for range 4 {
		send := s.call("/chat/x")
		streams = append(streams, running{s.last, send.Engine.ID})
	}
	pool := s.r.pools["s"]
	for pool.budget.Remaining(s.now) >= 2 {
		require.True(t, pool.budget.Allow(s.now))
	}
	var ended []CallID
	for _, c := range streams {
		s.step(AttemptStalled{Call: c.id, Engine: c.engine})
		if _, ok := find[EndStalledAttempt](s); ok {
			ended = append(ended, c.id)
		}
	}
	require.Len(t, ended, 1)
	for _, id := range ended {
		s.step(AttemptEnded{Call: id, Outcome: Stalled, Delivered: true})
		must[Send](s)
	}
}

// Guards against a stream that is cut because the engine that was to go on with it could not be reached: nothing was sent
// there, but the next attempt was counted as a further retry, of which none is left.
func TestStalledStreamGoesOnWhereItCanBeSent(t *testing.T) {
	for _, loadControl := range []bool{false, true} {
		s := newSession(t, 4)
		s.r.cfg.LoadControl = loadControl
		first := s.call("/chat/x")
		pool := s.r.pools["s"]
		for pool.budget.Remaining(s.now) >= 2 {
			require.True(t, pool.budget.Allow(s.now))
		}
		s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID, Delivered: true})
		must[EndStalledAttempt](s)
		s.step(AttemptEnded{Call: s.last, Outcome: Stalled, Delivered: true})
		must[Send](s)
		require.Less(t, pool.budget.Remaining(s.now), 1.0)
		s.step(AttemptEnded{Call: s.last, Outcome: Unsent, Delivered: true})
		must[Send](s)
		s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
		must[Refuse](s)
	}
}

// Guards against a second engine's response behind a part that was delivered after the silence was reported and
// before the attempt was ended for it.
func TestPartDeliveredBeforeAStalledAttemptEnds(t *testing.T) {
	for path, ended := range map[string]AttemptEnded{
		"/get/x":  {Outcome: Stalled, Delivered: true},
		"/chat/x": {Outcome: Stalled, Delivered: true, EndsWithoutID: true},
	} {
		t.Run(path, func(t *testing.T) {
			s := newSession(t, 3)
			first := s.call(path)
			s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
			must[EndStalledAttempt](s)
			ended.Call = s.last
			s.step(ended)
			_, sent := find[Send](s)
			require.False(t, sent)
			must[Refuse](s)
		})
	}
}

// Guards against the same while the owner of a rate limit is asked, which takes far longer.
func TestPartDeliveredBeforeTheOwnerAdmits(t *testing.T) {
	s := newSession(t, 2)
	s.link(1)
	first := s.call("/get/x")
	other := map[fleet.EngineID]fleet.EngineID{"e0": "e1", "e1": "e0"}[first.Engine.ID]
	s.r.pools["s"].engines.SetRate(s.now, other, placement.RateBound{Rate: 1, Burst: 1, Owner: "i2"})
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.EngineTokenReply{ID: s.r.tokens.lastID, Admitted: true}})
	must[EndStalledAttempt](s)
	s.step(AttemptEnded{Call: s.last, Outcome: Stalled, Delivered: true})
	_, sent := find[Send](s)
	require.False(t, sent)
}
