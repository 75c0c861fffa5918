package router

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
)

// prompt sends a request with a prompt of its own, all tokens of which are to be read.
func (s *session) prompt(path string, tokens int) Send {
	s.last++
	s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: path, Prompt: fleet.ChatKey(s.last), Fingerprint: fleet.Fingerprint(1000 + s.last),
		Arrived: s.now, Tokens: placement.Tokens{Prompt: tokens, Own: tokens, Output: 10}}})
	return must[Send](s)
}

// unread returns the unread tokens of the service.
func (s *session) unread() (own, all int) {
	stats := s.r.Stats(s.now).Services[0]
	return stats.OwnUnread, stats.AllUnread
}

// Guards against tokens that stay counted as unread after the first event or the end of a request, whatever the end.
func TestUnreadTokensEndWithTheReading(t *testing.T) {
	s := newSession(t, 5)
	own := func() int { n, _ := s.unread(); return n }
	require.False(t, s.call("/plan/x").ReportFirstEvent, "no token counts, and no engine can go on with the stream")
	s.step(FirstEventReceived{Call: s.last})
	require.Zero(t, own())
	require.True(t, s.prompt("/chat/x", 900).ReportFirstEvent)
	require.Equal(t, 900, own())
	s.advance(30 * time.Millisecond)
	s.step(FirstEventReceived{Call: s.last})
	require.Equal(t, 30*time.Millisecond, must[FirstEventDone](s).Waited)
	require.Zero(t, own())
	s.step(FirstEventReceived{Call: s.last})
	s.endAttempt(Completed)
	require.Zero(t, own())
	for _, o := range []Outcome{Completed, CallerLeft, TimedOut, Interrupted, Broken, Rejected} {
		s.prompt("/chat/x", 5000)
		require.Equal(t, 5000, own())
		s.endAttempt(o)
		if _, again := find[Send](s); again {
			require.Equal(t, 5000, own(), "at the next engine")
			s.endAttempt(Completed)
		}
		require.Zero(t, own(), o)
	}
	s.step(FirstEventReceived{Call: 999})
}

// Guards against prompts that count as cached at an engine that has rejected them, so that its reading is expected to be
// short and the learned reading speed is wrong.
func TestRejectedPromptIsNotCached(t *testing.T) {
	s := newSession(t, 2)
	send := func() {
		s.last++
		s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/chat/x", Prompt: 77, Arrived: s.now, Tokens: placement.Tokens{Prompt: 5000, Own: 100}}})
	}
	requireRead := func(engine fleet.EngineID, tokens int) {
		fields := must[Decision](s).Fields
		require.Equal(t, engine, fields[slices.Index(fields, any("engine"))+1])
		require.Equal(t, tokens, fields[slices.Index(fields, any("reads"))+1])
	}
	send()
	requireRead("e1", 100) // The first engine of the order.
	s.endAttempt(Rejected)
	requireRead("e0", 5000)
	s.endAttempt(Rejected)
	must[Refuse](s)
	s.r.pools["s"].engines.SetDraining(s.now, "e1")
	send()
	requireRead("e0", 5000)
}

// Guards against requests of a service that the configuration lacked for a while, whose ends are counted against later
// requests to the same engine.
func TestCountsAfterAServiceReturns(t *testing.T) {
	s := newSession(t, 1)
	s.prompt("/chat/x", 500)
	first := s.last
	delete(s.r.pools, "s")
	s.r.rebuildPools()
	s.prompt("/chat/x", 700)
	s.step(AttemptEnded{Call: first, Outcome: CallerLeft})
	own, _ := s.unread()
	require.Equal(t, 700, own)
	require.Equal(t, 1, s.r.Stats(s.now).Services[0].OwnRequests)
}

// Guards against a stream that the caller resumes, whose engine reads more than the prompt, from which the reading speed
// is learned.
func TestResumedStreamIsNotLearnedFrom(t *testing.T) {
	s := newSession(t, 1)
	for i := range 12 {
		s.last++
		tokens := 800 + 1000*i
		s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/chat/x", Arrived: s.now, Resumes: true, Tokens: placement.Tokens{Prompt: tokens, Own: tokens}}})
		must[Send](s)
		s.advance(10*time.Millisecond + time.Duration(tokens)*time.Millisecond/100)
		s.step(FirstEventReceived{Call: s.last})
		s.endAttempt(Completed)
		s.step(Tick{})
	}
	s.prompt("/chat/x", 6000)
	require.NotContains(t, must[Decision](s).Fields, "expected_ms")
}

// Guards against forecasts that are not learned from first events, or whose error is not told.
func TestForecastIsLearnedAndChecked(t *testing.T) {
	s := newSession(t, 1)
	for _, tokens := range []int{800, 12_000, 3000, 900} {
		s.prompt("/chat/x", tokens)
		s.advance(10*time.Millisecond + time.Duration(tokens)*time.Millisecond/100)
		s.step(FirstEventReceived{Call: s.last})
		if tokens != 900 {
			_, known := find[ForecastDone](s)
			require.False(t, known)
		}
		s.advance(50 * time.Millisecond)
		s.endAttempt(Completed)
	}
	s.prompt("/chat/x", 6000)
	s.advance(90 * time.Millisecond)
	s.step(FirstEventReceived{Call: s.last})
	require.InDelta(t, 20, must[ForecastDone](s).Late.Seconds()*1e3, 2)
	s.advance(50 * time.Millisecond)
	s.endAttempt(Completed)
	require.Equal(t, "end", must[ForecastDone](s).Of)
	require.InDelta(t, 20, must[ForecastDone](s).Late.Seconds()*1e3, 5)
}

// Guards against unread tokens that peers don't learn, in small fleets and in both hops of large ones, and against ones
// that count after the peer has fallen silent.
func TestUnreadTokensAreToldToPeers(t *testing.T) {
	tag := fleet.TagOf("e0")
	counts := []wire.EngineCount{{Engine: tag, Count: 2}}
	t.Run("small fleet", func(t *testing.T) {
		s := newSession(t, 1)
		s.link(3)
		s.prompt("/chat/x", 1000)
		s.advance(2 * statusReportInterval)
		s.step(Tick{})
		report := s.sent(wire.KindStatusReport)[0].Message.(*wire.StatusReport)
		require.Equal(t, []wire.EngineCount{{Engine: tag, Count: 4}}, wire.UnpackUnread(report.Running, report.Unread))
		s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StatusReport{Sequence: 2, Running: counts, Unread: []byte{0, 40}}})
		s.r.updatePoolLoads()
		_, all := s.unread()
		require.Equal(t, 1000+40*256, all)
		s.advance(statusReportLifeIntervals * statusReportInterval)
		s.step(Tick{})
		require.True(t, s.r.loads.poolsStale)
		s.r.updatePoolLoads()
		_, all = s.unread()
		require.Equal(t, 1000, all)
	})
	t.Run("large fleet", func(t *testing.T) {
		s := newSession(t, 1)
		s.link(30)
		s.prompt("/chat/x", 1000)
		s.step(PeerMessage{From: s.r.loads.grid.rowPeers()[0], Incarnation: 1, Message: &wire.Loads{Running: counts, Unread: []byte{0, 40}}})
		s.advance(statusReportInterval)
		s.step(Tick{})
		for _, m := range s.sent(wire.KindLoads) {
			loads := m.Message.(*wire.Loads)
			want := 4
			if loads.IsRowSum {
				want = 44
			}
			require.Equal(t, []wire.EngineCount{{Engine: tag, Count: want}}, wire.UnpackUnread(loads.Running, loads.Unread))
		}
	})
}

// Guards against a forecast that does not reach the choice: a short prompt would wait behind a long one at its engine and
// miss the target latency of its route.
func TestForecastSetsTheEngine(t *testing.T) {
	for _, on := range []bool{true, false} {
		s := newSession(t, 4)
		s.r.cfg.Forecast = on
		delete(s.r.pools, "s")
		s.r.rebuildPools()
		for _, tokens := range []int{800, 5000, 3000, 900} {
			s.prompt("/chat/x", tokens)
			s.advance(10*time.Millisecond + time.Duration(tokens)*time.Millisecond/100)
			s.step(FirstEventReceived{Call: s.last})
			s.endAttempt(Completed)
		}
		send := func(tokens int) fleet.EngineID {
			s.last++
			s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/chat/x", Prompt: 77, Fingerprint: fleet.Fingerprint(s.last), Arrived: s.now,
				Tokens: placement.Tokens{Prompt: tokens, Own: tokens}}})
			return must[Send](s).Engine.ID
		}
		first := send(12_000)
		require.Equal(t, on, send(200) != first)
		s.advance(200 * time.Millisecond)
		s.step(FirstEventReceived{Call: s.last - 1})
		require.Equal(t, first, send(200), "the engine has read the long prompt")
	}
}

// Guards against unread tokens that stay at an engine after all requests have ended, whatever became of them, of their
// engines and of their service.
func TestNoUnreadTokensAreLeft(t *testing.T) {
	for seed := range uint64(10) {
		e := newEndings(t, seed)
		e.r.cfg.Forecast = true
		for range 800 {
			e.now += time.Duration(e.rng.IntN(20)) * time.Millisecond
			e.lastID++
			e.requests[e.lastID] = &openRequest{streams: true}
			e.step(CallArrived{Call: Call{ID: e.lastID, Host: "h", Path: "/chat/x", Prompt: fleet.ChatKey(e.rng.IntN(20)), Fingerprint: fleet.Fingerprint(e.lastID),
				Arrived: e.now, Tokens: placement.Tokens{Prompt: 1 + e.rng.IntN(20_000), Own: 1 + e.rng.IntN(500)}}})
			e.step(FirstEventReceived{Call: CallID(1 + e.rng.IntN(int(e.lastID)))})
			e.endAttempts(0.2)
			e.answerOwners()
			if e.rng.IntN(5) == 0 {
				e.change()
			}
			e.step(Tick{})
		}
		for range 40 {
			e.now += 50 * time.Millisecond
			e.step(Tick{})
			e.endAttempts(0)
		}
		require.Empty(t, e.requests, "seed %d", seed)
		require.Empty(t, e.r.unreadUnits())
	}
}
