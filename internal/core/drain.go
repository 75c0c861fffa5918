package core

import "time"

// drainState is the state of a drain.
type drainState struct {
	active   bool
	since    time.Duration
	reported bool
}

// drainRequested begins a drain: not ready, homes and duties go to others, requests in flight end.
func (c *Core) drainRequested() {
	if c.drain.active {
		return
	}
	c.drain.active = true
	c.drain.since = c.mono()
	c.emit(Record{Kind: "draining"})
	c.emit(DrainStarted{})
	c.updateReady()
	c.releaseDuties()
	c.applyChanges(c.view.SetDraining(c.mono(), true))
	c.sendHeartbeats()
}

// tickDrain reports the end of a drain: the balancer sends no more callers, and no request,
// grant or unconfirmed claim is left.
func (c *Core) tickDrain() {
	if !c.drain.active || c.drain.reported {
		return
	}
	if c.mono() < c.drain.since+c.cfg.BalancerGrace {
		return
	}
	if len(c.entry.requests) > 0 || len(c.claims.ends) > 0 {
		return
	}
	c.drain.reported = true
	c.emit(Record{Kind: "drained"})
	c.emit(Drained{})
}
