package core

import (
	"time"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

const (
	// admitTimeout is the time to wait for a home's first reply, far above a round trip between data centres.
	admitTimeout = 500 * time.Millisecond
	// maxEngineLosses is the number of engines that one request may lose before it ends.
	maxEngineLosses = 2
	// strikeSpread delays what follows a broken attempt, so that the engine's home can confirm a
	// crash and the strike reaches every instance before the request runs or is sent again.
	strikeSpread = 300 * time.Millisecond
	// overloadRetryAfter is the hint to callers that are refused for load.
	overloadRetryAfter = time.Second
	// maxWalks is the number of walks over a chat's choices before a request stays in one queue.
	// More walks under long overload would cost messages and gain nothing.
	maxWalks = 3

	quarantineMessage = "this request crashed engines and is refused by its fingerprint"
)

// stage is the point that a request has reached.
type stage uint8

const (
	stageRate stage = iota + 1
	stageClaim
	stageAdmit
	stageRun
	stagePause
)

// request is a caller's request at its entry.
type request struct {
	id       RequestID
	call     Call
	service  *config.Service
	customer *config.Customer
	class    int
	arrived  time.Duration
	// waitLimit is when the request is refused if it still waits.
	waitLimit time.Duration
	// deadline is when the work must be done; zero means none.
	deadline time.Duration
	stage    stage
	// timer is when the present stage is looked at again; zero means never.
	timer time.Duration

	choices []*engineInfo
	next    int
	// settled is set once the first choice's home was asked where the chat was placed, and
	// placed is its answer.
	settled bool
	placed  fleet.EngineID
	// mayQueue is set once all choices were asked without success.
	mayQueue bool
	// walks counts the times that all choices were asked.
	walks int

	attempt uint64
	engine  *engineInfo
	home    fleet.InstanceID
	queued  bool
	started int
	// avoid lists engines that refused or lost an attempt.
	avoid []fleet.EngineID
	// losses counts the attempts that may have run without a whole answer.
	losses    int
	delivered bool
	resume    bool

	claim requestClaim
	// after is what follows a pause.
	after continuation
}

// continuation is what a request does after a pause.
type continuation uint8

const (
	thenAdmit continuation = iota + 1
	thenRepeat
	thenFail
	thenClaim
)

// entryState is the state of the entry role.
type entryState struct {
	requests    map[RequestID]*request
	byAttempt   map[uint64]*request
	lastAttempt uint64
	timers      timerQueue
}

func (e *entryState) init() {
	e.requests = make(map[RequestID]*request)
	e.byAttempt = make(map[uint64]*request)
}

func (c *Core) requestArrived(ev RequestArrived) {
	c.count(CounterRequests, 1)
	r := &request{id: ev.Request, call: ev.Call, arrived: c.mono()}
	c.entry.requests[r.id] = r
	if !c.resolve(r) {
		return
	}
	if c.refuseQuarantined(r) {
		return
	}
	c.takeRate(r)
}

// resolve finds the published objects that a request names. It ends the request when one is missing.
func (c *Core) resolve(r *request) bool {
	if c.snapshot == nil {
		c.fail(r, FailureNotRun, CodeNotReady, "no configuration is in force yet", overloadRetryAfter)
		return false
	}
	r.service = c.snapshot.Services[r.call.Service]
	r.customer = c.snapshot.Customers[r.call.Customer]
	if r.service == nil || r.customer == nil {
		c.fail(r, FailureNotRun, CodeUnknownService, "the service or customer is no longer published", 0)
		return false
	}
	priority := c.priority(r)
	r.class = priority.Class
	r.waitLimit = c.mono() + priority.MaxQueue
	if priority.Deadline != nil {
		r.deadline = c.mono() + priority.Deadline.Next(c.now.Wall).Sub(c.now.Wall)
	}
	return true
}

// priority returns the published priority of a request. A caller may lower its customer's
// priority and not raise it.
func (c *Core) priority(r *request) config.Priority {
	own, ok := c.snapshot.Priorities[r.customer.Priority]
	if !ok {
		own = config.Priority{Class: config.DefaultClass, MaxQueue: config.DefaultMaxQueue}
	}
	asked, ok := c.snapshot.Priorities[r.call.Priority]
	if ok && asked.Class >= own.Class {
		return asked
	}
	return own
}

func (c *Core) refuseQuarantined(r *request) bool {
	verdict := c.poison.Check(c.mono(), r.call.Fingerprint)
	if verdict.State != quarantine.Quarantined {
		return false
	}
	c.count(CounterQuarantineRefused, 1)
	c.fail(r, FailureNotRun, CodeQuarantined, quarantineMessage, verdict.Until-c.mono())
	return true
}

// pause stops work on a request for a time.
func (c *Core) pause(r *request, d time.Duration, after continuation) {
	r.stage = stagePause
	r.after = after
	c.setTimer(r, c.mono()+d)
}

// callerGone ends a request whose caller left while no attempt ran.
func (c *Core) callerGone(ev CallerGone) {
	r := c.entry.requests[ev.Request]
	if r == nil {
		return
	}
	if r.stage == stageAdmit || r.stage == stageRun {
		c.withdraw(r)
	}
	c.endClaim(r, wire.ClaimEndReleased)
	c.count(CounterCanceled, 1)
	c.finish(r, "canceled")
}

// fail ends a request with an error to its caller.
func (c *Core) fail(r *request, kind FailureKind, code, message string, retryAfter time.Duration) {
	kind = r.honest(kind)
	if kind == FailureNotRun {
		c.endClaim(r, wire.ClaimEndReleased)
	}
	c.countFailure(kind)
	c.emit(FailRequest{Request: r.id, Kind: kind, Code: code, Message: message, RetryAfter: retryAfter})
	c.finish(r, string(kind)+" "+code)
}

// honest returns what may be said of a failure: a request of which an attempt may have run was not "not run".
func (r *request) honest(kind FailureKind) FailureKind {
	switch {
	case kind != FailureNotRun:
		return kind
	case r.delivered:
		return FailureFailed
	case r.losses > 0:
		return FailureUnknown
	}
	return kind
}

func (c *Core) countFailure(kind FailureKind) {
	switch kind {
	case FailureNotRun:
		c.count(CounterFailedNotRun, 1)
	case FailureUnknown:
		c.count(CounterFailedUnknown, 1)
	case FailureFailed:
		c.count(CounterFailedFailed, 1)
	}
}

// finish removes a request that has been answered.
func (c *Core) finish(r *request, detail string) {
	c.record(r, "request_ended", detail)
	delete(c.entry.requests, r.id)
}

// tickEntry looks at the requests whose timers are due.
func (c *Core) tickEntry() {
	for _, id := range c.entry.timers.due(c.mono()) {
		r := c.entry.requests[id]
		if r != nil && r.timer != 0 && c.mono() >= r.timer {
			c.requestDue(r)
		}
	}
}

func (c *Core) setTimer(r *request, at time.Duration) {
	r.timer = at
	c.entry.timers.add(at, r.id)
}

func (c *Core) stopTimer(r *request) { r.timer = 0 }

func (c *Core) requestDue(r *request) {
	r.timer = 0
	switch r.stage {
	case stageRate:
		c.rateTimedOut(r)
	case stageClaim:
		c.claimTimedOut(r)
	case stageAdmit:
		c.admitTimedOut(r)
	case stagePause:
		c.proceed(r)
	}
}

// proceed continues a request after a pause.
func (c *Core) proceed(r *request) {
	switch r.after {
	case thenAdmit:
		c.startAdmission(r)
	case thenRepeat:
		c.repeat(r)
	case thenFail:
		c.failLost(r)
	case thenClaim:
		c.startClaim(r)
	}
}

func (c *Core) record(r *request, kind, detail string) {
	e := Record{Kind: kind, Request: r.id, Chat: r.call.Chat, Customer: r.call.Customer, Detail: detail}
	if r.engine != nil {
		e.Engine = r.engine.ID
		e.Attempt = c.attemptID(r.attempt)
	}
	c.emit(e)
}
