package core

import (
	"slices"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

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
	for r.next < len(r.choices) && !c.reachable(r.choices[r.next]) {
		r.next++
	}
	if r.next >= len(r.choices) {
		c.pause(r, c.jitter(c.cfg.Rewalk), thenAdmit)
		return
	}
	engine := r.choices[r.next]
	r.next++
	c.ask(r, engine)
}

// reachable reports whether an engine's home can be asked. A home whose link is down is most
// likely gone; until its silence is long enough for another home, its engines are passed over.
func (c *Core) reachable(engine *engineInfo) bool {
	home := c.homeOf(engine)
	return home == c.cfg.Instance || c.isLinked(home)
}

// skip reports whether asking an engine is known to be useless.
func (c *Core) skip(r *request, engine *engineInfo) bool {
	if engine.stopped || !c.reachable(engine) || slices.Contains(r.avoid, engine.ID) || engine.ID == r.placed {
		return true
	}
	// A saturated first choice is asked all the same: its home may know where the chat is warm.
	return engine.saturated && (r.settled || engine != r.choices[0])
}

// ask sends an admission request for an engine to its home.
func (c *Core) ask(r *request, engine *engineInfo) {
	home := c.homeOf(engine)
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
