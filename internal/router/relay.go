package router

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

const (
	// largeValueBytes is the size from which a value is distributed along a tree of instances.
	// Registrations have a few hundred bytes, a configuration tens of kilobytes: if one instance with a
	// slow link sent it to every instance of a large fleet, it would arrive too late.
	largeValueBytes = 4 << 10
	// maxDirectBytes is the total size of small facts, summed over all peers, up to which a watcher sends
	// them to each peer directly. A larger amount would delay later messages on a slow link of 1.25 MB/s
	// by more than 50 ms.
	maxDirectBytes = 64 << 10
	// fanout is the number of instances to which each node of a tree forwards a message. With four, 82
	// instances are reached in four steps.
	fanout = 4
	// maxDirectPeers is the number of instances up to which the root of a tree sends directly to each, so
	// that the failure of one instance keeps the value from no other.
	maxDirectPeers = 16
	// treeWatchers is the number of watchers that start a tree; the second covers a failure of the first.
	treeWatchers = 2
	// backupTreeDelay is how much later than the first watcher the second one starts its tree.
	backupTreeDelay = 300 * time.Millisecond
	// minTreeInterval is the shortest time between two trees for one key. Configurations may change in
	// quick succession, and each one is tens of kilobytes on every link of the tree.
	minTreeInterval = 250 * time.Millisecond
	// announcementTimeout is how long an instance waits for an announced large value to arrive along a
	// tree before it requests it from the announcing instance. It is longer than the tree of the last
	// watcher takes.
	announcementTimeout = 700 * time.Millisecond
)

// relayState is the state of the distribution of facts among instances.
type relayState struct {
	// announced holds, by key, the large values that peers have announced and that have not arrived.
	announced map[string]announcement
	// plannedTrees holds, by key, the large value whose tree this instance starts next; treeStartedAt
	// holds when it last started one.
	plannedTrees  map[string]plannedTree
	treeStartedAt map[string]time.Duration
	// batch holds the small facts that this instance sends along a tree at batchAt.
	batch   []wire.StoreFact
	batchAt time.Duration
	// packed holds the last compressed value of each key.
	packed map[string]wire.StoreFact
	// difference is the one from a peer's facts that is to be repaired. The last repair was requested of
	// repairedFrom, the next one may be at nextRepair.
	difference   difference
	repairedFrom fleet.InstanceID
	nextRepair   time.Duration
}

type plannedTree struct {
	startAt time.Duration
	fact    wire.StoreFact
}

type announcement struct {
	from fleet.InstanceID
	// fact is the announced fact without its value.
	fact replica.Fact
	// requestAt is when the value is requested unless it has arrived.
	requestAt time.Duration
}

func (s *relayState) init() {
	s.announced = make(map[string]announcement)
	s.packed = make(map[string]wire.StoreFact)
	s.plannedTrees = make(map[string]plannedTree)
	s.treeStartedAt = make(map[string]time.Duration)
	s.difference.at = never
}

// relay sends peers the facts that this instance read from the store. Large values are distributed
// along a tree that the first watcher starts at once and the second one later; all watchers announce
// them too. Small facts are sent to each peer directly, unless they are so many that they would delay
// other messages on the links.
func (r *Router) relay(changed []replica.Fact) {
	if len(changed) == 0 {
		return
	}
	var small, announcements []wire.StoreFact
	bytes := 0
	for _, f := range changed {
		if len(f.Value) < largeValueBytes {
			small = append(small, wireFact(f))
			bytes += len(f.Key) + len(f.Value)
			continue
		}
		announcements = append(announcements, announcementOf(f))
		if r.treeRank() < treeWatchers {
			r.planTree(f)
		}
	}
	if bytes*len(r.members.linked) > maxDirectBytes {
		r.planBatch(small)
		small = nil
	}
	if facts := append(small, announcements...); len(facts) > 0 {
		r.broadcast(&wire.StoreFacts{Facts: facts})
	}
	r.startTrees()
}

func (r *Router) shuffledPeers() []fleet.InstanceID {
	peers := r.linkedPeers()
	r.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// treeRank returns this instance's position among those that start trees. One that reads the store in place of the
// lost readers is the first.
func (r *Router) treeRank() int {
	if r.store.rank == watcherCount && r.now-r.store.readBefore >= successorSilenceLimit {
		return 0
	}
	return r.store.rank
}

// planTree schedules the tree of a value and replaces the planned one of an older value.
func (r *Router) planTree(f replica.Fact) {
	at := r.now + time.Duration(r.treeRank())*backupTreeDelay
	if started, ok := r.relays.treeStartedAt[f.Key]; ok {
		at = max(at, started+minTreeInterval)
	}
	if planned, ok := r.relays.plannedTrees[f.Key]; ok {
		at = min(at, planned.startAt)
	}
	r.relays.plannedTrees[f.Key] = plannedTree{startAt: at, fact: r.pack(f)}
}

// startTrees starts the trees that are due. Each has the peers in another random order, so that an
// unreachable instance does not cut off the same peers every time.
func (r *Router) startTrees() {
	r.startBatch()
	for key, t := range r.relays.plannedTrees {
		if r.now < t.startAt {
			continue
		}
		delete(r.relays.plannedTrees, key)
		r.relays.treeStartedAt[key] = r.now
		r.sendAlongTree(wire.StoreFacts{Facts: []wire.StoreFact{t.fact}}, r.shuffledPeers())
	}
}

// sendAlongTree forwards a message to the reachable instances of a list along a tree.
func (r *Router) sendAlongTree(m wire.StoreFacts, to []fleet.InstanceID) {
	reachable := slices.DeleteFunc(slices.Clone(to), func(id fleet.InstanceID) bool { return r.members.linked[id] == nil })
	branches := min(fanout, len(reachable))
	if len(reachable) <= maxDirectPeers {
		branches = len(reachable)
	}
	for branch := range branches {
		first := branch * len(reachable) / branches
		end := (branch + 1) * len(reachable) / branches
		r.emit(SendMessage{To: reachable[first], Message: &wire.StoreFacts{Facts: m.Facts, Batch: m.Batch, RelayTo: reachable[first+1 : end]}})
	}
}

func wireFact(f replica.Fact) wire.StoreFact {
	return wire.StoreFact{
		Key: f.Key, Revision: replica.Number(f.Revision), Era: wireEra(f.Revision), Version: f.Version, Deleted: f.Deleted, Value: f.Value,
	}
}

// factOf returns the fact that a peer sent, with its value as sent.
func (r *Router) factOf(w wire.StoreFact) replica.Fact {
	return replica.Fact{Key: w.Key, Revision: r.revisionOf(w.Era, w.Revision), Version: w.Version, Deleted: w.Deleted, Value: w.Value}
}

// revisionOf returns the revision that a peer sent. A peer of an earlier release names no era; it is taken to
// have read the store in the latest one.
func (r *Router) revisionOf(sentEra, number uint64) uint64 {
	era := r.store.era
	if sentEra > 0 {
		era = sentEra - 1
	}
	return replica.RevisionOf(min(era, replica.MaxEra), min(number, replica.MaxNumber))
}

// wireEra returns the era of a revision as messages name it.
func wireEra(revision uint64) uint64 { return replica.Era(revision) + 1 }

// announcementOf returns a fact without its value.
func announcementOf(f replica.Fact) wire.StoreFact {
	w := wireFact(f)
	w.Value, w.ValueOmitted = nil, true
	return w
}

// pack returns a fact with its value compressed.
func (r *Router) pack(f replica.Fact) wire.StoreFact {
	w := wireFact(f)
	if known, ok := r.relays.packed[f.Key]; ok && known.Revision == w.Revision && known.Era == w.Era && known.Version == w.Version {
		return known
	}
	packed, err := wire.Pack(f.Value)
	if err != nil {
		r.emit(Decision{Kind: "fact_not_packed", Fields: []any{"key", f.Key, "error", err.Error()}})
		return w
	}
	w.Value, w.Packed = packed, true
	r.relays.packed[f.Key] = w
	return w
}

// factsReceived forwards a peer's message along its tree and merges the facts in it.
func (r *Router) factsReceived(from fleet.InstanceID, m *wire.StoreFacts) {
	if len(m.RelayTo) > 0 {
		r.sendAlongTree(*m, m.RelayTo)
	}
	received := m.Facts
	if len(m.Batch) > 0 {
		batch, err := wire.UnpackFacts(m.Batch)
		if err != nil {
			r.emit(Decision{Kind: "fact_rejected", Fields: []any{"peer", from, "error", err.Error()}})
		}
		received = append(received, batch...)
	}
	var facts []replica.Fact
	for _, w := range received {
		switch {
		case !w.Deleted && !r.isNewer(w):
		case w.ValueOmitted:
			r.announcementReceived(from, w)
		default:
			facts = r.unpack(facts, from, w)
		}
	}
	r.numberConfigurations(facts)
	r.enterEra(newestOf(facts))
	r.applyFacts(r.replica.Merge(facts))
	r.updateReady()
}

// isNewer reports whether a fact is newer than this instance's fact of the same key.
func (r *Router) isNewer(w wire.StoreFact) bool {
	own, ok := r.replica.Get(w.Key)
	return !ok || replaces(r.factOf(w), own)
}

// replaces reports whether an announced fact may be newer than the one held. A peer of an earlier release names
// no version.
func replaces(announced, held replica.Fact) bool {
	if announced.Version == 0 {
		return announced.Revision > held.Revision
	}
	return announced.NewerThan(held)
}

// unpack appends a fact that a peer sent, with its value decompressed, to facts.
func (r *Router) unpack(facts []replica.Fact, from fleet.InstanceID, w wire.StoreFact) []replica.Fact {
	f := r.factOf(w)
	if w.Packed {
		value, err := wire.Unpack(w.Value)
		if err != nil {
			r.emit(Decision{Kind: "fact_rejected", Fields: []any{"key", w.Key, "peer", from, "error", err.Error()}})
			return facts
		}
		f.Value = value
	}
	return append(facts, f)
}

func (r *Router) announcementReceived(from fleet.InstanceID, w wire.StoreFact) {
	a := announcement{from: from, fact: r.factOf(w), requestAt: r.now + announcementTimeout}
	if d := r.relays.difference; d.peer != "" && r.repairRequested(from) {
		// A tree would have brought the value since the difference was seen, unless the peer starts none.
		a.requestAt = d.since + announcementTimeout
		if r.predatesLink(from, d.at) {
			a.requestAt = r.now
		}
	}
	known, ok := r.relays.announced[w.Key]
	if !ok || a.fact.NewerThan(known.fact) || !known.fact.NewerThan(a.fact) && a.requestAt < known.requestAt {
		r.relays.announced[w.Key] = a
	}
}

// factsRequested sends a peer the facts that it requests by bucket or key.
func (r *Router) factsRequested(from fleet.InstanceID, m *wire.FactsRequest) {
	var facts []wire.StoreFact
	if len(m.Buckets) > 0 {
		for _, f := range r.replica.Differing(m.Buckets) {
			if len(f.Value) >= largeValueBytes {
				facts = append(facts, announcementOf(f))
			} else {
				facts = append(facts, wireFact(f))
			}
		}
	}
	for _, key := range m.Keys {
		if f, ok := r.replica.Get(key); ok {
			facts = append(facts, r.pack(f))
		}
	}
	r.sendFacts(from, facts)
}

// tickRelay starts the trees that are due and requests announced values that did not arrive in time.
func (r *Router) tickRelay() {
	r.tickCurrency()
	r.startTrees()
	for key, a := range r.relays.announced {
		if held, ok := r.replica.Get(key); ok && !replaces(a.fact, held) {
			delete(r.relays.announced, key)
			continue
		}
		if r.now < a.requestAt {
			continue
		}
		delete(r.relays.announced, key)
		r.emit(SendMessage{To: a.from, Message: &wire.FactsRequest{Keys: []string{key}}})
	}
}
