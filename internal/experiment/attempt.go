package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/routing"
)

const (
	// minCallerTime is the least time left with which a caller sends a request again.
	minCallerTime = 20 * time.Millisecond
	// hastyPause is the time after which a hasty caller sends a refused request again.
	hastyPause = 5 * time.Millisecond
)

// attempt is a request of an instance at an engine.
type attempt struct {
	in      *instance
	command router.Send
	request *request
	engine  *engine
	job     *job
	sentAt  time.Duration
	// firstByte is the time from sending to the first byte of the response; 0 without one.
	firstByte time.Duration
	report    *router.EngineReport
	over      bool
}

// send sends a caller's request to an instance. A repetition goes to any of them.
func (sim *simulation) send(r *request) {
	entry := fleet.Hash("entry", fmt.Sprint(r.index), fmt.Sprint(r.tries)) % uint64(len(sim.ids))
	in := sim.instances[sim.ids[entry]]
	r.tries++
	in.lastCall++
	in.calls[in.lastCall] = r
	in.step(router.CallArrived{Call: r.call(in.lastCall, sim.Now())})
}

// call returns the properties of a request that decisions depend on.
func (r *request) call(id router.CallID, now time.Duration) router.Call {
	c := router.Call{
		ID: id, RequestID: fmt.Sprint(r.index), Host: "h", Path: "/" + r.stream.kind.name + "/x", APIKey: string(r.customer),
		Fingerprint: fleet.Fingerprint(r.index), CallerTimeout: r.deadline() - now, Arrived: now,
	}
	for _, p := range r.parts {
		c.PromptParts = append(c.PromptParts, fleet.Fingerprint(p.id))
	}
	if len(r.parts) > 0 {
		c.Prompt = fleet.ChatKey(r.parts[0].id)
	}
	return c
}

// refused ends a request, or lets its caller send it again after the time that the refusal names, but at most a third
// of the time that the caller has left.
func (in *instance) refused(e router.Refuse) {
	r, sim := in.calls[e.Call], in.sim
	left := r.deadline() - sim.Now()
	switch {
	case e.Refusal != router.NotRun:
		in.finish(e.Call, failed)
		return
	case r.tries > r.stream.kind.retries || left < minCallerTime:
		in.finish(e.Call, refused)
		return
	}
	delete(in.calls, e.Call)
	sim.callerRetries++
	pause := min(e.RetryAfter, left/3)
	if r.stream.hasty {
		pause = hastyPause
	}
	sim.After(2*hopTime+pause, func() { sim.send(r) })
}

func (in *instance) finish(id router.CallID, result result) {
	in.calls[id].result = result
	delete(in.calls, id)
}

func (in *instance) startAttempt(command router.Send) {
	r, sim := in.calls[command.Call], in.sim
	a := &attempt{in: in, command: command, request: r, engine: sim.engines[command.Engine.ID], sentAt: sim.Now()}
	a.job = &job{urgency: command.Urgency, parts: r.parts, output: r.stream.kind.output, source: sim.engines[fleet.EngineID(command.FetchFrom)]}
	a.job.reject = func() { a.receive(func() { sim.rejections++; a.end(router.Rejected) }) }
	a.job.start = func() {
		if r.stream.kind.route == routing.Streaming {
			a.receive(a.started)
		}
	}
	a.job.end = func() { a.receive(a.completed) }
	in.attempts[command.Call] = append(in.attempts[command.Call], a)
	sim.attempts++
	sim.After(hopTime, a.submit)
	sim.After(command.Deadline-sim.Now(), func() { a.end(router.TimedOut) })
	a.watchForStalls()
}

func (a *attempt) submit() {
	switch {
	case a.over:
	case a.engine.rng.Float64() < a.engine.failShare:
		a.receive(a.failed)
	default:
		a.engine.submit(a.job)
	}
}

// receive handles what the engine sends, unless the attempt is over when it arrives. It carries the engine's load.
func (a *attempt) receive(handle func()) {
	load := a.engine.load()
	a.in.sim.After(hopTime, func() {
		if !a.over {
			a.report = &router.EngineReport{Load: &load, Confirmed: true}
			handle()
		}
	})
}

// started handles the first byte of the response.
func (a *attempt) started() {
	if a.firstByte > 0 {
		return
	}
	a.firstByte = a.in.sim.Now() - a.sentAt
	a.endOther()
	a.request.wait = a.in.sim.Now() - a.request.arrival
	a.in.later(0, router.ResponseStarted{Call: a.command.Call, Report: *a.report})
}

func (a *attempt) completed() {
	a.started()
	result := late
	if a.request.wait <= a.request.stream.kind.target {
		result = inTime
	}
	a.in.finish(a.command.Call, result)
	a.end(router.Completed)
}

// failed handles a failure response, which is held back if another attempt may follow.
func (a *attempt) failed() {
	a.firstByte = a.in.sim.Now() - a.sentAt
	if a.command.HoldFailure || a.isBeside() {
		a.end(router.Errored)
		return
	}
	a.in.finish(a.command.Call, failed)
	a.end(router.Completed)
}

// isBeside reports whether an older attempt is under way.
func (a *attempt) isBeside() bool { return a.in.attempts[a.command.Call][0] != a }

// endOther ends the other attempt of the request, because this one has begun to respond.
func (a *attempt) endOther() {
	outcome := router.Superseded
	if a.isBeside() {
		outcome = router.Stalled
	}
	for _, other := range slices.Clone(a.in.attempts[a.command.Call]) {
		if other != a {
			other.end(outcome)
		}
	}
}

// end ends the attempt unless it is over.
func (a *attempt) end(o router.Outcome) {
	if a.over {
		return
	}
	a.over = true
	id, sim := a.command.Call, a.in.sim
	ended := router.AttemptEnded{Call: id, Engine: a.command.Engine.ID, Outcome: o, FirstByte: a.firstByte, Report: a.report}
	ended.Discarded = o == router.Errored && a.isBeside()
	a.in.attempts[id] = slices.DeleteFunc(a.in.attempts[id], func(other *attempt) bool { return other == a })
	if len(a.in.attempts[id]) == 0 {
		delete(a.in.attempts, id)
	}
	if !a.job.ended {
		sim.After(hopTime, func() { a.engine.cancel(a.job) })
	}
	ended.Failed = o == router.Completed && a.request.result == failed
	ended.Delivered = a.firstByte > 0 && o != router.Errored
	if n := a.job.produced; o == router.Completed && n > 1 {
		ended.EventGap = (sim.Now() - a.sentAt - a.firstByte) / time.Duration(n-1)
	}
	a.in.later(0, ended)
}

// watchForStalls reports whenever the header of the response is missing for the header timeout. The patterns declare no
// target for the gap between events, so that streams have no gap timeout.
func (a *attempt) watchForStalls() {
	if a.command.HeaderTimeout <= 0 {
		return
	}
	a.in.sim.After(a.command.HeaderTimeout, func() {
		if !a.over && a.firstByte == 0 {
			a.in.step(router.AttemptStalled{Call: a.command.Call, Engine: a.command.Engine.ID})
			a.watchForStalls()
		}
	})
}

func (in *instance) endStalled(e router.EndStalledAttempt) {
	for _, a := range slices.Clone(in.attempts[e.Call]) {
		if a.command.Engine.ID == e.Engine && a.firstByte == 0 {
			a.end(router.Stalled)
		}
	}
}
