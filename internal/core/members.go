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
	// earlyListReads is the number of reads after the start that are made at the shortest
	// interval: the list lags behind registrations, and instances that start together must
	// find each other.
	earlyListReads = 5
	// listRowBytes is the size of a row of the list. Reading the list may use
	// 1/listBudgetDivisor of the control budget. At 490 instances the list has 69 KB and is
	// read every 27 s.
	listRowBytes      = 142
	listBudgetDivisor = 6
	// listReadTimeout is the time after which an unanswered read of the list is repeated.
	listReadTimeout = 10 * time.Second
	// heartbeatBytes is the assumed size of a heartbeat with its frame, from which the interval
	// that fits the control budget is computed.
	heartbeatBytes = 48
	// minLoadInterval is the shortest time between announcements of changed load. With 50 ms,
	// twice as many attempts started above an engine's bound as with 20 ms.
	minLoadInterval = 20 * time.Millisecond
	// fullHeartbeatEvery is the number of heartbeats of which one carries complete totals, in
	// case a link dropped a change.
	fullHeartbeatEvery = 10
	// livenessCheckInterval is the time between checks for silent members, which scan the whole view.
	livenessCheckInterval = 100 * time.Millisecond
	// stopCheckInterval is the time between checks for planned stops that start or end.
	stopCheckInterval = 250 * time.Millisecond
)

// memberState is the state of membership, links and heartbeats.
type memberState struct {
	// listReceived is set once the instance list has been read.
	listReceived bool
	// listReads counts the answered reads of the list.
	listReads    int
	nextListRead time.Duration
	// linksOutdated is set if the membership view has changed since links were planned.
	linksOutdated bool
	nextLinkPlan  time.Duration
	// dialInstead holds the planned peers that should have dialed this instance but did not,
	// so that this instance dials them.
	dialInstead       map[fleet.InstanceID]bool
	nextHeartbeat     time.Duration
	nextLoadCheck     time.Duration
	nextStopCheck     time.Duration
	nextLivenessCheck time.Duration
	heartbeatSequence uint64
	loadBudget        loadBudget
	// linked holds the peers with an open link.
	linked    map[fleet.InstanceID]linkedPeer
	viewEpoch uint64
}

// linkedPeer is a peer's description of itself when its link opened.
type linkedPeer struct {
	membership.Instance
	incarnation uint64
	// sequence is the sequence number of the last heartbeat.
	sequence uint64
}

func (m *memberState) init() {
	m.linked = make(map[fleet.InstanceID]linkedPeer)
}

func (c *Core) isLinked(id fleet.InstanceID) bool {
	_, ok := c.members.linked[id]
	return ok
}

// instanceList applies the platform's list of instances. A list without this instance is
// valid, because the list lags behind registrations.
func (c *Core) instanceList(ev InstanceList) {
	c.members.nextListRead = c.mono() + c.jitter(c.nextListInterval(len(ev.Rows)))
	if ev.Err != nil {
		c.count(CounterStoreErrors, 1)
		return
	}
	c.members.listReceived = true
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
	regionRows := 0
	for _, row := range rows {
		if row.Region == c.cfg.Region {
			regionRows++
		}
	}
	c.setFleetSize(regionRows, len(rows))
	c.applyMemberChanges(c.view.List(c.mono(), rows))
	c.planLinks()
}

// nextListInterval is the longest time to the next read of a list of the given length.
// Heartbeats and new links reveal changes earlier, so a large list is read only as often as its
// part of the control budget allows.
func (c *Core) nextListInterval(rows int) time.Duration {
	if c.members.listReads < earlyListReads {
		return listInterval
	}
	interval := time.Duration(rows*listRowBytes) * time.Second / time.Duration(c.cfg.ControlBudget/listBudgetDivisor)
	return max(interval, listInterval)
}

// planLinks determines the links to hold and emits them.
func (c *Core) planLinks() {
	self := membership.Instance{
		ID: c.cfg.Instance, Addr: c.cfg.PeerAddr, DataCentre: c.cfg.DataCentre, Region: c.cfg.Region,
	}
	links := membership.LinkPlan(self, c.view.Peers())
	peers := make([]PeerTarget, len(links))
	dialInstead := make(map[fleet.InstanceID]bool)
	var remote []fleet.InstanceID
	for i, link := range links {
		dialInstead[link.ID] = !link.Dial && c.shouldDialInstead(link.ID)
		peers[i] = PeerTarget{ID: link.ID, Addr: link.Addr, Dial: link.Dial || dialInstead[link.ID]}
		if link.Region != c.cfg.Region {
			remote = append(remote, link.ID)
		}
	}
	c.members.dialInstead = dialInstead
	c.members.linksOutdated = false
	c.members.nextLinkPlan = c.mono() + listInterval
	c.view.SetLinked(c.mono(), remote)
	c.emit(SetPeers{Peers: peers})
}

// shouldDialInstead reports whether this instance dials a peer that should dial it. This is
// the case if the peer has not dialed by the second read of the list, since it may learn of
// this instance much later. The decision stays, because reverting it would close the link.
func (c *Core) shouldDialInstead(peer fleet.InstanceID) bool {
	return c.members.dialInstead[peer] || (c.members.listReads > 1 && !c.isLinked(peer))
}

// applyMemberChanges handles changes of members and, if the live members changed, reassigns
// homes and rate owners.
func (c *Core) applyMemberChanges(changes []membership.Change) {
	for _, change := range changes {
		c.emit(RecordEvent{Kind: "member_" + change.Kind.String(), Detail: string(change.Instance)})
		switch change.Kind {
		case membership.Silent:
			// The member's streams have most likely ended with it. If it only lost its links,
			// it registers its running attempts when a link opens again.
			c.entryGone(change.Instance)
		case membership.Gone:
			c.count(CounterMembersGone, 1)
			c.entryGone(change.Instance)
			c.claimHolderGone(change.Instance, change.Incarnation)
		}
	}
	if epoch := c.view.Epoch(); epoch != c.members.viewEpoch {
		c.members.viewEpoch = epoch
		c.members.linksOutdated = true
		c.reassignHomes()
		c.rateOwnersChanged()
	}
}

// peerUp sends complete state to a peer whose link has opened. The open link counts as a
// heartbeat, so that a restarted peer's former attempts are removed before its first request.
func (c *Core) peerUp(ev PeerUp) {
	instance := membership.Instance{
		ID: ev.Instance, Addr: ev.Addr, DataCentre: ev.DataCentre, Region: ev.Region,
	}
	c.members.linked[ev.Instance] = linkedPeer{Instance: instance, incarnation: ev.Incarnation}
	c.applyMemberChanges(c.view.HandleHeartbeat(c.mono(), membership.Heartbeat{Instance: instance, Incarnation: ev.Incarnation}))
	heartbeat := c.newHeartbeat()
	c.addFullState(heartbeat, c.homes.admission.Counts())
	c.send(ev.Instance, heartbeat)
	c.sendStrikes(ev.Instance)
	// The link may have been down when the peer became the home of its engines.
	c.registerOwnedEngines(ev.Instance, c.regionEngines())
}

// sendStrikes sends all current strikes to a new peer.
func (c *Core) sendStrikes(to fleet.InstanceID) {
	for _, s := range c.quarantine.Strikes(c.mono()) {
		c.send(to, &wire.Strike{
			Engine:            s.Engine,
			EngineIncarnation: s.Incarnation,
			Fingerprints:      []fleet.Fingerprint{s.Fingerprint},
			Confirmed:         true,
			AgeMs:             millis(s.Age),
		})
	}
}

// peerDown removes a peer's pool totals when its link closes. The totals of a killed home
// would keep raising the bounds of the other engines while the load of its own engines falls.
// A peer sends complete totals again when its link reopens.
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
	if c.mono() >= c.members.nextLivenessCheck {
		c.members.nextLivenessCheck = c.mono() + livenessCheckInterval
		c.applyMemberChanges(c.view.Tick(c.mono()))
	}
	c.tickInstanceList()
	if c.mono() >= c.members.nextStopCheck {
		c.members.nextStopCheck = c.mono() + stopCheckInterval
		c.checkStops()
	}
	c.tickHeartbeat()
}

func (c *Core) tickInstanceList() {
	if c.members.linksOutdated && c.members.listReceived && c.mono() >= c.members.nextLinkPlan {
		c.planLinks()
	}
	if c.mono() < c.members.nextListRead {
		return
	}
	c.members.nextListRead = c.mono() + listReadTimeout
	c.emit(ListInstances{})
}

// checkStops applies planned stops of engines and of this instance.
func (c *Core) checkStops() {
	if c.snapshot == nil {
		return
	}
	before := c.stoppedEngines()
	if c.applyStops() {
		for _, id := range c.homes.ownedEngines {
			c.homes.admission.SetDraining(c.mono(), id, c.engines[id].stopped)
		}
		c.moveChatsFromStopped(before)
		c.sendDecisions()
	}
	for _, stop := range c.snapshot.Stops {
		if stop.Instance == c.cfg.Instance && stop.ActiveAt(c.now.Wall) {
			c.drainRequested()
		}
	}
}

// broadcast sends a message to every linked peer.
func (c *Core) broadcast(m wire.Message) { c.broadcastExcept("", m) }

// broadcastExcept sends a message to every linked peer but one.
func (c *Core) broadcastExcept(except fleet.InstanceID, m wire.Message) {
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
