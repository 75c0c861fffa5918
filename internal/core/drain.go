package core

import "time"

// drainState is the state of a drain. A drain is never undone.
type drainState struct {
	active    bool
	startedAt time.Duration
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
