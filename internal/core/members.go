package core

import (
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/membership"
)

const (
	// listInterval is the shortest time between reads of the platform's instance list, and
	// between plans of links after changes.
	listInterval = 2 * time.Second
	// earlyListReads is the number of reads after the start at the shortest interval, because
	// the list lags and instances that start together must find each other.
	earlyListReads = 5
	// listRowBytes is the size of a row of the list, and listShare the part of the control
	// budget for reading it. At 490 instances the list has 69 KB and is read every 27 s.
	listRowBytes = 142
	listShare    = 6
	// listSilence is the time after which an unanswered read of the list is repeated.
	listSilence = 10 * time.Second
	// heartbeatBytes is the size of a heartbeat with its frame, for the interval at the control budget.
	heartbeatBytes = 48
	// minLoadInterval is the shortest time between announcements of changed load: with 50 ms
	// twice as many starts were above the bound as with 20 ms.
	minLoadInterval = 20 * time.Millisecond
	// fullHeartbeatEvery is the number of heartbeats after which complete totals are repeated,
	// in case a link dropped a change.
	fullHeartbeatEvery = 10
	// judgeInterval is the time between looks for silent members, which scan the whole view.
	judgeInterval = 100 * time.Millisecond
	// stopCheckInterval is the time between checks for planned stops that begin or end.
	stopCheckInterval = 250 * time.Millisecond
)

// memberState is the state of the membership role.
type memberState struct {
	listed bool
	// listReads counts the answered reads of the list.
	listReads int
	nextList  time.Duration
	// replan tells that the view changed since links were planned.
	replan   bool
	nextPlan time.Duration
	// dialing holds the planned peers that should have dialed this instance and did not.
	dialing       map[fleet.InstanceID]bool
	nextHeartbeat time.Duration
	nextLoadCheck time.Duration
	nextStopCheck time.Duration
	nextJudge     time.Duration
	sequence      uint64
	load          loadBudget
	// linked holds the peers with an open link.
	linked map[fleet.InstanceID]linkedPeer
	epoch  uint64
}

// linkedPeer is what a peer said of itself when its link opened.
type linkedPeer struct {
	membership.Instance
	incarnation uint64
	// sequence is that of the last heartbeat.
	sequence uint64
}

func (m *memberState) init() {
	m.linked = make(map[fleet.InstanceID]linkedPeer)
}

func (c *Core) isLinked(id fleet.InstanceID) bool {
	_, ok := c.members.linked[id]
	return ok
}

// instanceList takes the platform's list of instances. Rows without this instance are kept: the list lags.
func (c *Core) instanceList(ev InstanceList) {
	c.members.nextList = c.mono() + c.jitter(c.nextListInterval(len(ev.Rows)))
	if ev.Err != nil {
		c.count(CounterStoreErrors, 1)
		return
	}
	c.members.listed = true
	c.members.listReads++
	rows := make([]membership.Row, len(ev.Rows))
	for i, row := range ev.Rows {
		rows[i] = membership.Row{Instance: membership.Instance{
			ID:         row.ID,
			Addr:       row.PeerAddr,
			DataCentre: row.DataCentre,
			Region:     row.Region,
		}, Leaving: row.Leaving}
	}
	region := 0
	for _, row := range rows {
		if row.Region == c.cfg.Region {
			region++
		}
	}
	c.setFleetSize(region, len(rows))
	c.applyChanges(c.view.List(c.mono(), rows))
	c.planLinks()
}

// nextListInterval is the longest time to the next read of a list. Heartbeats and open links
// tell of changes earlier, so a large list is read no more often than its share of the budget allows.
func (c *Core) nextListInterval(rows int) time.Duration {
	if c.members.listReads < earlyListReads {
		return listInterval
	}
	interval := time.Duration(rows*listRowBytes) * time.Second / time.Duration(c.cfg.ControlBudget/listShare)
	return max(interval, listInterval)
}

// planLinks sets the links to hold.
func (c *Core) planLinks() {
	self := membership.Instance{
		ID: c.cfg.Instance, Addr: c.cfg.PeerAddr, DataCentre: c.cfg.DataCentre, Region: c.cfg.Region,
	}
	links := membership.LinkPlan(self, c.view.Peers())
	peers := make([]PeerTarget, len(links))
	dialing := make(map[fleet.InstanceID]bool)
	var expected []fleet.InstanceID
	for i, link := range links {
		dialing[link.ID] = !link.Dial && c.mustDial(link.ID)
		peers[i] = PeerTarget{ID: link.ID, Addr: link.Addr, Dial: link.Dial || dialing[link.ID]}
		if link.Region != c.cfg.Region {
			expected = append(expected, link.ID)
		}
	}
	c.members.dialing = dialing
	c.members.replan = false
	c.members.nextPlan = c.mono() + listInterval
	c.view.Expect(c.mono(), expected)
	c.emit(SetPeers{Peers: peers})
}

// mustDial reports whether this instance dials a peer that should dial it: one that has not
// done so by the second read of the list, since it may learn of this instance much later. The
// choice stays, because the link would be closed with it.
func (c *Core) mustDial(peer fleet.InstanceID) bool {
	return c.members.dialing[peer] || (c.members.listReads > 1 && !c.isLinked(peer))
}

// applyChanges follows changes of the view.
func (c *Core) applyChanges(changes []membership.Change) {
	for _, change := range changes {
		c.emit(Record{Kind: "member_" + change.Kind.String(), Detail: string(change.Instance)})
		switch change.Kind {
		case membership.Silent:
			// Its streams have most likely ended with it. If it only lost its links, it
			// registers what still runs when a link opens again.
			c.entryGone(change.Instance)
		case membership.Gone:
			c.count(CounterMembersGone, 1)
			c.entryGone(change.Instance)
			c.holderGone(change.Instance, change.Incarnation)
		}
	}
	if epoch := c.view.Epoch(); epoch != c.members.epoch {
		c.members.epoch = epoch
		c.members.replan = true
		c.reassignHomes()
		c.rateOwnersChanged()
	}
}

// peerUp greets a peer with complete state. An open link counts as a heartbeat, so that a
// restarted peer's former grants are freed before its first request.
func (c *Core) peerUp(ev PeerUp) {
	instance := membership.Instance{
		ID: ev.Instance, Addr: ev.Addr, DataCentre: ev.DataCentre, Region: ev.Region,
	}
	c.members.linked[ev.Instance] = linkedPeer{Instance: instance, incarnation: ev.Incarnation}
	c.applyChanges(c.view.Heard(c.mono(), membership.Beat{Instance: instance, Incarnation: ev.Incarnation}))
	beat := c.heartbeat()
	c.fillHeartbeat(beat, c.homes.admission.Counts())
	c.send(ev.Instance, beat)
	c.sendStrikes(ev.Instance)
	// The link may have been down when the peer took its engines.
	c.registerOwned(ev.Instance, c.regionEngines())
}

// sendStrikes tells a new peer which fingerprints have strikes.
func (c *Core) sendStrikes(to fleet.InstanceID) {
	for _, s := range c.poison.Strikes(c.mono()) {
		c.send(to, &wire.Strike{
			Engine:            s.Engine,
			EngineIncarnation: s.Incarnation,
			Fingerprints:      []fleet.Fingerprint{s.Fingerprint},
			Confirmed:         true,
			AgeMs:             millis(s.Age),
		})
	}
}

// peerDown forgets a peer's pool totals with its link. Totals of a killed home would go on
// raising the bounds of the other engines while the load of its own engines falls. A peer
// repeats complete totals when its link opens again.
func (c *Core) peerDown(ev PeerDown) {
	if c.members.linked[ev.Instance].incarnation != ev.Incarnation {
		// The link of a newer incarnation is open already.
		return
	}
	delete(c.members.linked, ev.Instance)
	if _, ok := c.homes.peerPools[ev.Instance]; ok {
		delete(c.homes.peerPools, ev.Instance)
		c.updatePoolTotals()
		c.sendDecisions()
	}
}

func (c *Core) peerMessage(ev PeerMessage) {
	c.handleMessage(ev.From, ev.Incarnation, ev.Message)
}

func (c *Core) tickMembers() {
	if c.mono() >= c.members.nextJudge {
		c.members.nextJudge = c.mono() + judgeInterval
		c.applyChanges(c.view.Tick(c.mono()))
	}
	c.tickList()
	if c.mono() >= c.members.nextStopCheck {
		c.members.nextStopCheck = c.mono() + stopCheckInterval
		c.checkStops()
	}
	c.tickHeartbeat()
}

func (c *Core) tickList() {
	if c.members.replan && c.members.listed && c.mono() >= c.members.nextPlan {
		c.planLinks()
	}
	if c.mono() < c.members.nextList {
		return
	}
	c.members.nextList = c.mono() + listSilence
	c.emit(ListInstances{})
}

// checkStops applies planned stops of engines and of this instance.
func (c *Core) checkStops() {
	if c.snapshot == nil {
		return
	}
	before := c.stoppedEngines()
	if c.markStops() {
		for _, id := range c.homes.owned {
			c.homes.admission.SetDraining(c.mono(), id, c.engines[id].stopped)
		}
		c.moveFromStopped(before)
		c.sendDecisions()
	}
	for _, stop := range c.snapshot.Stops {
		if stop.Instance == c.cfg.Instance && stop.ActiveAt(c.now.Wall) {
			c.drainRequested()
		}
	}
}

// broadcast sends a message to every linked peer.
func (c *Core) broadcast(m wire.Message) { c.relay("", m) }

// relay sends a message to every linked peer but one.
func (c *Core) relay(except fleet.InstanceID, m wire.Message) {
	for _, id := range c.linkedPeers() {
		if id != except {
			c.send(id, m)
		}
	}
}

func (c *Core) linkedPeers() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(c.members.linked))
	for id := range c.members.linked {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
