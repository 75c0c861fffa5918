package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// arrive sends a request whose caller waits for a time, at least the second of its route.
func (s *session) arrive(path string) {
	s.last++
	s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: path, Arrived: s.now}})
}

// drainingSession returns a session in which requests of route "/get/" take 100 ms, up to a time after the request to
// stop. The instance has 7.5 s.
func drainingSession(t *testing.T, sinceStop time.Duration) *session {
	s := newSession(t, 3)
	for range 2 * spreadMinCount {
		s.call("/get/x")
		s.advance(100 * time.Millisecond)
		s.endAttempt(Completed)
	}
	s.step(DrainRequested{})
	s.advance(sinceStop)
	return s
}

// Guards against a request that is passed on although it may outlast the stop, and against the refusal of one that
// ends in time, or that arrives while callers have no other instance.
func TestRequestsOfAStoppingInstance(t *testing.T) {
	tests := map[string]struct {
		path      string
		sinceStop time.Duration
		sent      bool
	}{
		"while callers still arrive":            {"/post/x", 2400 * time.Millisecond, true},
		"ends by its own deadline":              {"/post/x", 6400 * time.Millisecond, true},
		"may outlast the stop":                  {"/post/x", 6600 * time.Millisecond, false},
		"a stream may outlast the stop":         {"/chat/x", 6600 * time.Millisecond, false},
		"may be repeated and is usually faster": {"/get/x", 6600 * time.Millisecond, true},
		"may be repeated and is rarely faster":  {"/get/x", 7450 * time.Millisecond, false},
		"at the end":                            {"/get/x", 7500 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := drainingSession(t, test.sinceStop)
			s.arrive(test.path)
			_, sent := find[Send](s)
			require.Equal(t, test.sent, sent)
			if !sent {
				require.Equal(t, Refuse{Call: s.last, Refusal: NotRun, Code: "stopping", RetryAfter: stoppingRetryAfter}, must[Refuse](s))
			}
		})
	}
}

// Guards against a request that is passed on early in the stop although its route usually takes longer.
func TestRequestThatUsuallyOutlastsTheStopIsRefused(t *testing.T) {
	s := newSession(t, 3)
	s.r.table.Lookup("h", "/post/x").Timeout = time.Minute
	s.call("/post/x")
	s.advance(8 * time.Second)
	s.endAttempt(Completed)
	s.step(DrainRequested{})
	s.advance(time.Second)
	s.arrive("/post/x")
	require.Equal(t, "stopping", must[Refuse](s).Code)
}

// Guards against a further attempt that may outlast the stop, and against the claim that a request has not run that
// may have run.
func TestFurtherAttemptsOfAStoppingInstance(t *testing.T) {
	for outcome, refusal := range map[Outcome]Refusal{Rejected: NotRun, Unsent: NotRun, Broken: MayHaveRun} {
		s := drainingSession(t, 7200*time.Millisecond)
		s.arrive("/get/x")
		must[Send](s)
		s.advance(200 * time.Millisecond)
		s.endAttempt(outcome)
		require.Equal(t, refusal, must[Refuse](s).Refusal, outcome)
	}
}

// Guards against a second signal, or new settings, that give a stopping instance more time.
func TestSignalsDuringAStop(t *testing.T) {
	s := drainingSession(t, 3*time.Second)
	s.step(DrainRequested{})
	s.r.Reconfigure(Config{RetryReserve: 100})
	s.advance(4500 * time.Millisecond)
	s.arrive("/get/x")
	require.Equal(t, "stopping", must[Refuse](s).Code)
}

// Guards against requests that are still open when the process ends and get no answer, or one that says that they have
// not run although they may have.
func TestOpenRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	s := drainingSession(t, 2*time.Second)
	s.r.table.Lookup("h", "/post/x").Timeout = time.Minute
	s.arrive("/post/x")
	must[Send](s)
	s.advance(5450 * time.Millisecond)
	s.step(Tick{})
	_, ended := find[EndUnansweredAttempt](s)
	require.False(t, ended, "before the limit")
	s.advance(50 * time.Millisecond)
	for range 2 {
		s.step(Tick{})
		require.Equal(t, EndUnansweredAttempt{Call: s.last}, must[EndUnansweredAttempt](s), "an attempt may only just have begun")
	}
	s.endAttempt(Interrupted)
	require.Equal(t, Refuse{Call: s.last, Refusal: MayHaveRun, Code: "stopping"}, must[Refuse](s))
	s.step(Tick{})
	must[Drained](s)
}

// Guards against an engine that is held to have failed because the instance interrupts a connection to it.
func TestUnsentRequestAtTheEndHasNotRun(t *testing.T) {
	s := drainingSession(t, 2*time.Second)
	s.r.table.Lookup("h", "/post/x").Timeout = time.Minute
	s.arrive("/post/x")
	s.advance(5500 * time.Millisecond)
	s.step(Tick{})
	must[RefuseUnreadCalls](s)
	s.endAttempt(Unsent)
	require.Equal(t, NotRun, must[Refuse](s).Refusal)
	_, dropped := find[DropIdleConns](s)
	require.False(t, dropped)
}

// Guards against a request that waits for a configuration when the instance ends, and gets no answer.
func TestWaitForAConfigurationEndsWithTheInstance(t *testing.T) {
	s := &session{t: t, r: New(Config{Instance: "i1", StoreDecoder: fakeDecoder{}})}
	s.step(DrainRequested{})
	s.advance(7450 * time.Millisecond)
	s.arrive("/get/x")
	_, refused := find[Refuse](s)
	require.False(t, refused)
	s.advance(50 * time.Millisecond)
	s.step(Tick{})
	require.Equal(t, NotRun, must[Refuse](s).Refusal)
	must[Drained](s)
}

// Guards against a stream that is cut early in the stop because its engine is lost or silent, and against an attempt
// that is replaced as stalled although no other may follow.
func TestBegunStreamGoesOnAtAnotherEngineDuringAStop(t *testing.T) {
	stalled := func(s *session, delivered bool) bool {
		s.step(AttemptStalled{Call: s.last, Engine: s.r.calls[s.last].engine, Delivered: delivered})
		send, ok := sentBeside(s)
		require.Equal(t, ok, ok && send.Resume)
		return ok
	}
	for _, outcome := range []Outcome{Stalled, Broken} {
		s := drainingSession(t, 2*time.Second)
		s.r.table.Lookup("h", "/chat/x").Timeout = time.Minute
		s.arrive("/chat/x")
		s.advance(time.Second)
		require.False(t, stalled(s, false), "no other attempt would begin")
		require.True(t, stalled(s, true))
		s.step(AttemptEnded{Call: s.last, Outcome: outcome, Delivered: true})
		require.Empty(t, findAll[Refuse](s), "the other attempt goes on")
		s.endAttempt(Completed)
		require.True(t, must[Release](s).Complete)

		s = drainingSession(t, 2*time.Second)
		s.r.table.Lookup("h", "/chat/x").Timeout = time.Minute
		s.arrive("/chat/x")
		s.advance(time.Second)
		s.step(AttemptEnded{Call: s.last, Outcome: outcome, Delivered: true})
		require.True(t, must[Send](s).Resume)
	}
}

// Guards against a request that arrives when all others have ended, and that gets no answer at the end.
func TestRequestAfterTheDrainIsAnswered(t *testing.T) {
	s := drainingSession(t, 3*time.Second)
	s.step(Tick{})
	must[Drained](s)
	s.arrive("/get/x")
	must[Send](s)
	s.advance(4500 * time.Millisecond)
	s.step(Tick{})
	require.Equal(t, EndUnansweredAttempt{Call: s.last}, must[EndUnansweredAttempt](s))
}
