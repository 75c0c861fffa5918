package core

import (
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

// attemptEnded decides what follows an attempt. An end of an attempt that is not the
// request's present one is dropped.
func (c *Core) attemptEnded(ev AttemptEnded) {
	r := c.entry.requests[ev.Request]
	if r == nil || r.attempt != ev.Attempt || r.stage != stageRun {
		c.count(CounterLateReplies, 1)
		return
	}
	r.delivered = r.delivered || ev.Delivered
	c.releaseGrant(r, ev.Result, ev.Cached)
	switch ev.Result {
	case wire.ResultComplete:
		c.attemptComplete(r, ev)
	case wire.ResultCanceled:
		c.endClaim(r, wire.ClaimEndUnknown)
		c.count(CounterCanceled, 1)
		c.finish(r, "canceled")
	case wire.ResultNotRun:
		c.attemptNotRun(r)
	case wire.ResultBroken, wire.ResultStalled:
		c.attemptLost(r, ev)
	}
}

func (c *Core) attemptComplete(r *request, ev AttemptEnded) {
	c.count(CounterComplete, 1)
	if ev.Cached {
		c.count(CounterCacheHits, 1)
	}
	c.recordOutcome(r, ev.Outcome)
	c.finish(r, "complete")
}

// attemptNotRun tries another engine after a refusal or a failed dial.
func (c *Core) attemptNotRun(r *request) {
	r.avoid = append(r.avoid, r.engine.ID)
	if !c.allowRetry() {
		c.fail(r, FailureNotRun, CodeEngineRefused, "the engine did not take the request", overloadRetryAfter)
		return
	}
	c.startAdmission(r)
}

// attemptLost handles an attempt that broke off or went silent: the request may have run.
func (c *Core) attemptLost(r *request, ev AttemptEnded) {
	r.losses++
	r.avoid = append(r.avoid, r.engine.ID)
	if r.call.NonIdempotent {
		c.endClaim(r, wire.ClaimEndUnknown)
		c.fail(r, FailureUnknown, CodeOutcomeUnknown, "the call may have run; send it again with the same key to learn its outcome", 0)
		return
	}
	if r.losses >= maxEngineLosses || !c.canRepeat(r, ev) || !c.allowRetry() {
		c.pause(r, strikeSpread, thenFail)
		return
	}
	c.pause(r, strikeSpread, thenRepeat)
}

// canRepeat reports whether the answer can be continued or begun again.
func (c *Core) canRepeat(r *request, ev AttemptEnded) bool {
	if !r.delivered {
		return true
	}
	return ev.Resumable && r.service.Resume
}

func (c *Core) repeat(r *request) {
	if c.quarantined(r) {
		c.failLost(r)
		return
	}
	if r.delivered {
		r.resume = true
		c.count(CounterResumed, 1)
	}
	c.startAdmission(r)
}

func (c *Core) quarantined(r *request) bool {
	return c.poison.Check(c.mono(), r.call.Fingerprint).State == quarantine.Quarantined
}

// failLost tells the caller that its request was lost with its engine.
func (c *Core) failLost(r *request) {
	switch {
	case c.quarantined(r):
		c.fail(r, FailureFailed, CodeQuarantined, quarantineMessage, 0)
	case r.delivered:
		c.fail(r, FailureFailed, CodeStreamLost, "the stream was lost and could not be resumed", overloadRetryAfter)
	default:
		c.fail(r, FailureUnknown, CodeEngineLost, "the engine was lost while it ran the request", overloadRetryAfter)
	}
}

// allowRetry takes one extra attempt from the instance's retry budget.
func (c *Core) allowRetry() bool {
	if !c.budget.Allow() {
		c.count(CounterRetriesDenied, 1)
		return false
	}
	c.count(CounterRetries, 1)
	return true
}
