package core

import (
	"time"

	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// frameBytes is the WebSocket header of a heartbeat's frame.
	frameBytes = 8
	// loadCreditSpan bounds the unused budget for announcements of load that is kept for later.
	loadCreditSpan = 250 * time.Millisecond
)

// loadBudget limits the bytes of heartbeats, so that load is announced as early as a third of
// the control budget allows. Beats that are due in any case are charged and never held back.
type loadBudget struct {
	// credit is in bytes and may be negative.
	credit float64
	at     time.Duration
}

// refill adds a rate in bytes per second.
func (b *loadBudget) refill(now time.Duration, rate float64) {
	b.credit = min(b.credit+rate*(now-b.at).Seconds(), rate*loadCreditSpan.Seconds())
	b.at = now
}

// mayAnnounce reports whether the budget allows an announcement of load now.
func (c *Core) mayAnnounce() bool {
	c.members.load.refill(c.mono(), float64(c.cfg.ControlBudget)/3)
	return c.members.load.credit > 0
}

// chargeHeartbeat takes a heartbeat to all linked peers out of the budget.
func (c *Core) chargeHeartbeat(beat *wire.Heartbeat) {
	frame, err := wire.Append(nil, beat)
	if err != nil {
		return
	}
	c.members.load.credit -= float64(len(c.members.linked) * (len(frame) + frameBytes))
}
