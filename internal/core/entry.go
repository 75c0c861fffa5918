package core

import (
	"slices"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
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

	attempt     uint64
	engine      *engineInfo
	home        fleet.InstanceID
	incarnation uint64
	queued      bool
	started     int
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

// startAdmission begins the walk over the chat's engines.
func (c *Core) startAdmission(r *request) {
	pool := c.pools[r.call.Service]
	if pool == nil {
		c.fail(r, FailureNotRun, CodeUnknownService, "the service is no longer published", 0)
		return
	}
	r.choices = pool.choices(r.call.Chat)
	r.next = 0
	r.mayQueue = false
	r.settled, r.placed = r.service.Kind != config.KindChat, ""
	c.askNext(r)
}

// askNext asks the home of the next choice. After all choices were asked in vain, the
// first one is asked to queue the request.
func (c *Core) askNext(r *request) {
	if len(r.choices) == 0 {
		c.fail(r, FailureNotRun, CodeNoEngine, "no engine of the service is running", overloadRetryAfter)
		return
	}
	if c.mono() >= r.waitLimit {
		c.fail(r, FailureNotRun, CodeOverloaded, "the request waited too long for an engine", overloadRetryAfter)
		return
	}
	for r.next < len(r.choices) && !r.mayQueue && c.skip(r, r.choices[r.next]) {
		r.next++
	}
	if r.next >= len(r.choices) {
		r.next = 0
		r.mayQueue = true
	}
	engine := r.choices[r.next]
	r.next++
	c.ask(r, engine)
}

// skip reports whether asking an engine is known to be useless.
func (c *Core) skip(r *request, engine *engineInfo) bool {
	if engine.stopped || slices.Contains(r.avoid, engine.ID) || engine.ID == r.placed {
		return true
	}
	// A saturated first choice is asked all the same: its home may know where the chat is warm.
	return engine.saturated && (r.settled || engine != r.choices[0])
}

// ask sends an admission request for an engine to its home.
func (c *Core) ask(r *request, engine *engineInfo) {
	home := c.homeOf(engine)
	if home == "" {
		c.pause(r, c.jitter(admitTimeout), thenAdmit)
		return
	}
	c.entry.lastAttempt++
	r.attempt = c.entry.lastAttempt
	c.entry.byAttempt[r.attempt] = r
	r.engine = engine
	r.home = home
	r.queued = false
	r.stage = stageAdmit
	c.setTimer(r, c.mono()+admitTimeout)
	c.send(home, &wire.Admit{
		Attempt:     r.attempt,
		Engine:      engine.ID,
		Chat:        r.call.Chat,
		Customer:    r.call.Customer,
		Class:       uint8(r.class),
		WaitedMs:    millis(c.mono() - r.arrived),
		DeadlineMs:  c.remaining(r.deadline),
		Fingerprint: r.call.Fingerprint,
		MayQueue:    r.mayQueue,
		LastChoice:  r.mayQueue && r.walks >= maxWalks,
		Settled:     r.settled || engine != r.choices[0],
	})
	r.settled = true
}

// remaining returns the milliseconds until a deadline, at least 1, or 0 without a deadline.
func (c *Core) remaining(deadline time.Duration) uint32 {
	if deadline == 0 {
		return 0
	}
	return max(1, millis(deadline-c.mono()))
}

func millis(d time.Duration) uint32 {
	return uint32(max(0, min(d.Milliseconds(), 1<<32-1)))
}

// admitReplied handles a home's answer. A grant for an attempt that is no longer waited for is given back.
func (c *Core) admitReplied(from fleet.InstanceID, m *wire.AdmitReply) {
	r := c.entry.byAttempt[m.Attempt]
	if r == nil {
		c.giveBack(from, m)
		return
	}
	if r.stage != stageAdmit || r.home != from {
		c.count(CounterLateReplies, 1)
		return
	}
	switch m.Decision {
	case wire.DecisionGranted:
		r.incarnation = m.EngineIncarnation
		c.start(r)
	case wire.DecisionQueued:
		c.count(CounterQueued, 1)
		r.queued = true
		c.setTimer(r, r.waitLimit)
	case wire.DecisionRedirect:
		c.count(CounterRedirects, 1)
		c.forgetAttempt(r)
		if !c.askPlaced(r, m.Placed) {
			c.redirected(r)
		}
	case wire.DecisionRefused:
		c.admitRefused(r, m)
	}
}

// giveBack returns a grant or a place in a queue that a home gave to a late copy of a
// request. Without it the home would count an attempt that never ends.
func (c *Core) giveBack(home fleet.InstanceID, m *wire.AdmitReply) {
	c.count(CounterLateReplies, 1)
	if m.Decision == wire.DecisionGranted || m.Decision == wire.DecisionQueued {
		c.send(home, &wire.Release{Attempt: m.Attempt, Result: wire.ResultNotRun})
	}
}

func (c *Core) admitRefused(r *request, m *wire.AdmitReply) {
	c.forgetAttempt(r)
	switch m.Reason {
	case admission.Quarantined.String():
		c.fail(r, FailureNotRun, CodeQuarantined, quarantineMessage, 0)
	case admission.QueueFull.String(), admission.Expired.String(), admission.QueueTime.String():
		retryAfter := time.Duration(m.RetryAfterMs) * time.Millisecond
		c.fail(r, FailureNotRun, CodeOverloaded, "all engines of the service are busy", max(retryAfter, overloadRetryAfter))
	default:
		c.walkOn(r)
	}
}

// redirected asks the next choice. A request that has waited in a queue asks all choices again.
func (c *Core) redirected(r *request) {
	if !r.mayQueue {
		c.askNext(r)
		return
	}
	r.walks++
	c.startAdmission(r)
}

// walkOn asks the next choice, after a short pause once every choice was asked.
func (c *Core) walkOn(r *request) {
	if !r.mayQueue {
		c.askNext(r)
		return
	}
	r.walks++
	c.pause(r, c.jitter(c.cfg.Rewalk), thenAdmit)
}

// start sends a granted attempt to its engine.
func (c *Core) start(r *request) {
	r.stage = stageRun
	c.stopTimer(r)
	r.started++
	c.count(CounterAttempts, 1)
	if r.started == 1 {
		c.budget.Attempt()
		c.countChoice(r)
	}
	c.announcePlacement(r)
	id := c.attemptID(r.attempt)
	c.emit(StartAttempt{
		Request:      r.id,
		Attempt:      r.attempt,
		AttemptID:    id,
		Target:       r.engine.target(),
		Resume:       r.resume,
		Class:        r.class,
		StallTimeout: r.service.StallTimeout,
	})
	c.record(r, "attempt_started", "")
}

func (c *Core) countChoice(r *request) {
	if len(r.choices) > 0 && r.engine == r.choices[0] {
		c.count(CounterFirstChoice, 1)
		return
	}
	c.count(CounterOverflow, 1)
}

// attemptID returns the fleet-wide id of an attempt of this instance.
func (c *Core) attemptID(attempt uint64) fleet.AttemptID {
	return attemptIDOf(c.cfg.Instance, c.cfg.Incarnation, attempt)
}

func attemptIDOf(instance fleet.InstanceID, incarnation, attempt uint64) fleet.AttemptID {
	id := string(instance) + "-" + strconv.FormatUint(incarnation, 36) + "-" + strconv.FormatUint(attempt, 36)
	return fleet.AttemptID(id)
}

func (c *Core) firstByte(ev FirstByte) {
	if r := c.entry.byAttempt[ev.Attempt]; r != nil && r.id == ev.Request {
		c.record(r, "first_byte", "")
	}
}

// forgetAttempt drops an attempt that was not granted.
func (c *Core) forgetAttempt(r *request) {
	delete(c.entry.byAttempt, r.attempt)
	c.stopTimer(r)
}

// withdraw gives an attempt back to its home, whether it was granted or not.
func (c *Core) withdraw(r *request) {
	c.releaseGrant(r, wire.ResultNotRun, false)
}

func (c *Core) releaseGrant(r *request, result wire.Result, cached bool) {
	c.forgetAttempt(r)
	c.send(r.home, &wire.Release{Attempt: r.attempt, Engine: r.engine.ID, Result: result, Cached: cached})
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

// admitTimedOut gives up on a home that did not answer, or on a queue after the request's longest wait.
func (c *Core) admitTimedOut(r *request) {
	c.withdraw(r)
	if r.queued {
		c.fail(r, FailureNotRun, CodeOverloaded, "all engines of the service are busy", overloadRetryAfter)
		return
	}
	c.count(CounterAdmitTimeouts, 1)
	c.walkOn(r)
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
