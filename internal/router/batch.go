package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// batchFacts bounds the facts of one packed message: about 150 KB before packing.
	batchFacts = 500
	// packFacts is the number of facts from which the answer to a request for repair is packed.
	packFacts = 20
)

// planBatch schedules the tree of many small facts. The second watcher collects them until its tree
// starts; later ones leave it to those two and to repairs.
func (r *Router) planBatch(facts []wire.StoreFact) {
	if r.store.rank >= trees {
		return
	}
	if len(r.relays.batch) == 0 {
		r.relays.batchAt = r.now + time.Duration(r.store.rank)*treeDelay
	}
	r.relays.batch = append(r.relays.batch, facts...)
}

// startBatch starts the tree of the collected facts, in parts of a bounded size.
func (r *Router) startBatch() {
	if len(r.relays.batch) == 0 || r.now < r.relays.batchAt {
		return
	}
	facts := r.relays.batch
	r.relays.batch = nil
	for len(facts) > 0 {
		n := min(len(facts), batchFacts)
		r.spread(r.batch(facts[:n]), r.shuffledPeers())
		facts = facts[n:]
	}
}

// batch returns a message with facts packed together.
func (r *Router) batch(facts []wire.StoreFact) wire.StoreFacts {
	packed, err := wire.PackFacts(facts)
	if err != nil {
		r.emit(Note{Kind: "fact_not_packed", Fields: []any{"facts", len(facts), "error", err.Error()}})
		return wire.StoreFacts{Facts: facts}
	}
	return wire.StoreFacts{Batch: packed}
}

// sendFacts sends facts to one peer, many of them packed.
func (r *Router) sendFacts(to fleet.InstanceID, facts []wire.StoreFact) {
	for len(facts) > packFacts {
		n := min(len(facts), batchFacts)
		part := r.batch(facts[:n])
		r.emit(SendMessage{To: to, Message: &part})
		facts = facts[n:]
	}
	if len(facts) > 0 {
		r.emit(SendMessage{To: to, Message: &wire.StoreFacts{Facts: facts}})
	}
}
