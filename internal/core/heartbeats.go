package core

import (
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/membership"
)

// heartbeatReceived updates the membership view, pool totals, saturated engines and versions.
func (c *Core) heartbeatReceived(from fleet.InstanceID, incarnation uint64, m *wire.Heartbeat) {
	peer, ok := c.members.linked[from]
	if !ok || peer.incarnation != incarnation || m.Sequence <= peer.sequence {
		// An out-of-order heartbeat would restore totals that a newer one has replaced.
		return
	}
	peer.sequence = m.Sequence
	c.members.linked[from] = peer
	c.applyMemberChanges(c.view.HandleHeartbeat(c.mono(), membership.Heartbeat{
		Instance:    peer.Instance,
		Incarnation: incarnation,
		Draining:    m.Draining,
		Interval:    time.Duration(m.IntervalMs) * time.Millisecond,
	}))
	c.mergePoolTotals(from, m)
	c.updateSaturated(m)
	c.peerHeadRead(m.HeadAgeMs)
	c.peerVersionReceived(from, m.ConfigVersion)
}

// mergePoolTotals applies the pool totals of a peer's heartbeat. Capacity 0 removes a pool.
func (c *Core) mergePoolTotals(from fleet.InstanceID, m *wire.Heartbeat) {
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

func (c *Core) updateSaturated(m *wire.Heartbeat) {
	for _, id := range m.Saturated {
		if engine := c.engines[id]; engine != nil {
			engine.saturated = true
		}
	}
	for _, id := range m.Unsaturated {
		if engine := c.engines[id]; engine != nil {
			engine.saturated = false
		}
	}
}

// tickHeartbeat sends heartbeats at their interval, and earlier if the load has changed and
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
	if c.mayAnnounceLoad() && !c.homes.admission.Counts().Since(c.homes.lastSentCounts).Empty() {
		c.sendHeartbeats()
	}
}

// sendHeartbeats sends what changed since the last heartbeat to all linked peers.
func (c *Core) sendHeartbeats() {
	interval := c.heartbeatInterval()
	c.view.SetInterval(interval)
	c.members.nextHeartbeat = c.mono() + interval
	counts := c.homes.admission.Counts()
	delta := counts.Since(c.homes.lastSentCounts)
	c.homes.lastSentCounts = counts
	heartbeat := c.newHeartbeat()
	if heartbeat.Sequence%fullHeartbeatEvery == 0 {
		c.addFullState(heartbeat, counts)
	} else {
		heartbeat.Pools = poolTotals(delta.Pools)
		for _, id := range delta.Gone {
			heartbeat.Pools = append(heartbeat.Pools, wire.PoolTotal{Service: id})
		}
		heartbeat.Saturated = delta.Saturated
	}
	heartbeat.Unsaturated = delta.Cleared
	c.updateSaturated(heartbeat)
	c.chargeHeartbeat(heartbeat)
	c.broadcast(heartbeat)
}

// addFullState puts the complete pool totals and saturated engines into a heartbeat.
func (c *Core) addFullState(heartbeat *wire.Heartbeat, counts admission.Counts) {
	heartbeat.Full = true
	heartbeat.Pools = poolTotals(counts.Pools)
	heartbeat.Saturated = counts.Saturated
}

// newHeartbeat returns a heartbeat with the next sequence number and without load.
func (c *Core) newHeartbeat() *wire.Heartbeat {
	c.members.heartbeatSequence++
	return &wire.Heartbeat{
		Sequence:      c.members.heartbeatSequence,
		ConfigVersion: c.configuration.version(),
		Draining:      c.drain.active,
		IntervalMs:    millis(c.heartbeatInterval()),
		HeadAgeMs:     c.headAgeMs(),
	}
}

// heartbeatInterval returns the regular interval of heartbeats: the shortest one that keeps
// them within a third of the control budget, but at least the configured one.
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
