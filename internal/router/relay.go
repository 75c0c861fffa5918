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
	// fanout is the number of instances to which each node of the tree passes a large value on.
	// With four, 82 instances are reached in four steps.
	fanout = 4
	// treeDelay is the time by which each further watcher starts its tree later. When the trees
	// before it worked, its first receivers stop it.
	treeDelay = 300 * time.Millisecond
	// offerPatience is how long an instance waits for a large value on a tree before it asks the
	// instance that offered it. It outlasts the tree of the last watcher.
	offerPatience = 900 * time.Millisecond
	// lagPatience is how long a difference to a peer's facts may last before it is repaired. Facts
	// arrive within milliseconds, and standings overtake them.
	lagPatience = 500 * time.Millisecond
	// repairInterval is the shortest time between two requests for everything that a peer knows.
	repairInterval = 500 * time.Millisecond
)

// relayState is what the instance still lacks of the facts that peers have.
type relayState struct {
	// offers holds large values that peers have told of and not sent.
	offers map[string]offer
	// trees holds large values whose trees this instance starts later.
	trees []laterTree
	// packed holds the last packed value of each key.
	packed map[string]wire.StoreFact
	// laggingSince is when this instance was first found to lack something, or 0.
	laggingSince time.Duration
	nextRepair   time.Duration
}

type laterTree struct {
	at    time.Duration
	facts []wire.StoreFact
}

type offer struct {
	from     fleet.InstanceID
	revision uint64
	at       time.Duration
}

func (s *relayState) init() {
	s.offers = make(map[string]offer)
	s.packed = make(map[string]wire.StoreFact)
}

// relay tells peers what this instance read from the store. Large values travel along a tree that
// the first watcher starts at once; the others offer them and start theirs later, in case that one
// fails.
func (r *Router) relay(fresh []replica.Fact) {
	var small, large []wire.StoreFact
	for _, f := range fresh {
		if len(f.Value) < largeBytes {
			small = append(small, wireFact(f))
			continue
		}
		large = append(large, r.pack(f))
		if r.store.rank > 0 {
			small = append(small, wire.StoreFact{Key: f.Key, Revision: f.Revision, Withheld: true})
		}
	}
	if len(small) > 0 {
		r.broadcast(&wire.StoreFacts{Facts: small})
	}
	if len(large) > 0 {
		r.relays.trees = append(r.relays.trees, laterTree{at: r.now + time.Duration(r.store.rank)*treeDelay, facts: large})
		r.startTrees()
	}
}

// startTrees starts the trees that are due.
func (r *Router) startTrees() {
	later := r.relays.trees[:0]
	for _, t := range r.relays.trees {
		if r.now >= t.at {
			r.spread(t.facts, r.linkedPeers())
			continue
		}
		later = append(later, t)
	}
	r.relays.trees = later
}

// spread passes facts on to instances along a tree.
func (r *Router) spread(facts []wire.StoreFact, to []fleet.InstanceID) {
	reachable := slices.DeleteFunc(slices.Clone(to), func(id fleet.InstanceID) bool { return r.members.linked[id] == nil })
	for branch := range min(fanout, len(reachable)) {
		first := branch * len(reachable) / min(fanout, len(reachable))
		end := (branch + 1) * len(reachable) / min(fanout, len(reachable))
		r.emit(SendMessage{To: reachable[first], Message: &wire.StoreFacts{Facts: facts, Relay: reachable[first+1 : end]}})
	}
}

func wireFact(f replica.Fact) wire.StoreFact {
	return wire.StoreFact{Key: f.Key, Revision: f.Revision, Deleted: f.Deleted, Value: f.Value}
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

// factsReceived merges what a peer tells. It passes on what is new to this instance; for the rest
// it has done so before.
func (r *Router) factsReceived(from fleet.InstanceID, m *wire.StoreFacts) {
	if len(m.Relay) > 0 && slices.ContainsFunc(m.Facts, r.lacks) {
		r.spread(m.Facts, m.Relay)
	}
	var facts []replica.Fact
	for _, w := range m.Facts {
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
	reply := &wire.StoreFacts{}
	if m.All {
		for _, f := range r.facts.All() {
			w := wireFact(f)
			if len(f.Value) >= largeBytes {
				w = wire.StoreFact{Key: f.Key, Revision: f.Revision, Withheld: true}
			}
			reply.Facts = append(reply.Facts, w)
		}
	}
	for _, key := range m.Keys {
		if f, ok := r.facts.Get(key); ok {
			reply.Facts = append(reply.Facts, r.pack(f))
		}
	}
	if len(reply.Facts) > 0 {
		r.emit(SendMessage{To: from, Message: reply})
	}
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
	r.emit(SendMessage{To: from, Message: &wire.FactsRequest{All: true}})
}
