package router

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

// InstancePrefix precedes the peer address of each live instance in the store.
const InstancePrefix = "bilberrywell/instances/"

const (
	// statusReportInterval is the time between unchanged status reports, minStatusReportInterval the
	// shortest one between any two.
	statusReportInterval    = time.Second
	minStatusReportInterval = 200 * time.Millisecond
	// perLinkInterval, multiplied by the number of links, is the least time between status reports, so
	// that an instance of a large fleet sends at most 40 of them a second.
	perLinkInterval = 25 * time.Millisecond
	// statusReportLifeIntervals is the number of a peer's intervals for which its last status report is
	// valid.
	statusReportLifeIntervals = 3
	// passiveDialWait is how long an instance waits to be dialed before it dials the peer itself.
	passiveDialWait = 2 * time.Second
	// maxPrompts bounds the prompts in a status report: 1.5 KB, the size of the load counts of 100
	// engines.
	maxPrompts = 64
)

// memberState holds the links to other instances and the schedule of the status reports sent to them.
type memberState struct {
	linked map[fleet.InstanceID]*peerState
	// firstPlanned holds when each instance became a link target.
	firstPlanned map[fleet.InstanceID]time.Duration
	plannedPeers []PeerTarget
	nextPlan     time.Duration

	sequence             uint64
	nextStatusReport     time.Duration
	earliestStatusReport time.Duration
	// sentHash is the statusReportHash of the last status report sent.
	sentHash uint64
	// movedPrompts lists, for the next status report, the prompts that were processed by another engine
	// than the one that affinity selects.
	movedPrompts []wire.PromptLocation
}

type peerState struct {
	incarnation uint64
	// linkedAt is when the link opened.
	linkedAt         time.Duration
	lastStatusReport *wire.StatusReport
	// lastReportAt is when lastStatusReport arrived, or when the link opened if none has arrived.
	lastReportAt time.Duration
	// readStoreAt is when the peer last read changes from the store, as far as it has said, or never.
	readStoreAt time.Duration
	// watcherScore is the peer's score in the order of watchers.
	watcherScore float64
	// ownLoad is the load that the peer runs, rowLoad the one that its row of the grid runs.
	ownLoad, rowLoad reportedLoad
	// invalidLoadLogged is set once a count that the peer reported was left out.
	invalidLoadLogged bool
}

func (m *memberState) init() {
	m.linked = make(map[fleet.InstanceID]*peerState)
	m.firstPlanned = make(map[fleet.InstanceID]time.Duration)
}

// reportMovedPrompt records, for the next status report, that an engine has processed a prompt that peers
// expect in the cache of another one.
func (m *memberState) reportMovedPrompt(prompt uint64, engine fleet.EngineID) {
	if prompt != 0 && len(m.linked) > 0 && len(m.movedPrompts) < maxPrompts {
		m.movedPrompts = append(m.movedPrompts, wire.PromptLocation{Prompt: prompt, Engine: engine})
	}
}

// live reports whether the peer's last status report is still valid.
func (p *peerState) live(now time.Duration) bool { return now-p.lastReportAt < p.reportLifetime() }

// reportLifetime returns how long the peer's last status report is valid.
func (p *peerState) reportLifetime() time.Duration {
	interval := statusReportInterval
	if p.lastStatusReport != nil {
		interval = max(interval, time.Duration(p.lastStatusReport.IntervalMs)*time.Millisecond)
	}
	return statusReportLifeIntervals * interval
}

func (r *Router) peerUp(ev PeerUp) {
	r.members.linked[ev.Instance] = &peerState{incarnation: ev.Incarnation, linkedAt: r.now, lastReportAt: r.now, readStoreAt: never, watcherScore: watcherScore(ev.Instance)}
	r.emit(Decision{Kind: "peer_up", Fields: []any{"peer", ev.Instance}})
	r.streams.keeping.keepers = nil
	r.rebuildGrid()
	r.sendStatusReport(ev.Instance)
	r.sendStoreRead(ev.Instance)
	r.sendCrashEvidence(ev.Instance)
	r.sendRateLimits(ev.Instance)
	r.sendWarmUps(ev.Instance)
	r.warmUps.viewStale = true
	r.divideBudgets()
}

func (r *Router) peerDown(ev PeerDown) {
	p := r.members.linked[ev.Instance]
	if p == nil || p.incarnation != ev.Incarnation {
		return
	}
	delete(r.members.linked, ev.Instance)
	r.emit(Decision{Kind: "peer_down", Fields: []any{"peer", ev.Instance}})
	r.differingPeerDown(ev.Instance)
	r.streams.keeping.keepers = nil
	r.rebuildGrid()
	r.warmUps.viewStale = true
	r.electWatchers()
}

func (r *Router) peerMessage(ev PeerMessage) {
	p := r.members.linked[ev.From]
	if p == nil || p.incarnation != ev.Incarnation {
		return
	}
	switch m := ev.Message.(type) {
	case *wire.StatusReport:
		r.statusReportReceived(ev.From, p, m)
	case *wire.StoreRead:
		r.storeReadReceived(ev.From, p, m)
	case *wire.Loads:
		r.loadsReceived(ev.From, p, m)
	case *wire.StoreFacts:
		r.factsReceived(ev.From, m)
	case *wire.FactsRequest:
		r.factsRequested(ev.From, m)
	case *wire.Strike:
		r.strikeReceived(m)
	case *wire.CrashEvidence:
		r.crashEvidenceReceived(ev.From, m)
	case *wire.EngineLimits:
		r.rateLimitsReceived(ev.From, m)
	case *wire.EngineTokenRequest:
		r.tokenRequested(ev.From, m)
	case *wire.EngineTokenReply:
		r.tokenReplied(m)
	case *wire.EngineWarmUps:
		r.warmUpsReceived(m)
	case *wire.StreamOrigins:
		r.originsReceived(m)
	case *wire.StreamOriginRequest:
		r.originRequested(ev.From, m)
	case *wire.StreamOriginReply:
		r.originReplied(m)
	}
}

func (r *Router) statusReportReceived(from fleet.InstanceID, p *peerState, m *wire.StatusReport) {
	if p.lastStatusReport != nil && m.Sequence <= p.lastStatusReport.Sequence {
		return
	}
	p.lastStatusReport = m
	p.lastReportAt = r.now
	if !m.LoadsInGrid {
		p.ownLoad = r.readLoad(from, p, m.Running, m.Unread)
		r.pacesReceived(m.Paces)
		r.loads.poolsStale = true
	}
	r.promptsReceived(m.Prompts)
	r.departuresReceived(from, m.Leaving)
	newest := r.revisionOf(m.Era, m.NewestRevision)
	r.enterEra(newest)
	r.compareFacts(from, m.FactsDigest, r.peerCurrentAt(m), newest)
}

// promptsReceived records which engines have processed the prompts of peers' requests, so that the cache
// can be fetched from them.
func (r *Router) promptsReceived(prompts []wire.PromptLocation) {
	for _, reported := range prompts {
		engine, _ := r.registry.Get(reported.Engine)
		if pool := r.pools[engine.Service]; pool != nil {
			pool.engines.RecordPromptRead(r.now, reported.Engine, reported.Prompt)
		}
	}
}

// planPeers sets the instances to hold links with: those registered in the store, or the seeds if none
// is registered.
func (r *Router) planPeers() {
	ids := r.registeredInstances()
	if len(ids) == 0 {
		for _, addr := range r.cfg.Seeds {
			ids = append(ids, fleet.InstanceID(addr))
		}
	}
	var targets []PeerTarget
	firstPlanned := make(map[fleet.InstanceID]time.Duration, len(ids))
	for _, id := range ids {
		if id == r.cfg.Instance {
			continue
		}
		since, ok := r.members.firstPlanned[id]
		if !ok {
			since = r.now
		}
		firstPlanned[id] = since
		overdue := r.members.linked[id] == nil && r.now-since >= passiveDialWait
		targets = append(targets, PeerTarget{ID: id, Addr: string(id), Dial: r.cfg.Instance < id || overdue || r.plannedToDial(id)})
	}
	r.warmUps.viewStale = true
	r.members.firstPlanned = firstPlanned
	r.members.nextPlan = r.now + passiveDialWait
	slices.SortFunc(targets, func(a, b PeerTarget) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.Equal(targets, r.members.plannedPeers) {
		r.members.plannedPeers = targets
		r.emit(SetPeers{Peers: targets})
	}
}

// plannedToDial reports whether this side dials a peer according to the last plan. The next plan keeps
// that, because the link would be closed if the dialing were left to the peer.
func (r *Router) plannedToDial(id fleet.InstanceID) bool {
	for _, t := range r.members.plannedPeers {
		if t.ID == id {
			return t.Dial
		}
	}
	return false
}

func (r *Router) registeredInstances() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, f := range r.replica.All() {
		if addr, ok := strings.CutPrefix(f.Key, InstancePrefix); ok && addr != string(r.cfg.Instance) {
			ids = append(ids, fleet.InstanceID(addr))
		}
	}
	return ids
}

func (r *Router) tickMembers() {
	if r.now >= r.members.nextPlan {
		r.planPeers()
	}
	r.electWatchers()
	if r.now < r.members.earliestStatusReport {
		return
	}
	if r.now >= r.members.nextStatusReport || r.statusReportHash() != r.members.sentHash {
		r.sendStatusReport("")
	}
}

// sendStatusReport sends a status report to one peer, or to all of them if to is empty.
func (r *Router) sendStatusReport(to fleet.InstanceID) {
	r.members.sequence++
	m := &wire.StatusReport{
		Sequence:       r.members.sequence,
		NewestRevision: replica.Number(r.replica.NewestRevision()),
		Era:            wireEra(r.replica.NewestRevision()),
		FactsDigest:    r.replica.Digest(),
		StoreLost:      r.store.lost,
		Draining:       r.drain.active,
		LoadsInGrid:    r.inGrid(),
		IntervalMs:     uint32(r.maxStatusReportInterval().Milliseconds()),
		Demand:         r.reportedDemand(),
		CurrentAgeMs:   r.currentAgeMs(),
	}
	if !m.LoadsInGrid {
		m.Running = r.runningCounts()
		m.Unread = packUnread(m.Running, r.unreadUnits())
	}
	if to != "" {
		m.Leaving = wireDepartures(r.notices.Departures(r.now))
		r.emit(SendMessage{To: to, Message: m})
		return
	}
	if !m.LoadsInGrid {
		m.Paces = r.loads.ownPaces.take()
	}
	m.Prompts = r.members.movedPrompts
	r.members.movedPrompts = nil
	m.Leaving = wireDepartures(r.notices.TakeUntold(r.now))
	r.members.sentHash = r.statusReportHash()
	r.members.nextStatusReport = r.now + r.maxStatusReportInterval()
	r.members.earliestStatusReport = r.now + max(minStatusReportInterval, r.linkScaledInterval())
	r.broadcast(m)
}

// maxStatusReportInterval returns the time between unchanged status reports.
func (r *Router) maxStatusReportInterval() time.Duration {
	return StatusReportInterval(len(r.members.linked))
}

// StatusReportInterval returns the time between unchanged status reports of an instance with this many links. With
// nothing else to say, a link is silent for that long.
func StatusReportInterval(links int) time.Duration {
	return max(statusReportInterval, linkScaledInterval(links))
}

func (r *Router) linkScaledInterval() time.Duration { return linkScaledInterval(len(r.members.linked)) }

func linkScaledInterval(links int) time.Duration { return time.Duration(links) * perLinkInterval }

// statusReportHash returns a hash of the content of a status report without its sequence number.
func (r *Router) statusReportHash() uint64 {
	h := r.replica.Digest()
	if !r.inGrid() {
		for _, c := range r.runningCounts() {
			h ^= fleet.Hash("running", strconv.Itoa(int(c.Engine)), strconv.Itoa(c.Count))
		}
	}
	if r.store.lost {
		h ^= 1
	}
	if r.drain.active {
		h ^= 2
	}
	if len(r.members.movedPrompts) > 0 {
		h ^= 4
	}
	if r.notices.HasUntold() {
		h ^= 8
	}
	return h
}

func (r *Router) broadcast(m wire.Message) {
	r.emit(SendToMany{To: r.linkedPeers(), Message: m})
}

// linkedPeers returns the instances with an open link, sorted by ID.
func (r *Router) linkedPeers() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(r.members.linked))
	for id := range r.members.linked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
