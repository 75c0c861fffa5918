package core

import (
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/membership"
)

// heartbeatReceived updates the view, the totals and the versions heard.
func (c *Core) heartbeatReceived(from fleet.InstanceID, incarnation uint64, m *wire.Heartbeat) {
	peer, ok := c.members.linked[from]
	if !ok || peer.incarnation != incarnation || m.Sequence <= peer.sequence {
		// A late heartbeat would put back totals that a newer one has replaced.
		return
	}
	peer.sequence = m.Sequence
	c.members.linked[from] = peer
	c.applyChanges(c.view.Heard(c.mono(), membership.Beat{
		Instance:    peer.Instance,
		Incarnation: incarnation,
		Draining:    m.Draining,
		Interval:    time.Duration(m.IntervalMs) * time.Millisecond,
	}))
	c.mergePools(from, m)
	c.markSaturated(m)
	c.versionHeard(from, m.ConfigVersion)
}

func (c *Core) mergePools(from fleet.InstanceID, m *wire.Heartbeat) {
	totals := c.homes.peerPools[from]
	if totals == nil || m.Full {
		totals = make(map[fleet.ServiceID]wire.PoolTotal)
		c.homes.peerPools[from] = totals
	}
	for _, total := range m.Pools {
		if total.CapacityMilli == 0 {
			delete(totals, total.Service)
			continue
		}
		totals[total.Service] = total
	}
	if len(m.Pools) > 0 || m.Full {
		c.updatePoolTotals()
		c.sendDecisions()
	}
}

func (c *Core) markSaturated(m *wire.Heartbeat) {
	for _, id := range m.Saturated {
		if engine := c.engines[id]; engine != nil {
			engine.saturated = true
		}
	}
	for _, id := range m.Relieved {
		if engine := c.engines[id]; engine != nil {
			engine.saturated = false
		}
	}
}

// tickHeartbeat sends heartbeats at their interval, and earlier when the load changed and
// the control budget allows it.
func (c *Core) tickHeartbeat() {
	if c.mono() >= c.members.nextHeartbeat {
		c.sendHeartbeats()
		return
	}
	if c.mono() < c.members.nextLoadCheck {
		return
	}
	c.members.nextLoadCheck = c.mono() + minLoadInterval
	if c.mayAnnounce() && !c.homes.admission.Counts().Since(c.homes.announced).Empty() {
		c.sendHeartbeats()
	}
}

// sendHeartbeats sends what changed since the last heartbeat to all linked peers.
func (c *Core) sendHeartbeats() {
	interval := c.heartbeatInterval()
	c.view.SetInterval(interval)
	c.members.nextHeartbeat = c.mono() + interval
	counts := c.homes.admission.Counts()
	delta := counts.Since(c.homes.announced)
	c.homes.announced = counts
	beat := c.heartbeat()
	if beat.Sequence%fullHeartbeatEvery == 0 {
		c.fillHeartbeat(beat, counts)
	} else {
		beat.Pools = poolTotals(delta.Pools)
		for _, id := range delta.Gone {
			beat.Pools = append(beat.Pools, wire.PoolTotal{Service: id})
		}
		beat.Saturated = delta.Saturated
	}
	beat.Relieved = delta.Cleared
	c.markSaturated(beat)
	c.chargeHeartbeat(beat)
	c.broadcast(beat)
}

// fillHeartbeat makes a heartbeat carry complete state.
func (c *Core) fillHeartbeat(beat *wire.Heartbeat, counts admission.Counts) {
	beat.Full = true
	beat.Pools = poolTotals(counts.Pools)
	beat.Saturated = counts.Saturated
}

func (c *Core) heartbeat() *wire.Heartbeat {
	c.members.sequence++
	return &wire.Heartbeat{
		Sequence:      c.members.sequence,
		ConfigVersion: c.conf.version(),
		Draining:      c.drain.active,
		IntervalMs:    millis(c.heartbeatInterval()),
	}
}

// heartbeatInterval is the longest time between heartbeats: the least that keeps them
// within a third of the control budget.
func (c *Core) heartbeatInterval() time.Duration {
	interval := membership.HeartbeatInterval(len(c.members.linked), heartbeatBytes, c.cfg.ControlBudget)
	return max(interval, c.cfg.HeartbeatInterval)
}

func poolTotals(counts []admission.PoolCount) []wire.PoolTotal {
	totals := make([]wire.PoolTotal, len(counts))
	for i, count := range counts {
		totals[i] = wire.PoolTotal{
			Service:       count.Pool,
			InFlight:      count.InFlight,
			CapacityMilli: int64(count.Capacity * 1000),
		}
	}
	return totals
}
