package core

import (
	"time"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

const (
	// admitTimeout is the time limit of a home's first reply, far above a round trip between data centres.
	admitTimeout = 500 * time.Millisecond
	// maxLostAttempts is the number of lost attempts at which a request fails.
	maxLostAttempts = 2
	// strikePropagationDelay is the pause between a lost attempt and the request's retry or
	// failure. In it the engine's home can confirm a crash and the strike reaches every
	// instance before the request is tried again here or sent again by its caller.
	strikePropagationDelay = 300 * time.Millisecond
	// overloadRetryAfter is the Retry-After hint for refusals that may pass soon.
	overloadRetryAfter = time.Second
	// maxAdmissionRounds is the number of unsuccessful rounds over a chat's choices after which
	// a request stays in one queue. Under long overload, more rounds would cost messages
	// without finding a free engine.
	maxAdmissionRounds = 3

	quarantineMessage = "this request crashed engines and is refused by its fingerprint"
)

// stage is what a request waits for.
type stage uint8

const (
	stageRate stage = iota + 1
	stageClaim
	stageAdmit
	stageRun
	stagePause
)

// request is the entry's state of a caller's request.
type request struct {
	id       RequestID
	call     Call
	service  *config.Service
	customer *config.Customer
	class    int
	arrived  time.Duration
	// waitLimit is when the request is refused if no engine has been granted.
	waitLimit time.Duration
	// deadline is when the work must be done; zero means none.
	deadline time.Duration
	stage    stage
	// dueAt is when the current stage times out; zero means never.
	dueAt time.Duration

	// choices lists the engines in the chat's order of preference; nextChoice is the index of
	// the one to ask next.
	choices    []*engineInfo
	nextChoice int
	// placementAsked is set once the first choice's home was asked on which engine the chat
	// ran last, and placedEngine is its answer.
	placementAsked bool
	placedEngine   fleet.EngineID
	// mayQueue is set once all choices were asked without success: the next home that is asked
	// may queue the request.
	mayQueue bool
	// admissionRounds counts the unsuccessful rounds over all choices.
	admissionRounds int

	// attempt, engine and home identify the current attempt; queued is set while it waits in
	// the home's queue.
	attempt         uint64
	engine          *engineInfo
	home            fleet.InstanceID
	queued          bool
	attemptsStarted int
	// excludedEngines lists the engines that refused or lost an attempt of this request.
	excludedEngines []fleet.EngineID
	// lostAttempts counts the attempts that may have run but gave no complete answer.
	lostAttempts int
	delivered    bool
	resume       bool

	claim requestClaim
	// afterPause is the step that follows the current pause.
	afterPause continuation
}

// continuation is the step that follows a pause.
type continuation uint8

const (
	thenAdmit continuation = iota + 1
	thenRetry
	thenFail
	thenClaim
)

// entryState is the state of the entry role: all open requests, by id and by current attempt.
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
	if c.drain.ending {
		c.failStopping(r, FailureNotRun)
		return
	}
	if !c.resolveNames(r) {
		return
	}
	if c.refuseQuarantined(r) {
		return
	}
	c.acquireRateToken(r)
}

// resolveNames looks up the published service, customer and priority of a request. It fails the
// request and returns false when the service or customer is missing.
func (c *Core) resolveNames(r *request) bool {
	if c.snapshot == nil {
		c.failRequest(r, FailureNotRun, CodeNotReady, "no configuration is in force yet", overloadRetryAfter)
		return false
	}
	r.service = c.snapshot.Services[r.call.Service]
	r.customer = c.snapshot.Customers[r.call.Customer]
	if r.service == nil || r.customer == nil {
		c.failRequest(r, FailureNotRun, CodeUnknownService, "the service or customer is no longer published", 0)
		return false
	}
	priority := c.effectivePriority(r)
	r.class = priority.Class
	r.waitLimit = c.mono() + priority.MaxQueue
	if priority.Deadline != nil {
		r.deadline = c.mono() + priority.Deadline.Next(c.now.Wall).Sub(c.now.Wall)
	}
	return true
}

// effectivePriority returns the published priority of a request. A caller may ask for a lower
// priority than its customer's own but not for a higher one.
func (c *Core) effectivePriority(r *request) config.Priority {
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
	status := c.quarantine.Check(c.mono(), r.call.Fingerprint)
	if status.State != quarantine.Quarantined {
		return false
	}
	c.count(CounterQuarantineRefused, 1)
	c.failRequest(r, FailureNotRun, CodeQuarantined, quarantineMessage, status.Until-c.mono())
	return true
}

// pauseRequest suspends a request for a time and then continues it with the given step.
func (c *Core) pauseRequest(r *request, d time.Duration, after continuation) {
	r.stage = stagePause
	r.afterPause = after
	c.setTimer(r, c.mono()+d)
}

// callerDisconnected ends a request whose caller disconnected while the daemon ran no attempt of it.
// In stageRun an attempt was granted but the daemon had not started it.
func (c *Core) callerDisconnected(ev CallerDisconnected) {
	r := c.entry.requests[ev.Request]
	if r == nil {
		return
	}
	if r.stage == stageAdmit || r.stage == stageRun {
		c.withdrawAttempt(r)
	}
	c.endClaim(r, wire.ClaimEndReleased)
	c.count(CounterCanceled, 1)
	c.endRequest(r, "canceled")
}

// failRequest ends a request with an error to its caller.
func (c *Core) failRequest(r *request, kind FailureKind, code, message string, retryAfter time.Duration) {
	kind = r.reportedKind(kind)
	if kind == FailureNotRun {
		c.endClaim(r, wire.ClaimEndReleased)
	}
	c.countFailure(kind)
	c.emit(FailRequest{Request: r.id, Kind: kind, Code: code, Message: message, RetryAfter: retryAfter})
	c.endRequest(r, string(kind)+" "+code)
}

// reportedKind returns the failure kind to report: "not run" becomes "failed" when a part of
// the answer was delivered, and "unknown" when a lost attempt may have run.
func (r *request) reportedKind(kind FailureKind) FailureKind {
	switch {
	case kind != FailureNotRun:
		return kind
	case r.delivered:
		return FailureFailed
	case r.lostAttempts > 0:
		return FailureUnknown
	}
	return kind
}

func (c *Core) countFailure(kind FailureKind) {
	switch kind {
	case FailureNotRun:
		c.count(CounterRequestsNotRun, 1)
	case FailureUnknown:
		c.count(CounterRequestsUnknown, 1)
	case FailureFailed:
		c.count(CounterRequestsFailed, 1)
	}
}

// endRequest records the end of a request and removes it.
func (c *Core) endRequest(r *request, detail string) {
	c.recordRequestEvent(r, "request_ended", detail)
	delete(c.entry.requests, r.id)
}

// tickEntry handles the requests whose timers are due.
func (c *Core) tickEntry() {
	for _, id := range c.entry.timers.due(c.mono()) {
		r := c.entry.requests[id]
		if r != nil && r.dueAt != 0 && c.mono() >= r.dueAt {
			c.requestTimerDue(r)
		}
	}
}

func (c *Core) setTimer(r *request, at time.Duration) {
	r.dueAt = at
	c.entry.timers.add(at, r.id)
}

func (c *Core) stopTimer(r *request) { r.dueAt = 0 }

func (c *Core) requestTimerDue(r *request) {
	r.dueAt = 0
	switch r.stage {
	case stageRate:
		c.rateTimedOut(r)
	case stageClaim:
		c.claimTimedOut(r)
	case stageAdmit:
		c.admitTimedOut(r)
	case stagePause:
		c.continueAfterPause(r)
	}
}

// continueAfterPause runs the step that was given to pauseRequest.
func (c *Core) continueAfterPause(r *request) {
	switch r.afterPause {
	case thenAdmit:
		c.startAdmission(r)
	case thenRetry:
		c.retryLost(r)
	case thenFail:
		c.failLost(r)
	case thenClaim:
		c.startClaim(r)
	}
}

// recordRequestEvent adds an event of a request to the time line.
func (c *Core) recordRequestEvent(r *request, kind, detail string) {
	e := RecordEvent{Kind: kind, Request: r.id, Chat: r.call.Chat, Customer: r.call.Customer, Detail: detail}
	if r.engine != nil {
		e.Engine = r.engine.ID
		e.Attempt = c.attemptID(r.attempt)
	}
	c.emit(e)
}
