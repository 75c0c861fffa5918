package core

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// drainState is the state of a drain. A drain is never undone.
type drainState struct {
	active    bool
	startedAt time.Duration
	// ending is set once the deadline has passed: no request is taken and no attempt begins any more.
	ending bool
	// completed is set once Drained has been emitted.
	completed bool
}

// drainRequested starts a drain: the instance reports not ready, releases its duty and
// announces the drain, so that other instances become home of its engines. Requests in flight
// continue.
func (c *Core) drainRequested() {
	if c.drain.active {
		return
	}
	c.drain.active = true
	c.drain.startedAt = c.mono()
	c.emit(RecordEvent{Kind: "draining"})
	c.emit(DrainStarted{})
	c.updateReady()
	c.releaseDuties()
	c.applyMemberChanges(c.view.SetDraining(c.mono(), true))
	c.sendHeartbeats()
}

// tickDrain reports the end of a drain: BalancerGrace is over, no request is open and no end
// of a claim is unconfirmed.
func (c *Core) tickDrain() {
	if !c.drain.active || c.drain.completed {
		return
	}
	if c.mono() < c.drain.startedAt+c.cfg.BalancerGrace {
		return
	}
	if len(c.entry.requests) > 0 || len(c.claims.unconfirmedEnds) > 0 {
		return
	}
	c.drain.completed = true
	c.emit(RecordEvent{Kind: "drained"})
	c.emit(Drained{})
}

// drainDeadlinePassed gives the open requests a final answer. Those that are at an engine get it when their attempt has
// been interrupted; an answer that has begun goes on until the daemon ends.
func (c *Core) drainDeadlinePassed() {
	if c.drain.ending {
		return
	}
	c.drain.ending = true
	c.emit(RecordEvent{Kind: "drain_deadline_passed"})
	c.emit(InterruptAttempts{})
	for _, id := range slices.Sorted(maps.Keys(c.entry.requests)) {
		r := c.entry.requests[id]
		if r.stage == stageRun {
			continue
		}
		if r.stage == stageAdmit {
			c.withdrawAttempt(r)
		}
		c.failStopping(r, FailureNotRun)
	}
}

// failStopping fails a request because the instance ends.
func (c *Core) failStopping(r *request, kind FailureKind) {
	c.failRequest(r, kind, CodeStopping, "the instance stops", overloadRetryAfter)
}

// attemptInterrupted ends a request whose attempt ended without an answer after the drain deadline. It returns false for
// calls that are not idempotent, which end as after any other lost attempt.
func (c *Core) attemptInterrupted(r *request, result wire.Result) bool {
	switch {
	case !c.drain.ending:
		return false
	case result == wire.ResultNotRun:
		c.failStopping(r, FailureNotRun)
		return true
	case r.call.NonIdempotent || result == wire.ResultComplete || result == wire.ResultCanceled:
		return false
	case r.delivered:
		c.failLost(r)
	default:
		c.failStopping(r, FailureUnknown)
	}
	return true
}
