package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/warmup"
)

// pool returns the pool of the session's service.
func (s *session) pool() *servicePool { return s.r.pools["s"] }

// tickFor passes ticks for a time, with a request each time if arrive is set, and returns how many requests were sent and
// the codes of those that were refused.
func (s *session) tickFor(d time.Duration, arrive bool) (sent int, refused map[string]int) {
	refused = make(map[string]int)
	count := func() {
		for _, e := range s.out {
			switch e := e.(type) {
			case Send:
				sent++
			case Refuse:
				refused[e.Code]++
			}
		}
	}
	for end := s.now + d; s.now < end; {
		s.advance(50 * time.Millisecond)
		s.step(Tick{})
		count()
		if arrive {
			s.arriveAt("/chat/x")
			count()
		}
	}
	return sent, refused
}

// Guards against prompts that wait for turns, which cold engines don't give, while all engines are cold: the shares of the
// cold engines would stay unused, and callers would not be told when there is a token.
func TestPromptsDoNotWaitForTurnsOfColdEngines(t *testing.T) {
	s := newWaitSession(t, 2, 0)
	for _, id := range []fleet.EngineID{"e0", "e1"} {
		s.pool().engines.SetWarmUp(s.now, id, placement.WarmUp{Until: time.Minute, Rate: 2})
	}
	sent, refused := s.tickFor(3*time.Second, true)
	require.InDelta(t, 11, sent, 1, "two engines with two requests a second each")
	require.Equal(t, map[string]int{"warming_up": 60 - sent}, refused)
	require.Zero(t, s.r.waiting.queue.Len())
}

// Guards against requests that wait while a cold engine may get one of them and has a free slot, and against more requests
// to a cold engine than its warm-up admits.
func TestWaitingRequestsUseTheTokensOfColdEngines(t *testing.T) {
	s := newWaitSession(t, 1, 8)
	s.step(KeysChanged{Facts: registrations("ready", "engines/e1"), AtRevision: 101})
	s.advance(roomLife)
	s.pool().engines.SetWarmUp(s.now, "e1", placement.WarmUp{Until: time.Minute, Rate: 4, Phase: 1})
	_, sent := s.arriveAt("/chat/x")
	require.True(t, sent, "e1 has a token")
	require.Equal(t, fleet.EngineID("e1"), must[Send](s).Engine.ID)
	id, sent := s.arriveAt("/chat/x")
	require.False(t, sent)
	require.True(t, s.hasDecision("call_waits"))
	n, refused := s.tickFor(200*time.Millisecond, false)
	require.Zero(t, n)
	require.Empty(t, refused)
	s.advance(50 * time.Millisecond)
	s.step(Tick{})
	send := must[Send](s)
	require.Equal(t, id, send.Call)
	require.Equal(t, fleet.EngineID("e1"), send.Engine.ID)
}

// Guards against a whole service that waits because one request may only go to full engines, while others have room.
func TestRequestForFullEnginesHoldsNobodyUp(t *testing.T) {
	s := newWaitSession(t, 1, 8)
	s.step(KeysChanged{Facts: registrations("ready", "engines/e1"), AtRevision: 101})
	s.advance(roomLife)
	first := s.call("/chat/x")
	require.Equal(t, fleet.EngineID("e1"), first.Engine.ID)
	s.step(AttemptEnded{Call: first.Call, Outcome: Errored, FirstByte: time.Millisecond})
	require.Equal(t, fleet.EngineID("e0"), must[Send](s).Engine.ID, "seven sixteenths of the slots are free")
	for range 4 {
		_, sent := s.arriveAt("/chat/x")
		require.True(t, sent)
	}
}

// Guards against requests that wait behind one that may only go to full engines although turns are left.
func TestRequestsPassOneThatNoFreeSlotIsFor(t *testing.T) {
	s := newWaitSession(t, 1, 8)
	s.step(KeysChanged{Facts: registrations("ready", "engines/e1"), AtRevision: 101})
	s.advance(roomLife)
	var last Send
	for range 6 {
		last = s.call("/chat/x")
		require.Equal(t, fleet.EngineID("e1"), last.Engine.ID)
	}
	s.step(AttemptEnded{Call: last.Call, Outcome: Errored, FirstByte: time.Millisecond})
	require.True(t, s.hasDecision("call_waits"), "e0 is full, and few slots are free")
	s.pool().turns.saved = 0
	s.arriveAt("/chat/x")
	sent, _ := s.tickFor(100*time.Millisecond, false)
	require.Positive(t, sent)
}

// registrations returns facts that register engines.
func registrations(value string, keys ...string) []replica.Fact {
	list := make([]replica.Fact, len(keys))
	for i, key := range keys {
		list[i] = fact(uint64(101+i), key, value)
	}
	return list
}

// Guards against an attempt that is charged twice to the retry budget, because its request is placed again when an owner
// does not admit it.
func TestRetryIsChargedOnce(t *testing.T) {
	for _, loadControl := range []bool{false, true} {
		s := newSession(t, 2)
		s.r.cfg.LoadControl = loadControl
		first := s.call("/get/x")
		other := fleet.EngineID("e0")
		if first.Engine.ID == other {
			other = "e1"
		}
		s.pool().engines.SetRate(s.now, other, placement.RateBound{Rate: 10, Burst: 10, Owner: "i2"})
		before := s.pool().budget.Remaining(s.now)
		s.step(AttemptEnded{Call: first.Call, Outcome: Errored, FirstByte: time.Millisecond})
		require.Len(t, s.r.tokens.pending, 1)
		s.advance(askTimeout)
		s.step(Tick{})
		require.Empty(t, s.r.tokens.pending)
		require.Equal(t, before-1, s.pool().budget.Remaining(s.now))
	}
}

// Guards against a second charge for a replacement that could not be sent because its engine has left.
func TestReplacementIsChargedOnce(t *testing.T) {
	s := newSession(t, 3)
	first := s.call("/get/x")
	before := s.pool().budget.Remaining(s.now)
	s.step(AttemptStalled{Call: first.Call, Engine: first.Engine.ID})
	second, ok := sentBeside(s)
	require.True(t, ok)
	s.pool().engines.SetDraining(s.now, second.Engine.ID)
	s.step(AttemptEnded{Call: first.Call, Engine: second.Engine.ID, Outcome: Unsent})
	s.step(AttemptStalled{Call: first.Call, Engine: first.Engine.ID})
	third, ok := sentBeside(s)
	require.True(t, ok)
	require.NotEqual(t, second.Engine.ID, third.Engine.ID)
	require.Equal(t, before-1, s.pool().budget.Remaining(s.now))
}

// Guards against requests that wait until they are overdue although the last engine of their service has said that it
// leaves.
func TestWaitingEndsWhenTheLastEngineLeaves(t *testing.T) {
	s := newWaitSession(t, 1, 8)
	for range 3 {
		_, sent := s.arriveAt("/chat/x")
		require.False(t, sent)
	}
	e, _ := s.r.registry.Get("e0")
	s.r.engineLeaves(runOf(e), "test")
	_, refused := s.tickFor(50*time.Millisecond, false)
	require.Equal(t, map[string]int{"no_engine": 3}, refused)
}

// Guards against turns for slots that nobody may use: those of engines that drain or are cold.
func TestEngineThatTakesNoWorkGivesNoTurn(t *testing.T) {
	for name, hold := range map[string]func(s *session){
		"draining": func(s *session) { s.pool().engines.SetDraining(s.now, "e0") },
		"cold":     func(s *session) { s.pool().engines.SetWarmUp(s.now, "e0", placement.WarmUp{Until: time.Minute}) },
	} {
		s := newWaitSession(t, 2, 16)
		hold(s)
		s.arriveAt("/chat/x")
		for id := CallID(1); id <= 16; id++ {
			if c := s.r.calls[id]; c.engine == "e0" {
				s.step(AttemptEnded{Call: id, Outcome: Completed, FirstByte: time.Millisecond})
				require.False(t, s.pool().turns.available(s.now, s.r.loadDelay()), name)
			}
		}
		require.Equal(t, 1, s.r.waiting.queue.Len(), name)
	}
}

// Guards against a count of a customer's running requests that falls by those that were sent while load control was off.
func TestRunningRequestsWhileLoadControlChanges(t *testing.T) {
	s := newWaitSession(t, 2, 1)
	s.r.cfg.LoadControl = false
	s.step(AttemptEnded{Call: 1, Outcome: Errored, FirstByte: time.Millisecond})
	must[Send](s)
	require.False(t, s.r.calls[1].counted)
}

// Guards against decisions that depend on the order of a map: requests whose owner does not answer are placed in the order
// in which they asked.
func TestUnansweredRequestsAreServedInOrder(t *testing.T) {
	s := newSession(t, 1)
	s.pool().engines.SetRate(s.now, "e0", placement.RateBound{Rate: 10, Burst: 10, Owner: "i2"})
	for range 8 {
		s.last++
		s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/get/x", Arrived: s.now}})
	}
	require.Len(t, s.r.tokens.pending, 8)
	s.advance(askTimeout)
	s.step(Tick{})
	var order []CallID
	for _, e := range s.out {
		if refuse, ok := e.(Refuse); ok {
			order = append(order, refuse.Call)
		}
	}
	require.Equal(t, []CallID{1, 2, 3, 4, 5, 6, 7, 8}, order)
}

// Guards against a further attempt at an engine that has failed a request because it had rejected it earlier.
func TestEngineThatFailsAfterARejectionIsExcluded(t *testing.T) {
	s := newWaitSession(t, 1, 8)
	id, _ := s.arriveAt("/get/x")
	s.step(AttemptEnded{Call: id, Outcome: Rejected})
	s.advance(150 * time.Millisecond)
	s.step(AttemptEnded{Call: 1, Outcome: Completed, FirstByte: time.Millisecond})
	require.Equal(t, id, must[Send](s).Call)
	s.step(AttemptEnded{Call: id, Outcome: Errored, FirstByte: time.Millisecond})
	_, sent := find[Send](s)
	require.False(t, sent)
	must[DeliverFailure](s)
}

// Guards against cold engines that get more than they tolerate, or less than their share, while prompts wait for turns: in
// a surge, with a quarter of the engines cold and then with all of them.
func TestColdEnginesWithLoadControl(t *testing.T) {
	for _, size := range coldSizes[:2] {
		f := newColdFleet(t, size.instances, size.engines, coldPerSecond)
		f.keyed = true
		for _, s := range f.members {
			s.r.cfg.LoadControl = true
		}
		f.run(3*time.Second, 1)
		f.restart(f.names[:len(f.names)/4]...)
		f.run(coldStart+2*time.Second, 160)
		require.Positive(t, f.check("a quarter"), "%d instances", size.instances)
		f.restart(f.names...)
		f.run(2*time.Second, 40)
		clear(f.refused)
		before := f.check("all")
		f.run(4*time.Second, 40)
		served := f.check("all") - before
		n, perInstance := warmup.Share(coldPerSecond, coldOvershoot, coldSlack, len(f.ids))
		require.Greater(t, float64(served), 0.7*4*float64(n)*perInstance*float64(len(f.names)), "%d instances", size.instances)
		require.Len(t, f.refused, 1)
		require.Positive(t, f.refused["warming_up"])
	}
}

// Guards against an engine that counts as warm because it became cold again after the end of its warm-up and before its next
// registration, which then is cold as the one before and no change, while its responses don't tell.
func TestEngineThatBecomesColdAgainBetweenRegistrations(t *testing.T) {
	f := newColdFleet(t, 7, 4, coldPerSecond)
	name := f.names[0]
	e := f.engines[name]
	for _, other := range f.engines {
		other.tells = false
	}
	f.run(time.Second, 1)
	write := func(cold time.Duration) {
		e.coldUntil = f.now + cold
		f.change(map[string][]byte{"engines/" + string(name): f.registration(e)})
	}
	write(300 * time.Millisecond)
	f.run(2*time.Second, 1)
	write(coldStart)
	f.run(time.Second, 1)
	for id, s := range f.members {
		require.True(t, s.r.warmUps.tracker.Cold(f.now, name), id)
	}
}

// Guards against requests that end twice, never, or in two places, while engines become cold and warm, name rate limits
// that others own, and load control is switched on and off.
func TestEachRequestEndsOnceInAnOverload(t *testing.T) {
	for seed := range uint64(30) {
		e := newEndings(t, 1001+2*seed)
		e.play(func() {
			pool := e.r.pools["s"]
			if pool == nil || e.rng.IntN(10) > 0 {
				return
			}
			id := fleet.EngineID(fmt.Sprintf("e%d", e.rng.IntN(4)))
			switch e.rng.IntN(6) {
			case 0, 1:
				pool.engines.SetWarmUp(e.now, id, placement.WarmUp{Until: e.now + time.Second, Rate: float64(e.rng.IntN(3) * 5)})
			case 2:
				pool.engines.SetRate(e.now, id, placement.RateBound{Rate: 5, Burst: 5, Owner: "i2"})
			case 3:
				pool.engines.ClearRate(id)
			case 4:
				pool.engines.SetQuiet(id, e.now+100*time.Millisecond)
			case 5:
				e.r.cfg.LoadControl = !e.r.cfg.LoadControl
			}
		})
		require.Zero(t, e.r.waiting.queue.Len())
		require.Zero(t, e.r.waiting.queue.Bytes())
	}
}

// Guards against a replacement for an attempt that has ended when the report that it is silent arrives, while its request
// waits in the queue.
func TestLateStallOfAWaitingRequest(t *testing.T) {
	s := newWaitSession(t, 1, 8)
	id, _ := s.arriveAt("/get/x")
	s.step(AttemptEnded{Call: id, Outcome: Rejected})
	require.Equal(t, 1, s.r.waiting.queue.Len())
	s.step(KeysChanged{Facts: registrations("ready", "engines/e1"), AtRevision: 101})
	before := s.pool().budget.Remaining(s.now)
	s.step(AttemptStalled{Call: id, Engine: "e0"})
	require.Empty(t, s.out)
	require.Nil(t, s.r.calls[id].beside)
	require.Equal(t, before, s.pool().budget.Remaining(s.now))
}
