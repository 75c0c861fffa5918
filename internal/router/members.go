package router

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// InstancePrefix precedes the peer address of each live instance in the store.
const InstancePrefix = "bilberrywell/instances/"

const (
	// watchers is the number of instances that read changes from the store for all. With three
	// a change arrives at once although one of them has failed and another lost the store.
	watchers = 3
	// firstWatchPause and laterWatchPause are explained at watchPause.
	firstWatchPause = 300 * time.Millisecond
	laterWatchPause = 450 * time.Millisecond
	// standingInterval is the longest time between standings, busyInterval the shortest.
	standingInterval = time.Second
	busyInterval     = 200 * time.Millisecond
	// linkInterval is the least time between standings for each link, so that they cost an
	// instance no more than 40 messages a second in a large fleet.
	linkInterval = 25 * time.Millisecond
	// standingLife is the number of a peer's intervals for which its last standing counts.
	standingLife = 3
	// dialPatience is how long an instance waits for a peer that should dial it.
	dialPatience = 2 * time.Second
	// maxPrompts bounds the prompts in a standing: 1.5 KB, as much as the counts of 100 engines.
	maxPrompts = 64
)

// memberState is what the instance knows of the others.
type memberState struct {
	linked map[fleet.InstanceID]*peerState
	// known holds when an instance was first planned to be linked.
	known    map[fleet.InstanceID]time.Duration
	planned  []PeerTarget
	nextPlan time.Duration

	sequence uint64
	next     time.Duration
	earliest time.Duration
	// sent is the hash of what the last standing said.
	sent uint64
	// toldAt is when a peer that reads the store last knew no more and no less than this instance.
	toldAt time.Duration
	// prompts lists what the next standing tells of prompts that were read away from their engine.
	prompts []wire.PromptAt
}

type peerState struct {
	incarnation uint64
	last        *wire.Standing
	heard       time.Duration
	// own is what the peer runs, row what its row of the grid runs.
	own, row toldLoad
}

func (m *memberState) init() {
	m.linked = make(map[fleet.InstanceID]*peerState)
	m.known = make(map[fleet.InstanceID]time.Duration)
}

// tellPrompt notes that an engine has read a prompt that peers expect at another one.
func (m *memberState) tellPrompt(prompt uint64, engine fleet.EngineID) {
	if prompt != 0 && len(m.linked) > 0 && len(m.prompts) < maxPrompts {
		m.prompts = append(m.prompts, wire.PromptAt{Prompt: prompt, Engine: engine})
	}
}

// live reports whether a peer was heard of lately.
func (p *peerState) live(now time.Duration) bool { return now-p.heard < p.life() }

// life is how long what a peer told of itself counts.
func (p *peerState) life() time.Duration {
	interval := standingInterval
	if p.last != nil {
		interval = max(interval, time.Duration(p.last.IntervalMs)*time.Millisecond)
	}
	return standingLife * interval
}

func (r *Router) peerUp(ev PeerUp) {
	r.members.linked[ev.Instance] = &peerState{incarnation: ev.Incarnation, heard: r.now}
	r.emit(Note{Kind: "peer_up", Fields: []any{"peer", ev.Instance}})
	r.arrange()
	r.sendStanding(ev.Instance)
	r.shareBudgets()
}

func (r *Router) peerDown(ev PeerDown) {
	p := r.members.linked[ev.Instance]
	if p == nil || p.incarnation != ev.Incarnation {
		return
	}
	delete(r.members.linked, ev.Instance)
	r.emit(Note{Kind: "peer_down", Fields: []any{"peer", ev.Instance}})
	r.arrange()
	r.electWatchers()
}

func (r *Router) peerMessage(ev PeerMessage) {
	p := r.members.linked[ev.From]
	if p == nil || p.incarnation != ev.Incarnation {
		return
	}
	switch m := ev.Message.(type) {
	case *wire.Standing:
		r.standingReceived(ev.From, p, m)
	case *wire.Loads:
		r.loadsReceived(p, m)
	case *wire.StoreFacts:
		r.factsReceived(ev.From, m)
	case *wire.FactsRequest:
		r.factsRequested(ev.From, m)
	case *wire.Strike:
		r.strikeReceived(m)
	}
}

func (r *Router) standingReceived(from fleet.InstanceID, p *peerState, m *wire.Standing) {
	if p.last != nil && m.Sequence <= p.last.Sequence {
		return
	}
	p.last = m
	p.heard = r.now
	if !m.InGrid {
		p.own = toldLoad{counts: m.Running, at: r.now}
		r.loads.stale = true
	}
	r.promptsTold(m.Prompts)
	if !m.StoreLost {
		// Removals that peers tell are real while one of them reads the store.
		r.registry.StoreBack(r.now)
	}
	r.compare(from, m)
}

// promptsTold notes where peers' requests were read, so that the cache can be fetched from there.
func (r *Router) promptsTold(prompts []wire.PromptAt) {
	for _, told := range prompts {
		engine, _ := r.registry.Get(told.Engine)
		if pool := r.pools[engine.Service]; pool != nil {
			pool.engines.Answered(r.now, told.Engine, told.Prompt)
		}
	}
}

func (r *Router) anyPeerReads() bool {
	for _, p := range r.members.linked {
		if p.last != nil && p.live(r.now) && !p.last.StoreLost {
			return true
		}
	}
	return false
}

// electWatchers decides whether this instance reads changes from the store. The watchers are
// the first live instances in an order that all compute alike.
func (r *Router) electWatchers() {
	candidates := []affinity.Candidate{{ID: string(r.cfg.Instance), Weight: 1}}
	for id, p := range r.members.linked {
		if p.last != nil && p.live(r.now) && !p.last.StoreLost && !p.last.Draining {
			candidates = append(candidates, affinity.Candidate{ID: string(id), Weight: 1})
		}
	}
	on, was := true, r.store.rank
	order := affinity.Rank(fleet.Hash("watchers"), candidates)
	if r.informed() && len(candidates) > watchers {
		on = slices.Contains(order[:watchers], 0)
	}
	r.store.rank = min(slices.Index(order, 0), watchers)
	changed := on != r.store.watching
	if changed || on && watchPause(was) != watchPause(r.store.rank) {
		r.emit(WatchStore{On: on, Pause: watchPause(r.store.rank)})
	}
	if changed {
		r.store.watching = on
		// An instance that no longer reads the store can't say that it has lost it.
		r.store.lost = r.store.lost && on
		r.emit(Note{Kind: "watching_store", Fields: []any{"on", on, "candidates", len(candidates)}})
	}
}

// watchPause is the least time between two calls for changes by the watcher of a rank. Registrations
// change all the time, and every call is paid for. The first watcher brings changes early enough for
// the users' bound of 2 s on configurations; the others only stand in for it.
func watchPause(rank int) time.Duration {
	if rank == 0 {
		return firstWatchPause
	}
	return laterWatchPause
}

// planLinks sets the instances to hold links with: those registered in the store, and the seeds
// while there are none.
func (r *Router) planLinks() {
	ids := r.registeredInstances()
	if len(ids) == 0 {
		for _, addr := range r.cfg.Seeds {
			ids = append(ids, fleet.InstanceID(addr))
		}
	}
	var targets []PeerTarget
	known := make(map[fleet.InstanceID]time.Duration, len(ids))
	for _, id := range ids {
		if id == r.cfg.Instance {
			continue
		}
		since, ok := r.members.known[id]
		if !ok {
			since = r.now
		}
		known[id] = since
		overdue := r.members.linked[id] == nil && r.now-since >= dialPatience
		targets = append(targets, PeerTarget{ID: id, Addr: string(id), Dial: r.cfg.Instance < id || overdue || r.wasDialed(id)})
	}
	r.members.known = known
	r.members.nextPlan = r.now + dialPatience
	slices.SortFunc(targets, func(a, b PeerTarget) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.Equal(targets, r.members.planned) {
		r.members.planned = targets
		r.emit(SetPeers{Peers: targets})
	}
}

// wasDialed keeps a link that this side opened, which would be closed otherwise.
func (r *Router) wasDialed(id fleet.InstanceID) bool {
	for _, t := range r.members.planned {
		if t.ID == id {
			return t.Dial
		}
	}
	return false
}

func (r *Router) registeredInstances() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, f := range r.facts.All() {
		if addr, ok := strings.CutPrefix(f.Key, InstancePrefix); ok && addr != string(r.cfg.Instance) {
			ids = append(ids, fleet.InstanceID(addr))
		}
	}
	return ids
}

func (r *Router) tickMembers() {
	if r.now >= r.members.nextPlan {
		r.planLinks()
	}
	r.electWatchers()
	if r.now < r.members.earliest {
		return
	}
	if r.now >= r.members.next || r.standingHash() != r.members.sent {
		r.sendStanding("")
	}
}

// sendStanding tells one peer, or all of them if to is empty, how this instance stands.
func (r *Router) sendStanding(to fleet.InstanceID) {
	r.members.sequence++
	m := &wire.Standing{
		Sequence:   r.members.sequence,
		Newest:     r.facts.Newest(),
		Digest:     r.facts.Digest(),
		StoreLost:  r.store.lost,
		Draining:   r.drain.active,
		InGrid:     r.inGrid(),
		IntervalMs: uint32(r.longestInterval().Milliseconds()),
	}
	if !m.InGrid {
		m.Running = r.running()
	}
	if to != "" {
		r.emit(SendMessage{To: to, Message: m})
		return
	}
	m.Prompts = r.members.prompts
	r.members.prompts = nil
	r.members.sent = r.standingHash()
	r.members.next = r.now + r.longestInterval()
	r.members.earliest = r.now + max(busyInterval, r.linksInterval())
	r.broadcast(m)
}

// longestInterval is the time between standings that say nothing new.
func (r *Router) longestInterval() time.Duration { return max(standingInterval, r.linksInterval()) }

func (r *Router) linksInterval() time.Duration {
	return time.Duration(len(r.members.linked)) * linkInterval
}

// standingHash identifies what a standing would say, without its sequence.
func (r *Router) standingHash() uint64 {
	h := r.facts.Digest()
	if !r.inGrid() {
		for _, c := range r.running() {
			h ^= fleet.Hash("running", strconv.Itoa(int(c.Engine)), strconv.Itoa(c.Count))
		}
	}
	if r.store.lost {
		h ^= 1
	}
	if r.drain.active {
		h ^= 2
	}
	if len(r.members.prompts) > 0 {
		h ^= 4
	}
	return h
}

func (r *Router) broadcast(m wire.Message) {
	r.emit(SendToMany{To: r.linkedPeers(), Message: m})
}

// linkedPeers returns the instances with an open link in order of ID.
func (r *Router) linkedPeers() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(r.members.linked))
	for id := range r.members.linked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
