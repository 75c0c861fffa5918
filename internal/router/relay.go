package router

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

const (
	// largeBytes is the size from which a value travels along a tree. Registrations have a few
	// hundred bytes, a configuration tens of kilobytes: sent to every instance of a large fleet
	// by one with a slow link, it would arrive too late.
	largeBytes = 4 << 10
	// directBytes is the size of small facts, summed over all peers, up to which a watcher sends them
	// to each peer by itself. Beyond, a weak link of 1.25 MB/s would delay what follows by over 50 ms.
	directBytes = 64 << 10
	// fanout is the number of instances to which each node of the tree passes a large value on.
	// With four, 82 instances are reached in four steps.
	fanout = 4
	// directPeers is the number of instances up to which the first instance sends a large value to each
	// by itself: an instance that is lost then hides it from no other.
	directPeers = 16
	// trees is the number of watchers that start a tree, in case that the first one fails.
	trees = 2
	// treeDelay is the time by which the second watcher starts its tree later.
	treeDelay = 300 * time.Millisecond
	// treeInterval is the shortest time between two trees for one key. Configurations may come in
	// quick succession, and each is tens of kilobytes on every link of the tree.
	treeInterval = 250 * time.Millisecond
	// offerPatience is how long an instance waits for a large value on a tree before it asks the
	// instance that offered it. It outlasts the tree of the last watcher.
	offerPatience = 700 * time.Millisecond
	// lagPatience is how long a difference to a peer's facts may last before it is repaired. Facts
	// arrive within milliseconds, and standings overtake them.
	lagPatience = 500 * time.Millisecond
	// repairInterval is the shortest time between two requests for what a peer knows differently.
	repairInterval = 500 * time.Millisecond
)

// relayState is what the instance still lacks of the facts that peers have.
type relayState struct {
	// offers holds large values that peers have told of and not sent.
	offers map[string]offer
	// trees holds, by key, the large value whose tree this instance starts next, and started when
	// it last did so.
	trees   map[string]laterTree
	started map[string]time.Duration
	// batch holds small facts whose tree this instance starts at batchAt.
	batch   []wire.StoreFact
	batchAt time.Duration
	// packed holds the last packed value of each key.
	packed map[string]wire.StoreFact
	// laggingSince is when this instance was first found to lack something, or 0.
	laggingSince time.Duration
	nextRepair   time.Duration
}

type laterTree struct {
	at   time.Duration
	fact wire.StoreFact
}

type offer struct {
	from     fleet.InstanceID
	revision uint64
	at       time.Duration
}

func (s *relayState) init() {
	s.offers = make(map[string]offer)
	s.packed = make(map[string]wire.StoreFact)
	s.trees = make(map[string]laterTree)
	s.started = make(map[string]time.Duration)
}

// relay tells peers what this instance read from the store. Large values travel along a tree that
// the first watcher starts at once and the second one later; all watchers offer them too. Small facts
// go to each peer directly, unless there are so many of them that they would hold up the links.
func (r *Router) relay(fresh []replica.Fact) {
	if len(fresh) == 0 {
		return
	}
	var small, offers []wire.StoreFact
	bytes := 0
	for _, f := range fresh {
		if len(f.Value) < largeBytes {
			small = append(small, wireFact(f))
			bytes += len(f.Key) + len(f.Value)
			continue
		}
		offers = append(offers, offerOf(f))
		if r.store.rank < trees {
			r.planTree(f)
		}
	}
	if bytes*len(r.members.linked) > directBytes {
		r.planBatch(small)
		small = nil
	}
	if facts := append(small, offers...); len(facts) > 0 {
		r.broadcast(&wire.StoreFacts{Facts: facts})
	}
	r.startTrees()
}

func (r *Router) shuffledPeers() []fleet.InstanceID {
	to := r.linkedPeers()
	r.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	return to
}

// planTree schedules the tree of a value in place of that of an older one.
func (r *Router) planTree(f replica.Fact) {
	at := r.now + time.Duration(r.store.rank)*treeDelay
	if started, ok := r.relays.started[f.Key]; ok {
		at = max(at, started+treeInterval)
	}
	if planned, ok := r.relays.trees[f.Key]; ok {
		at = min(at, planned.at)
	}
	r.relays.trees[f.Key] = laterTree{at: at, fact: r.pack(f)}
}

// startTrees starts the trees that are due. Their order differs, so that an instance that can't
// be reached does not hide the same others from each of them.
func (r *Router) startTrees() {
	r.startBatch()
	for key, t := range r.relays.trees {
		if r.now < t.at {
			continue
		}
		delete(r.relays.trees, key)
		r.relays.started[key] = r.now
		r.spread(wire.StoreFacts{Facts: []wire.StoreFact{t.fact}}, r.shuffledPeers())
	}
}

// spread passes facts on to instances along a tree.
func (r *Router) spread(m wire.StoreFacts, to []fleet.InstanceID) {
	reachable := slices.DeleteFunc(slices.Clone(to), func(id fleet.InstanceID) bool { return r.members.linked[id] == nil })
	branches := min(fanout, len(reachable))
	if len(reachable) <= directPeers {
		branches = len(reachable)
	}
	for branch := range branches {
		first := branch * len(reachable) / branches
		end := (branch + 1) * len(reachable) / branches
		r.emit(SendMessage{To: reachable[first], Message: &wire.StoreFacts{Facts: m.Facts, Batch: m.Batch, Relay: reachable[first+1 : end]}})
	}
}

func wireFact(f replica.Fact) wire.StoreFact {
	return wire.StoreFact{Key: f.Key, Revision: f.Revision, Deleted: f.Deleted, Value: f.Value}
}

// offerOf tells of a large value without it.
func offerOf(f replica.Fact) wire.StoreFact {
	return wire.StoreFact{Key: f.Key, Revision: f.Revision, Withheld: true}
}

// pack returns a fact with its value compressed.
func (r *Router) pack(f replica.Fact) wire.StoreFact {
	if known, ok := r.relays.packed[f.Key]; ok && known.Revision == f.Revision {
		return known
	}
	w := wireFact(f)
	packed, err := wire.Pack(f.Value)
	if err != nil {
		r.emit(Note{Kind: "fact_not_packed", Fields: []any{"key", f.Key, "error", err.Error()}})
		return w
	}
	w.Value, w.Packed = packed, true
	r.relays.packed[f.Key] = w
	return w
}

// factsReceived merges what a peer tells, and passes it on along its tree.
func (r *Router) factsReceived(from fleet.InstanceID, m *wire.StoreFacts) {
	if len(m.Relay) > 0 {
		r.spread(*m, m.Relay)
	}
	told := m.Facts
	if len(m.Batch) > 0 {
		batch, err := wire.UnpackFacts(m.Batch)
		if err != nil {
			r.emit(Note{Kind: "fact_rejected", Fields: []any{"peer", from, "error", err.Error()}})
		}
		told = append(told, batch...)
	}
	var facts []replica.Fact
	for _, w := range told {
		switch {
		case !w.Deleted && !r.lacks(w):
		case w.Withheld:
			r.offered(from, w)
		default:
			facts = r.unpack(facts, from, w)
		}
	}
	r.learn(r.facts.Merge(facts))
	r.updateReady()
}

// lacks reports whether a fact is newer than what this instance holds of its key.
func (r *Router) lacks(w wire.StoreFact) bool {
	held, ok := r.facts.Get(w.Key)
	return !ok || held.Revision < w.Revision
}

func (r *Router) unpack(facts []replica.Fact, from fleet.InstanceID, w wire.StoreFact) []replica.Fact {
	f := replica.Fact{Key: w.Key, Revision: w.Revision, Value: w.Value, Deleted: w.Deleted}
	if w.Packed {
		value, err := wire.Unpack(w.Value)
		if err != nil {
			r.emit(Note{Kind: "fact_rejected", Fields: []any{"key", w.Key, "peer", from, "error", err.Error()}})
			return facts
		}
		f.Value = value
	}
	return append(facts, f)
}

func (r *Router) offered(from fleet.InstanceID, w wire.StoreFact) {
	if known := r.relays.offers[w.Key]; known.revision < w.Revision {
		r.relays.offers[w.Key] = offer{from: from, revision: w.Revision, at: r.now}
	}
}

// factsRequested answers a peer.
func (r *Router) factsRequested(from fleet.InstanceID, m *wire.FactsRequest) {
	var facts []wire.StoreFact
	if len(m.Buckets) > 0 {
		for _, f := range r.facts.Differing(m.Buckets) {
			if len(f.Value) >= largeBytes {
				facts = append(facts, offerOf(f))
			} else {
				facts = append(facts, wireFact(f))
			}
		}
	}
	for _, key := range m.Keys {
		if f, ok := r.facts.Get(key); ok {
			facts = append(facts, r.pack(f))
		}
	}
	r.sendFacts(from, facts)
}

// tickRelay asks for large values that did not arrive on their tree.
func (r *Router) tickRelay() {
	r.startTrees()
	for key, o := range r.relays.offers {
		if held, ok := r.facts.Get(key); ok && held.Revision >= o.revision {
			delete(r.relays.offers, key)
			continue
		}
		if r.now-o.at < offerPatience {
			continue
		}
		delete(r.relays.offers, key)
		r.emit(SendMessage{To: o.from, Message: &wire.FactsRequest{Keys: []string{key}}})
	}
}

// compare repairs a lasting difference to the facts of a peer that has read at least as far: it
// knows something that this instance missed.
func (r *Router) compare(from fleet.InstanceID, m *wire.Standing) {
	if m.Digest == r.facts.Digest() {
		if !m.StoreLost {
			r.members.toldAt = r.now
		}
		if m.Newest >= r.facts.Newest() {
			r.relays.laggingSince = 0
		}
		return
	}
	if m.Newest < r.facts.Newest() {
		return
	}
	if r.relays.laggingSince == 0 {
		r.relays.laggingSince = r.now
	}
	if r.facts.Newest() > 0 && r.now-r.relays.laggingSince < lagPatience || r.now < r.relays.nextRepair {
		return
	}
	r.relays.nextRepair = r.now + repairInterval
	r.emit(Note{Kind: "repair_asked", Fields: []any{"peer", from, "newest", m.Newest, "own", r.facts.Newest()}})
	r.emit(SendMessage{To: from, Message: &wire.FactsRequest{Buckets: r.facts.BucketDigests()}})
}
