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

// startAdmission starts a round that asks for admission to the chat's engines in order.
func (c *Core) startAdmission(r *request) {
	pool := c.pools[r.call.Service]
	if pool == nil {
		c.failRequest(r, FailureNotRun, CodeUnknownService, "the service is no longer published", 0)
		return
	}
	r.choices = pool.choices(r.call.Chat)
	r.nextChoice = 0
	r.mayQueue = false
	r.placementAsked, r.placedEngine = r.service.Kind != config.KindChat, ""
	c.askNextChoice(r)
}

// askNextChoice asks the home of the next choice. After all choices were asked without
// success, the first reachable one is asked to queue the request.
func (c *Core) askNextChoice(r *request) {
	if len(r.choices) == 0 {
		c.failRequest(r, FailureNotRun, CodeNoEngine, "no engine of the service is running", overloadRetryAfter)
		return
	}
	if c.mono() >= r.waitLimit {
		c.failRequest(r, FailureNotRun, CodeOverloaded, "the request waited too long for an engine", overloadRetryAfter)
		return
	}
	for r.nextChoice < len(r.choices) && !r.mayQueue && c.shouldSkip(r, r.choices[r.nextChoice]) {
		r.nextChoice++
	}
	if r.nextChoice >= len(r.choices) {
		r.nextChoice = 0
		r.mayQueue = true
	}
	for r.nextChoice < len(r.choices) && !c.isHomeReachable(r.choices[r.nextChoice]) {
		r.nextChoice++
	}
	if r.nextChoice >= len(r.choices) {
		c.pauseRequest(r, c.jitter(c.cfg.QueueRetryInterval), thenAdmit)
		return
	}
	engine := r.choices[r.nextChoice]
	r.nextChoice++
	c.requestAdmission(r, engine)
}

// isHomeReachable reports whether an engine's home can be asked. A home whose link is down is most
// likely gone. Its engines are skipped until membership gives them another home.
func (c *Core) isHomeReachable(engine *engineInfo) bool {
	home := c.homeOf(engine)
	return home == c.cfg.Instance || c.isLinked(home)
}

// shouldSkip reports whether a round skips an engine: it is stopped, unreachable, excluded or
// saturated, or has already been asked as the placed engine.
func (c *Core) shouldSkip(r *request, engine *engineInfo) bool {
	if engine.stopped || !c.isHomeReachable(engine) || slices.Contains(r.excludedEngines, engine.ID) || engine.ID == r.placedEngine {
		return true
	}
	// A saturated first choice is asked once, because its home may know on which engine the
	// chat is cached.
	return engine.saturated && (r.placementAsked || engine != r.choices[0])
}

// requestAdmission sends an admission request for an engine to its home, as a new attempt.
func (c *Core) requestAdmission(r *request, engine *engineInfo) {
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
		Attempt:         r.attempt,
		Engine:          engine.ID,
		Chat:            r.call.Chat,
		Customer:        r.call.Customer,
		Class:           uint8(r.class),
		WaitedMs:        millis(c.mono() - r.arrived),
		DeadlineMs:      c.remainingMillis(r.deadline),
		Fingerprint:     r.call.Fingerprint,
		MayQueue:        r.mayQueue,
		NoRedirect:      r.mayQueue && r.admissionRounds >= maxAdmissionRounds,
		IgnorePlacement: r.placementAsked || engine != r.choices[0],
	})
	r.placementAsked = true
}

// remainingMillis returns the milliseconds until a deadline, at least 1, or 0 without a deadline.
func (c *Core) remainingMillis(deadline time.Duration) uint32 {
	if deadline == 0 {
		return 0
	}
	return max(1, millis(deadline-c.mono()))
}

// millis converts a duration to milliseconds and limits it to the range of uint32.
func millis(d time.Duration) uint32 {
	return uint32(max(0, min(d.Milliseconds(), 1<<32-1)))
}

// admitReplied handles a home's answer to an admission request. A grant of an attempt that no
// longer exists is returned.
func (c *Core) admitReplied(from fleet.InstanceID, m *wire.AdmitReply) {
	r := c.entry.byAttempt[m.Attempt]
	if r == nil {
		c.returnLateGrant(from, m)
		return
	}
	if r.stage != stageAdmit || r.home != from {
		c.count(CounterLateReplies, 1)
		return
	}
	switch m.Decision {
	case wire.DecisionGranted:
		c.startAttempt(r)
	case wire.DecisionQueued:
		c.count(CounterQueued, 1)
		r.queued = true
		c.setTimer(r, r.waitLimit)
	case wire.DecisionRedirect:
		c.count(CounterRedirects, 1)
		c.removeAttempt(r)
		if !c.askPlacedEngine(r, m.Placed) {
			c.admitRedirected(r)
		}
	case wire.DecisionRefused:
		c.admitRefused(r, m)
	}
}

// returnLateGrant releases a grant or a place in a queue of an attempt that this entry has
// already ended. Otherwise the home would count an attempt that never ends.
func (c *Core) returnLateGrant(home fleet.InstanceID, m *wire.AdmitReply) {
	c.count(CounterLateReplies, 1)
	if m.Decision == wire.DecisionGranted || m.Decision == wire.DecisionQueued {
		c.send(home, &wire.Release{Attempt: m.Attempt, Result: wire.ResultNotRun})
	}
}

func (c *Core) admitRefused(r *request, m *wire.AdmitReply) {
	c.removeAttempt(r)
	switch m.Reason {
	case admission.Quarantined.String():
		c.failRequest(r, FailureNotRun, CodeQuarantined, quarantineMessage, 0)
	case admission.QueueFull.String(), admission.Expired.String(), admission.QueueTime.String():
		retryAfter := time.Duration(m.RetryAfterMs) * time.Millisecond
		c.failRequest(r, FailureNotRun, CodeOverloaded, "all engines of the service are busy", max(retryAfter, overloadRetryAfter))
	default:
		c.askNextOrPause(r)
	}
}

// admitRedirected asks the next choice. A request that may queue starts a new round.
func (c *Core) admitRedirected(r *request) {
	if !r.mayQueue {
		c.askNextChoice(r)
		return
	}
	r.admissionRounds++
	c.startAdmission(r)
}

// askNextOrPause asks the next choice. Once every choice was asked, it starts a new round
// after a pause.
func (c *Core) askNextOrPause(r *request) {
	if !r.mayQueue {
		c.askNextChoice(r)
		return
	}
	r.admissionRounds++
	c.pauseRequest(r, c.jitter(c.cfg.QueueRetryInterval), thenAdmit)
}

// startAttempt sends a granted attempt to its engine.
func (c *Core) startAttempt(r *request) {
	r.stage = stageRun
	c.stopTimer(r)
	r.attemptsStarted++
	c.count(CounterAttempts, 1)
	if r.attemptsStarted == 1 {
		c.retryBudget.Attempt()
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
	c.recordRequestEvent(r, "attempt_started", "")
}

// countChoice counts whether a request's first attempt runs on its first choice.
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
		c.recordRequestEvent(r, "first_byte", "")
	}
}

// removeAttempt removes the request's current attempt and stops its timer.
func (c *Core) removeAttempt(r *request) {
	delete(c.entry.byAttempt, r.attempt)
	c.stopTimer(r)
}

// withdrawAttempt cancels an attempt at its home, whether it was granted or not.
func (c *Core) withdrawAttempt(r *request) {
	c.releaseAttempt(r, wire.ResultNotRun, false)
}

// releaseAttempt removes an attempt and reports its result to its home.
func (c *Core) releaseAttempt(r *request, result wire.Result, cached bool) {
	c.removeAttempt(r)
	c.send(r.home, &wire.Release{Attempt: r.attempt, Engine: r.engine.ID, Result: result, Cached: cached})
}

// admitTimedOut handles an attempt whose home did not answer in time, or whose request has
// waited in a queue up to its limit.
func (c *Core) admitTimedOut(r *request) {
	c.withdrawAttempt(r)
	if r.queued {
		c.failRequest(r, FailureNotRun, CodeOverloaded, "all engines of the service are busy", overloadRetryAfter)
		return
	}
	c.count(CounterAdmitTimeouts, 1)
	c.askNextOrPause(r)
}
