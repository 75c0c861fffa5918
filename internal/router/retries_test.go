package router

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/crashcause"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/retry"
	"github.com/bilberrywell/bilberrywell/routing"
)

// failingSession returns a session with load control whose engines fail alike. Routes have a target of 1 s and a
// timeout of 2 s.
func failingSession(t *testing.T) *session {
	s := newSession(t, 6)
	s.r.cfg.LoadControl = true
	for _, path := range []string{"/get/x", "/post/x", "/chat/x"} {
		s.r.table.Lookup("h", path).TargetLatency = time.Second
		s.r.table.Lookup("h", path).Timeout = 2 * time.Second
	}
	for range 2 * alikeMinAnswers {
		s.call("/post/x")
		s.step(AttemptEnded{Call: s.last, Outcome: Completed, Failed: true})
		s.call("/post/x")
		s.endAttempt(Completed)
	}
	s.step(Tick{})
	require.True(t, s.r.pools["s"].alike.active)
	return s
}

// Guards against a wait before a retry where it has no use or costs the target: after failures that other engines don't
// share, for requests that may not be repeated, for streams that have begun, and when the target can't be met after it.
func TestWhichRetriesWait(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		ended   AttemptEnded
		change  func(s *session)
		delayed bool
	}{
		"errored":                    {path: "/get/x", ended: AttemptEnded{Outcome: Errored}, delayed: true},
		"broken":                     {path: "/get/x", ended: AttemptEnded{Outcome: Broken}, delayed: true},
		"stream that has not begun":  {path: "/chat/x", ended: AttemptEnded{Outcome: Broken}, delayed: true},
		"stream that has begun":      {path: "/chat/x", ended: AttemptEnded{Outcome: Broken, Delivered: true}},
		"rejected":                   {path: "/get/x", ended: AttemptEnded{Outcome: Rejected}, delayed: true},
		"rejected for a time":        {path: "/get/x", ended: AttemptEnded{Outcome: Rejected, Report: &EngineReport{QuietFor: time.Second}}},
		"rejected, not repeatable":   {path: "/post/x", ended: AttemptEnded{Outcome: Rejected}},
		"unsent":                     {path: "/get/x", ended: AttemptEnded{Outcome: Unsent}},
		"load control is off":        {path: "/get/x", ended: AttemptEnded{Outcome: Errored}, change: func(s *session) { s.r.cfg.LoadControl = false }},
		"the instance stops":         {path: "/get/x", ended: AttemptEnded{Outcome: Errored}, change: func(s *session) { s.step(DrainRequested{}) }},
		"the target is nearly over":  {path: "/get/x", ended: AttemptEnded{Outcome: Errored}, change: func(s *session) { s.advance(960 * time.Millisecond); s.step(Tick{}) }},
		"most engines work":          {path: "/get/x", ended: AttemptEnded{Outcome: Errored}, change: func(s *session) { s.r.pools["s"].alike = alikeFailures{} }},
		"many wait already":          {path: "/get/x", ended: AttemptEnded{Outcome: Errored}, change: fillDelayed},
		"the target is long missed":  {path: "/get/x", ended: AttemptEnded{Outcome: Errored}, change: func(s *session) { s.advance(1500 * time.Millisecond) }},
		"the route has no target":    {path: "/get/x", ended: AttemptEnded{Outcome: Errored}, change: func(s *session) { s.r.table.Lookup("h", "/get/x").TargetLatency = 0 }},
		"the caller's time is short": {path: "/get/x", ended: AttemptEnded{Outcome: Errored}, change: func(s *session) { s.r.calls[s.last].deadline = s.now + 60*time.Millisecond }},
	} {
		t.Run(name, func(t *testing.T) {
			s := failingSession(t)
			s.call(test.path)
			if test.change != nil {
				test.change(s)
			}
			waiting := len(s.r.delayed.pending)
			test.ended.Call = s.last
			s.step(test.ended)
			_, sent := find[Send](s)
			if test.ended.Outcome == Rejected && !test.delayed {
				// It waits for room like a request that no engine has had, which a tick finds.
				require.True(t, s.r.calls[s.last].wait.queued)
				s.advance(tickPeriod)
				s.step(Tick{})
				_, sent = find[Send](s)
			}
			require.Equal(t, test.delayed, !sent)
			require.Equal(t, test.delayed, len(s.r.delayed.pending) > waiting)
			if test.delayed {
				s.advance(250 * time.Millisecond)
				s.step(Tick{})
				must[Send](s)
				s.endAttempt(Completed)
			}
		})
	}
}

func fillDelayed(s *session) {
	for id := range CallID(maxDelayedRetries) {
		s.r.delayed.pending[10_000+id] = delayedRetry{call: s.r.calls[s.last], due: s.now + time.Hour}
	}
}

// delayed makes a request wait for its retry.
func (s *session) delayed(path string, outcome Outcome) {
	s.call(path)
	s.endAttempt(outcome)
	_, sent := find[Send](s)
	require.False(s.t, sent)
	require.Contains(s.t, s.r.delayed.pending, s.last)
}

// Guards against a request that keeps its place after its caller has left, and is sent later.
func TestCallerLeavesWhileItsRetryWaits(t *testing.T) {
	s := failingSession(t)
	s.delayed("/get/x", Errored)
	s.step(CallerDisconnected{Call: s.last})
	require.False(t, must[Release](s).Complete)
	require.Empty(t, s.r.delayed.pending)
	s.advance(time.Second)
	s.step(Tick{})
	_, sent := find[Send](s)
	require.False(t, sent)
}

// Guards against a second command for a request whose caller disconnects just when its attempt is sent.
func TestCallerLeavesAsItsAttemptIsSent(t *testing.T) {
	s := newSession(t, 2)
	s.call("/get/x")
	s.step(CallerDisconnected{Call: s.last})
	require.Empty(t, s.out)
	s.endAttempt(CallerLeft)
	require.False(t, must[Release](s).Complete)
}

// Guards against a failure response that is held back and lost when the retry is not allowed after the wait, and against
// a request that gets no final response then.
func TestDelayedRetryThatIsNotAllowed(t *testing.T) {
	for name, forbid := range map[string]func(s *session){
		"the budget is used up": func(s *session) {
			for s.r.pools["s"].budget.Allow(s.now) {
			}
		},
		"the request is quarantined": func(s *session) {
			require.True(t, s.r.poison.detector.Adopt(s.now, crashcause.Quarantine{Trait: s.r.calls[s.last].Fingerprint, Remaining: time.Minute}))
		},
		"the service is gone":   func(s *session) { delete(s.r.pools, "s") },
		"the engines have left": func(s *session) { s.removeEngines(6) },
		"the stop is over": func(s *session) {
			s.step(DrainRequested{})
			s.r.cfg.DrainLimit = 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := failingSession(t)
			s.delayed("/get/x", Errored)
			forbid(s)
			s.advance(210 * time.Millisecond)
			s.step(Tick{})
			must[DeliverFailure](s)
			s.now = 0
			s = failingSession(t)
			s.delayed("/get/x", Broken)
			forbid(s)
			s.advance(210 * time.Millisecond)
			s.step(Tick{})
			require.Equal(t, MayHaveRun, must[Refuse](s).Refusal)
			require.Empty(t, s.r.calls)
		})
	}
}

// removeEngines removes the registrations of all engines.
func (s *session) removeEngines(n int) {
	for i := range n {
		key := "engines/e" + string(rune('0'+i))
		s.step(KeysChanged{Facts: []replica.Fact{{Key: key, Revision: uint64(200 + i), Deleted: true}}, AtRevision: uint64(200 + i)})
	}
}

// Guards against a stopping instance that holds requests back, which delays its end, and against waits that go on after
// the engines have recovered.
func TestDelayedRetriesGoEarly(t *testing.T) {
	for name, change := range map[string]func(s *session){
		"the instance stops": func(s *session) { s.step(DrainRequested{}) },
		"the engines have recovered": func(s *session) {
			for range 200 {
				s.r.pools["s"].alike.add(s.now, "e0", false)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := failingSession(t)
			s.delayed("/get/x", Errored)
			change(s)
			s.advance(10 * time.Millisecond)
			s.step(Tick{})
			must[Send](s)
		})
	}
}

// Guards against retries that are sent in order of arrival although the budget is short.
func TestUrgentDelayedRetriesGoFirst(t *testing.T) {
	s := failingSession(t)
	s.delayed("/get/x", Errored)
	patient := s.last
	s.r.calls[patient].urgency = 5
	s.delayed("/get/x", Errored)
	for s.r.pools["s"].budget.Remaining(s.now) >= 2 {
		require.True(t, s.r.pools["s"].budget.Allow(s.now))
	}
	s.advance(210 * time.Millisecond)
	s.step(Tick{})
	require.Equal(t, s.last, must[Send](s).Call)
	require.Equal(t, patient, must[DeliverFailure](s).Call)
}

// Guards against the failures of few engines, or of few answers, that count as failures of all.
func TestWhenEnginesFailAlike(t *testing.T) {
	for name, test := range map[string]struct {
		engines, answers int
		failed           func(engine, answer int) bool
		alike            bool
	}{
		"two in five everywhere":              {10, 10, func(_, i int) bool { return i%5 < 2 }, true},
		"one in five everywhere":              {10, 10, func(_, i int) bool { return i%5 < 1 }, false},
		"one engine of ten always":            {10, 10, func(e, _ int) bool { return e == 0 }, false},
		"four engines of ten always":          {10, 10, func(e, _ int) bool { return e < 4 }, false},
		"six engines of ten always":           {10, 10, func(e, _ int) bool { return e < 6 }, true},
		"two in five, one answer of each":     {40, 1, func(e, _ int) bool { return e%5 < 2 }, true},
		"one engine only":                     {1, 40, func(_, i int) bool { return i%5 < 2 }, false},
		"too few answers":                     {7, 1, func(_, _ int) bool { return true }, false},
		"one answer of each, three in twenty": {40, 1, func(e, _ int) bool { return e%20 < 3 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			var a alikeFailures
			for e := range test.engines {
				for i := range test.answers {
					a.add(0, fleet.EngineID(rune('a'+e)), test.failed(e, i))
				}
			}
			_, changed := a.update(0)
			require.True(t, changed)
			require.Equal(t, test.alike, a.active)
			a.update(answerSlice * answerSlices)
			require.False(t, a.active, "the answers are old")
			require.Empty(t, a.engines)
		})
	}
}

// Guards against a claim that counts as likely although the time left, or the target, does not suffice.
func TestLikelyInTime(t *testing.T) {
	s := failingSession(t)
	route := s.r.table.Lookup("h", "/get/x")
	stats := s.r.statsOf(route.Name)
	for _, test := range []struct {
		age, firstByte, took time.Duration
		partDelivered        bool
		likely               bool
	}{
		{0, 300, 400, false, true},
		{600, 300, 400, false, true},
		{800, 300, 400, false, false},
		{800, 300, 400, true, true},
		{1700, 300, 400, true, false},
		{800, 1100, 1150, false, true},
		{900, 1100, 1150, false, false},
	} {
		c := &call{Call: Call{Arrived: s.now - test.age*time.Millisecond}, route: route, partDelivered: test.partDelivered}
		c.deadline = c.Arrived + 2*time.Second
		stats.meanLatency, stats.took = test.firstByte*time.Millisecond, spread{mean: test.took * time.Millisecond}
		require.Equal(t, test.likely, s.r.likelyInTime(c), "%v", test)
	}
}

// Guards against attempts that are replaced as stalled for requests that the short budget does not serve.
func TestStalledAttemptNeedsAClaim(t *testing.T) {
	for _, loadControl := range []bool{false, true} {
		s := newSession(t, 3)
		s.r.cfg.LoadControl = loadControl
		s.call("/get/x")
		s.step(AttemptEnded{Call: s.last, Outcome: Completed, FirstByte: 20 * time.Millisecond})
		pool := s.r.pools["s"]
		for pool.budget.Remaining(s.now) >= 30 {
			require.True(t, pool.budget.AllowFor(s.now, s.r.claimOf(&call{route: s.r.table.Lookup("h", "/get/x"), deadline: time.Hour})))
		}
		s.r.table.Lookup("h", "/get/x").Priority = 4
		first := s.call("/get/x")
		require.Equal(t, loadControl, first.HeaderTimeout == 0)
		s.step(AttemptStalled{Call: s.last, Engine: first.Engine.ID})
		_, replaced := sentBeside(s)
		require.Equal(t, !loadControl, replaced)
	}
}

// BenchmarkRetryDecision measures the decision about a failed request, with a short budget and engines that fail alike.
func BenchmarkRetryDecision(b *testing.B) {
	r := New(Config{Instance: "i1", StoreDecoder: fakeDecoder{}, LoadControl: true})
	route := &routing.Route{Name: "r", Kind: routing.Idempotent, TargetLatency: time.Second}
	pool := &servicePool{budget: retry.Window{Length: 10 * time.Second, Reserve: 1}}
	for i := range 1600 {
		pool.alike.add(0, fleet.EngineID(strconv.Itoa(i)), i%5 < 2)
	}
	pool.alike.update(0)
	c := &call{route: route, deadline: time.Hour, customer: "c", lastFailedAlike: true}
	for b.Loop() {
		pool.alike.add(r.now, "7", true)
		r.delayRetry(c, pool, nil)
		pool.budget.AllowFor(r.now, r.claimOf(c))
		r.effects = r.effects[:0]
	}
}

// BenchmarkAlikeUpdate measures the detection on a Tick.
func BenchmarkAlikeUpdate(b *testing.B) {
	var a alikeFailures
	for i := range 1600 {
		a.add(0, fleet.EngineID(strconv.Itoa(i)), i%5 < 2)
	}
	for b.Loop() {
		a.changed = true
		a.update(0)
	}
}
