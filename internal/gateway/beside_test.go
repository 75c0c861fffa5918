package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
	"github.com/bilberrywell/bilberrywell/placement"
)

// pair is a request with a silent attempt and one beside it.
func pair() (c *callerRequest, silent, beside *attempt) {
	c = &callerRequest{}
	add := func(engine fleet.EngineID) *attempt {
		a := &attempt{callerRequest: c, cmd: router.Send{Engine: placement.Engine{ID: engine}}}
		a.ctx, a.cancel = context.WithCancel(context.Background())
		return a
	}
	c.current, c.beside = add("silent"), add("beside")
	return c, c.current, c.beside
}

// goOn calls goesOn as an attempt that forwards more of its response does.
func (a *attempt) goOn(state uint32) bool {
	a.turn.Lock()
	defer a.turn.Unlock()
	return a.goesOn(state)
}

func endedAs(a *attempt) router.Outcome {
	as, ended := a.state.endedAs()
	if !ended {
		return 0
	}
	return as
}

// Guards against two attempts that both forward their response, or of which none does.
func TestOneOfTwoAttemptsForwards(t *testing.T) {
	for range 200 {
		c, silent, beside := pair()
		var tookOver, wentOn bool
		var tasks sync.WaitGroup
		tasks.Go(func() { tookOver = beside.takeOver() })
		tasks.Go(func() { wentOn = silent.goOn(responseBegun) })
		tasks.Wait()
		require.NotEqual(t, tookOver, wentOn)
		if tookOver {
			require.Equal(t, router.Stalled, endedAs(silent))
			require.Error(t, silent.ctx.Err(), "the engine works on")
			require.NoError(t, beside.ctx.Err())
			require.Same(t, beside, c.current)
		} else {
			require.Equal(t, router.Superseded, endedAs(beside))
			require.Error(t, beside.ctx.Err(), "the engine works on")
			require.NoError(t, silent.ctx.Err())
			require.Same(t, silent, c.current)
		}
		require.Nil(t, c.beside)
	}
}

// Guards against a response in place of one that another engine can't complete, that was delivered completely, or that
// is ended at a stop.
func TestAttemptBesideMayNotTakeOver(t *testing.T) {
	for name, settle := range map[string]func(c *callerRequest, silent, beside *attempt){
		"the response is fixed": func(_ *callerRequest, silent, _ *attempt) { silent.state.begin(responseFixed) },
		"the caller has the whole response": func(_ *callerRequest, silent, _ *attempt) {
			silent.result.Outcome = router.Completed
			silent.finish()
		},
		"the caller has left": func(_ *callerRequest, silent, _ *attempt) {
			silent.result.Outcome = router.CallerLeft
			silent.finish()
		},
		"the instance stops": func(c *callerRequest, _, _ *attempt) { c.interrupt() },
		"another version of the engines' software has begun the stream": func(c *callerRequest, silent, beside *attempt) {
			silent.cmd.Engine.Version, beside.cmd.Engine.Version = "v1", "v2"
			require.True(t, silent.goOn(responseBegun))
			// The other attempt is sent only now, for a choice that was made before.
			beside.state.value.Store(0)
			c.beside = beside
			c.mediaType = "text/event-stream"
			c.headerWritten.Store(true)
			beside.exchange = &upstream.Exchange{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, silent, beside := pair()
			settle(c, silent, beside)
			require.False(t, beside.takeOver())
			require.NotEqual(t, router.Stalled, endedAs(silent))
		})
	}
}

// Guards against a stream that is begun again because the first part of it was about to be written when the second attempt
// began, or that goes on with another type.
func TestAttemptBesideAStreamThatBegins(t *testing.T) {
	c, silent, _ := pair()
	c.g, c.r = &Gateway{clock: newClock(sinceBoot)}, httptest.NewRequest(http.MethodPost, "/", nil)
	c.lastEvent = "b"
	require.True(t, silent.goOn(responseBegun))
	beside := c.newAttempt(router.Send{Beside: true, Deadline: time.Hour})
	defer beside.stop()
	c.beside = beside
	require.Equal(t, "b", beside.resumeAfter)
	require.False(t, beside.takeOver(), "the header is being written")
	c.mediaType = "text/event-stream"
	c.headerWritten.Store(true)
	beside.exchange = &upstream.Exchange{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}}}
	require.False(t, beside.takeOver(), "another type")
	require.Zero(t, endedAs(silent))
}

// Guards against a silent attempt that blocks the one beside it after it has ended, and against the end of an attempt
// that has taken the place of the one that is to end.
func TestAttemptBesideTakesOver(t *testing.T) {
	c, silent, beside := pair()
	c.beside = nil
	require.True(t, silent.goOn(responseBegun))
	c.headerWritten.Store(true)
	c.mediaType = "text/event-stream"
	c.beside = beside
	beside.exchange = &upstream.Exchange{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}}}
	c.endStalled(router.EndStalledAttempt{Engine: "silent"})
	require.Zero(t, endedAs(silent), "only the attempt beside it ends")
	silent.result.Outcome = router.Broken
	silent.finish()
	require.True(t, beside.takeOver())
	c.interrupt()
	require.Zero(t, endedAs(beside), "a part was delivered")
	c.endStalled(router.EndStalledAttempt{Engine: "beside"})
	require.Zero(t, endedAs(beside), "it has taken the other one's place")
	_, _, third := pair()
	third.callerRequest, c.beside = c, third
	c.endStalled(router.EndStalledAttempt{Engine: "beside"})
	require.Equal(t, router.Stalled, endedAs(third))
}
