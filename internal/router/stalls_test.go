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

// sentBeside returns the attempt that was sent beside a silent one.
func sentBeside(s *session) (Send, bool) {
	_, ended := find[EndStalledAttempt](s)
	require.False(s.t, ended, "a silent attempt goes on until the other one has begun to respond")
	send, ok := find[Send](s)
	return send, ok && send.Beside
}

// stall reports that an engine is silent and returns the attempt that is sent beside.
func (s *session) stall(engine fleet.EngineID, delivered bool) Send {
	s.step(AttemptStalled{Call: s.last, Engine: engine, Delivered: delivered})
	send, ok := sentBeside(s)
	require.True(s.t, ok)
	return send
}

// Guards against an attempt that is replaced as stalled although no other engine can take the request, and against a
// late report about the attempt before.
func TestStalledAttemptIsReplacedOnlyAtAnotherEngine(t *testing.T) {
	replaced := func(s *session) bool {
		_, ok := sentBeside(s)
		return ok
	}
	s := newSession(t, 2)
	first := s.call("/chat/x")
	second := s.stall(first.Engine.ID, false)
	require.NotEqual(t, first.Engine.ID, second.Engine.ID)
	s.endAttempt(Stalled)
	_, sent := find[Send](s)
	require.False(t, sent, "the other attempt goes on")
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.False(t, replaced(s), "the report is about the attempt before")
	s.endAttempt(Completed)

	first = s.call("/chat/x")
	other := map[fleet.EngineID]fleet.EngineID{"e0": "e1", "e1": "e0"}[first.Engine.ID]
	s.r.pools["s"].engines.SetQuiet(other, s.now+500*time.Millisecond)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.False(t, replaced(s), "the other engine wants no requests")
	s.advance(500 * time.Millisecond)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.True(t, replaced(s))
	s.endAttempt(Completed)

	first = s.call("/plan/x")
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.False(t, replaced(s), "the request must not run again")
}

// stalledBeside sends a stream to one of two engines, limits the other one, and reports whether the request is sent there
// when its engine is silent.
func stalledBeside(t *testing.T, limitOther func(s *session, pool *servicePool, other fleet.EngineID)) bool {
	s := newSession(t, 2)
	first := s.call("/chat/x")
	other := map[fleet.EngineID]fleet.EngineID{"e0": "e1", "e1": "e0"}[first.Engine.ID]
	limitOther(s, s.r.pools["s"], other)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	_, replaced := sentBeside(s)
	return replaced
}

// Guards against a replacement of a silent attempt at an engine that can't take the request.
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
			require.False(t, stalledBeside(t, limitOther))
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
		send, replaced := sentBeside(s)
		require.Equal(t, admitted, replaced)
		if replaced {
			require.Equal(t, other, send.Engine.ID)
			s.step(AttemptEnded{Call: s.last, Outcome: Stalled, Delivered: true})
			require.Len(t, s.r.calls, 1)
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

// Guards against several streams that are replaced with the last attempt of the retry budget.
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
	replaced := 0
	for _, c := range streams {
		s.step(AttemptStalled{Call: c.id, Engine: c.engine})
		if _, ok := sentBeside(s); ok {
			replaced++
		}
	}
	require.Equal(t, 1, replaced)
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
		second := s.stall(first.Engine.ID, true)
		s.step(AttemptEnded{Call: s.last, Outcome: Stalled, Delivered: true})
		require.Less(t, pool.budget.Remaining(s.now), 1.0)
		s.step(AttemptEnded{Call: s.last, Engine: second.Engine.ID, Outcome: Unsent, Delivered: true})
		must[Send](s)
		s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
		must[Refuse](s)
	}
}

// Guards against a second engine's response behind a part that was delivered after the silence was reported and
// before the other attempt began to respond.
func TestPartDeliveredBeforeAStalledAttemptEnds(t *testing.T) {
	for path, ended := range map[string]AttemptEnded{
		"/get/x":  {Outcome: Broken, Delivered: true},
		"/chat/x": {Outcome: Broken, Delivered: true, EndsWithoutID: true},
	} {
		t.Run(path, func(t *testing.T) {
			s := newSession(t, 3)
			first := s.call(path)
			second := s.stall(first.Engine.ID, false)
			ended.Call = s.last
			s.step(ended)
			require.Empty(t, findAll[Refuse](s), "the other attempt is still under way")
			ended.Engine, ended.Outcome = second.Engine.ID, Superseded
			s.step(ended)
			_, sent := find[Send](s)
			require.False(t, sent)
			must[Refuse](s)
		})
	}
}

// findAll returns the effects of a type in the last step.
func findAll[E any](s *session) []E {
	var list []E
	for _, effect := range s.out {
		if e, ok := effect.(E); ok {
			list = append(list, e)
		}
	}
	return list
}

// Guards against a request that ends, or is sent on, because one of its two attempts has failed, and against a count of
// running requests that does not fall to zero.
func TestOneOfTwoAttemptsFails(t *testing.T) {
	for _, outcome := range []Outcome{Unsent, Rejected, Misdirected, Errored, Broken, Stalled, TimedOut, Interrupted} {
		for _, olderFails := range []bool{false, true} {
			s := newSession(t, 4)
			first := s.call("/chat/x")
			second := s.stall(first.Engine.ID, true)
			failing, other := second, first
			if olderFails {
				failing, other = first, second
			}
			s.step(AttemptEnded{Call: s.last, Engine: failing.Engine.ID, Outcome: outcome, Delivered: true, Discarded: !olderFails})
			require.Empty(t, findAll[Refuse](s), "%v", outcome)
			_, sent := find[Send](s)
			require.False(t, sent, "%v", outcome)
			require.Equal(t, other.Engine.ID, s.r.calls[s.last].engine)
			require.Len(t, s.r.runningCounts(), 1)
			s.step(AttemptEnded{Call: s.last, Engine: other.Engine.ID, Outcome: Completed, Delivered: true})
			require.True(t, must[Release](s).Complete)
			require.Empty(t, s.r.runningCounts())
			require.Empty(t, s.r.calls)
		}
	}
}

// Guards against a silent stream that is cut because the engines that were to go on with it rejected it, until no try
// and no retry is left.
func TestSilentStreamOutlastsItsReplacements(t *testing.T) {
	for _, loadControl := range []bool{false, true} {
		s := newSession(t, 6)
		s.r.cfg.LoadControl = loadControl
		first := s.call("/chat/x")
		tries := 1
		for range 6 {
			s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID, Delivered: true})
			if send, ok := sentBeside(s); ok {
				tries++
				s.step(AttemptEnded{Call: s.last, Engine: send.Engine.ID, Outcome: Rejected, Delivered: true})
				require.Empty(t, findAll[Refuse](s))
			}
			s.advance(50 * time.Millisecond)
		}
		require.Equal(t, maxTries, tries)
		s.step(AttemptEnded{Call: s.last, Engine: first.Engine.ID, Outcome: Completed, Delivered: true})
		require.True(t, must[Release](s).Complete)
	}
}

// Guards against more engines at work for a request than its route allows.
func TestAttemptsAtOnceCountAgainstMaxAttempts(t *testing.T) {
	s := newSession(t, 6)
	first := s.call("/chat/x")
	allowed := s.r.table.Lookup("h", "/chat/x").MaxAttempts
	engine, runs := first.Engine.ID, 1
	for range 6 {
		s.step(AttemptStalled{Call: s.last, Engine: engine, Delivered: true})
		if send, ok := sentBeside(s); ok {
			runs++
			s.step(AttemptEnded{Call: s.last, Engine: send.Engine.ID, Outcome: Broken, Delivered: true})
		}
	}
	require.Equal(t, allowed, runs)
}

// Guards against a request that is answered twice, or that stays open, when its silent attempt completes before the end
// of the one beside it is reported.
func TestSilentAttemptCompletesBesideAnother(t *testing.T) {
	for _, outcome := range []Outcome{Completed, CallerLeft} {
		s := newSession(t, 3)
		first := s.call("/get/x")
		second := s.stall(first.Engine.ID, false)
		s.step(AttemptEnded{Call: s.last, Engine: first.Engine.ID, Outcome: outcome, Delivered: true})
		require.Equal(t, outcome == Completed, must[Release](s).Complete)
		s.step(AttemptStalled{Call: s.last, Engine: second.Engine.ID})
		require.Empty(t, s.out)
		s.step(CallerDisconnected{Call: s.last})
		require.Empty(t, s.out)
		s.step(AttemptEnded{Call: s.last, Engine: second.Engine.ID, Outcome: Superseded})
		for _, e := range s.out {
			_, command := e.(Command)
			require.False(t, command)
		}
		require.Empty(t, s.r.calls)
		require.Empty(t, s.r.runningCounts())
	}
}

// Guards against a request that stays at two silent engines although a third one can take it, against three attempts at
// once, and against a stream that is cut because its engine was ended before another one had begun.
func TestThirdEngineReplacesTheYoungerOfTwoSilentAttempts(t *testing.T) {
	s := newSession(t, 4)
	s.r.table.Lookup("h", "/get/x").MaxAttempts = 3
	first := s.call("/get/x")
	second := s.stall(first.Engine.ID, false)
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	require.Empty(t, s.out, "the older one is known to be silent")
	s.step(AttemptStalled{Call: s.last, Engine: second.Engine.ID})
	require.Equal(t, EndStalledAttempt{Call: s.last, Engine: second.Engine.ID}, must[EndStalledAttempt](s))
	_, sent := find[Send](s)
	require.False(t, sent)
	s.step(AttemptEnded{Call: s.last, Engine: second.Engine.ID, Outcome: Stalled})
	require.Empty(t, findAll[Command](s), "the older one goes on")
	third := s.stall(first.Engine.ID, false)
	require.NotContains(t, []fleet.EngineID{first.Engine.ID, second.Engine.ID}, third.Engine.ID)
	s.step(AttemptStalled{Call: s.last, Engine: third.Engine.ID})
	require.Empty(t, s.out, "no further attempt is allowed")
	s.step(AttemptEnded{Call: s.last, Engine: third.Engine.ID, Outcome: Broken})
	require.Empty(t, findAll[Command](s), "the first engine may still go on")
}

// Guards against a failure response that is delivered although it was discarded, and against one that was held back and
// is not delivered.
func TestFailuresOfTwoAttempts(t *testing.T) {
	s := newSession(t, 3)
	first := s.call("/get/x")
	second := s.stall(first.Engine.ID, false)
	s.step(AttemptEnded{Call: s.last, Engine: first.Engine.ID, Outcome: Broken})
	s.step(AttemptEnded{Call: s.last, Engine: second.Engine.ID, Outcome: Errored, Discarded: true})
	must[Refuse](s)
	first = s.call("/get/x")
	second = s.stall(first.Engine.ID, false)
	s.step(AttemptEnded{Call: s.last, Engine: first.Engine.ID, Outcome: Errored})
	s.step(AttemptEnded{Call: s.last, Engine: second.Engine.ID, Outcome: Broken})
	must[DeliverFailure](s)
}

// Guards against a second attempt for a response that the caller has a part of by the time the owner of a rate limit
// admits the request elsewhere.
func TestPartDeliveredBeforeTheOwnerAdmits(t *testing.T) {
	s := newSession(t, 2)
	s.link(1)
	first := s.call("/get/x")
	other := map[fleet.EngineID]fleet.EngineID{"e0": "e1", "e1": "e0"}[first.Engine.ID]
	s.r.pools["s"].engines.SetRate(s.now, other, placement.RateBound{Rate: 1, Burst: 1, Owner: "i2"})
	s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.EngineTokenReply{ID: s.r.tokens.lastID, Admitted: true}})
	second, ok := sentBeside(s)
	require.True(t, ok)
	s.step(AttemptEnded{Call: s.last, Engine: second.Engine.ID, Outcome: Superseded, Delivered: true})
	s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
	_, sent := find[Send](s)
	require.False(t, sent)
}
