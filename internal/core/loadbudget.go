package core

import (
	"time"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// frameHeaderBytes is the size of the WebSocket header of a heartbeat's frame.
	frameHeaderBytes = 8
	// maxLoadCreditTime, times the rate, is the largest unused credit that is kept.
	maxLoadCreditTime = 250 * time.Millisecond
)

// loadBudget is a token bucket of bytes. It limits the extra heartbeats that announce changed
// load to a third of the control budget. Heartbeats at the regular interval are charged too
// but never delayed.
type loadBudget struct {
	// credit is in bytes and may be negative.
	credit float64
	at     time.Duration
}

// refill adds the credit since the last call, at a rate in bytes per second.
func (b *loadBudget) refill(now time.Duration, rate float64) {
	b.credit = min(b.credit+rate*(now-b.at).Seconds(), rate*maxLoadCreditTime.Seconds())
	b.at = now
}

// mayAnnounceLoad reports whether the budget allows an extra heartbeat now.
func (c *Core) mayAnnounceLoad() bool {
	c.members.loadBudget.refill(c.mono(), float64(c.cfg.ControlBudget)/3)
	return c.members.loadBudget.credit > 0
}

// chargeHeartbeat deducts a heartbeat to all linked peers from the budget.
func (c *Core) chargeHeartbeat(heartbeat *wire.Heartbeat) {
	frame, err := wire.Append(nil, heartbeat)
	if err != nil {
		return
	}
	c.members.loadBudget.credit -= float64(len(c.members.linked) * (len(frame) + frameHeaderBytes))
}
