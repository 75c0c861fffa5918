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
	// runAttempt carries out one attempt and reports how it ended. It calls firstByte when the
	// engine's response begins.
	runAttempt(ctx context.Context, cmd core.StartAttempt, firstByte func()) core.AttemptEnded
	// fail reports a failure to the caller.
	fail(e callerError)
	// replay answers with the recorded outcome of an earlier call.
	replay(o wire.Outcome)
}

// commandQueueSize is the number of commands that can wait for a request's goroutine. The reducer
// sends a request's next command only after the end of the previous one was reported to it.
const commandQueueSize = 4

// requestRegistry holds the open requests and sends the reducer's commands to the goroutines that
// serve them.
type requestRegistry struct {
	mu            sync.Mutex
	lastID        core.RequestID
	commandQueues map[core.RequestID]chan core.Effect
}

func newRequestRegistry() *requestRegistry {
	return &requestRegistry{commandQueues: make(map[core.RequestID]chan core.Effect)}
}

// register adds a request and returns its id and the channel of its commands.
func (r *requestRegistry) register() (core.RequestID, <-chan core.Effect) {
	commands := make(chan core.Effect, commandQueueSize)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	r.commandQueues[r.lastID] = commands
	return r.lastID, commands
}

func (r *requestRegistry) unregister(id core.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.commandQueues, id)
}

// send queues a command for a request's goroutine. It returns false if the request has ended or
// its queue is full.
func (r *requestRegistry) send(id core.RequestID, cmd core.Effect) bool {
	r.mu.Lock()
	commands := r.commandQueues[id]
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

// serveCall passes a call to the reducer and executes the reducer's commands for it until the
// caller is answered or closes its connection.
func (d *Daemon) serveCall(r *http.Request, call core.Call, res responder) {
	id, commands := d.requests.register()
	defer d.requests.unregister(id)
	d.loop.post(core.RequestArrived{Request: id, Call: call})
	for {
		select {
		case <-r.Context().Done():
			d.loop.post(core.CallerDisconnected{Request: id})
			abortConnection()
		case cmd := <-commands:
			if d.executeCommand(r.Context(), id, cmd, res) {
				return
			}
		}
	}
}

// abortConnection closes the connection of a caller that has disconnected. It may only have closed its sending side,
// and would take an empty response, or a part of one, for the whole.
func abortConnection() { panic(http.ErrAbortHandler) }

// executeCommand executes a command for a request. It returns true when the request has ended.
func (d *Daemon) executeCommand(ctx context.Context, id core.RequestID, cmd core.Effect, res responder) bool {
	switch cmd := cmd.(type) {
	case core.StartAttempt:
		end := res.runAttempt(ctx, cmd, func() {
			d.loop.post(core.FirstByte{Request: id, Attempt: cmd.Attempt})
		})
		d.loop.post(end)
		if end.Result == wire.ResultCanceled {
			abortConnection()
		}
		return end.Result == wire.ResultComplete
	case core.FailRequest:
		res.fail(newCallerError(cmd))
		return true
	case core.ReplayOutcome:
		res.replay(cmd.Outcome)
		return true
	}
	return false
}

// matchesAttempt reports whether a response carries the id of the attempt, or none. A response
// with the id of another attempt is counted.
func (d *Daemon) matchesAttempt(res *http.Response, cmd core.StartAttempt) bool {
	id := res.Header.Get(attemptIDHeader)
	if id == "" || id == string(cmd.AttemptID) {
		return true
	}
	d.metrics.count(core.CounterCrossedAnswers, 1)
	return false
}

// dropStalledConnections drops an engine's connection pool after an attempt that stalled.
func (d *Daemon) dropStalledConnections(cmd core.StartAttempt, result wire.Result) {
	if result == wire.ResultStalled {
		d.upstreams.dropPool(cmd.Target.Engine)
	}
}

// endedBeforeBody reports whether a success with neither a length nor chunks, which the end of its connection ends,
// has ended after n = 0 bytes. That can't be told from a break.
func endedBeforeBody(res *http.Response, n int) bool {
	return n == 0 && unframed(res) && res.StatusCode < http.StatusMultipleChoices
}
