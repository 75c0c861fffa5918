package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// responder answers one caller's request, over several attempts if needed.
type responder interface {
	// run carries out one attempt and reports how it ended.
	run(ctx context.Context, cmd core.StartAttempt, firstByte func()) core.AttemptEnded
	fail(e callerError)
	replay(o wire.Outcome)
}

// commandQueue is the number of commands that can wait for a request. The reducer sends at
// most one command before it hears of its end.
const commandQueue = 4

// requests routes the reducer's commands to the goroutines that serve callers.
type requests struct {
	mu   sync.Mutex
	last core.RequestID
	open map[core.RequestID]chan core.Effect
}

func newRequests() *requests {
	return &requests{open: make(map[core.RequestID]chan core.Effect)}
}

func (r *requests) add() (core.RequestID, <-chan core.Effect) {
	commands := make(chan core.Effect, commandQueue)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	r.open[r.last] = commands
	return r.last, commands
}

func (r *requests) remove(id core.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
}

// command hands a command to a request's goroutine. It reports false when the request has ended.
func (r *requests) command(id core.RequestID, cmd core.Effect) bool {
	r.mu.Lock()
	commands := r.open[id]
	r.mu.Unlock()
	if commands == nil {
		return false
	}
	select {
	case commands <- cmd:
		return true
	default:
		return false
	}
}

// serveCall carries a call through the reducer until its caller is answered.
func (d *Daemon) serveCall(r *http.Request, call core.Call, res responder) {
	id, commands := d.requests.add()
	defer d.requests.remove(id)
	d.loop.post(core.RequestArrived{Request: id, Call: call})
	for {
		select {
		case <-r.Context().Done():
			d.loop.post(core.CallerGone{Request: id})
			return
		case cmd := <-commands:
			if d.carryOut(r.Context(), id, cmd, res) {
				return
			}
		}
	}
}

// carryOut executes a command for a request. It reports true when the request is answered.
func (d *Daemon) carryOut(ctx context.Context, id core.RequestID, cmd core.Effect, res responder) bool {
	switch cmd := cmd.(type) {
	case core.StartAttempt:
		end := res.run(ctx, cmd, func() {
			d.loop.post(core.FirstByte{Request: id, Attempt: cmd.Attempt})
		})
		d.loop.post(end)
		return end.Result == wire.ResultComplete || end.Result == wire.ResultCanceled
	case core.FailRequest:
		res.fail(callerErrorOf(cmd))
		return true
	case core.ReplayOutcome:
		res.replay(cmd.Outcome)
		return true
	}
	return false
}

// ownAnswer reports whether an answer carries the id of the attempt that it answers.
func (d *Daemon) ownAnswer(res *http.Response, cmd core.StartAttempt) bool {
	id := res.Header.Get(attemptIDHeader)
	if id == "" || id == string(cmd.AttemptID) {
		return true
	}
	d.metrics.count(core.CounterCrossedAnswers, 1)
	return false
}

// afterAttempt replaces an engine's connections when an attempt went silent.
func (d *Daemon) afterAttempt(cmd core.StartAttempt, result wire.Result) {
	if result == wire.ResultStalled {
		d.upstreams.replace(cmd.Target.Engine)
	}
}
