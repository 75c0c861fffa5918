package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// maxBatchFacts bounds the facts of one compressed message: about 150 KB before compression.
	maxBatchFacts = 500
	// maxUnpackedFacts is the number of facts above which the response to a repair request is compressed.
	maxUnpackedFacts = 20
)

// planBatch schedules the tree of many small facts. The second watcher collects them until its tree
// starts. Later watchers send none: the first two and repairs suffice.
func (r *Router) planBatch(facts []wire.StoreFact) {
	if r.store.rank >= treeWatchers {
		return
	}
	if len(r.relays.batch) == 0 {
		r.relays.batchAt = r.now + time.Duration(r.store.rank)*backupTreeDelay
	}
	r.relays.batch = append(r.relays.batch, facts...)
}

// startBatch sends the collected facts along trees, in messages of at most maxBatchFacts.
func (r *Router) startBatch() {
	if len(r.relays.batch) == 0 || r.now < r.relays.batchAt {
		return
	}
	facts := r.relays.batch
	r.relays.batch = nil
	for len(facts) > 0 {
		n := min(len(facts), maxBatchFacts)
		r.sendAlongTree(r.packBatch(facts[:n]), r.shuffledPeers())
		facts = facts[n:]
	}
}

// packBatch returns a message with facts compressed together.
func (r *Router) packBatch(facts []wire.StoreFact) wire.StoreFacts {
	packed, err := wire.PackFacts(facts)
	if err != nil {
		r.emit(Decision{Kind: "fact_not_packed", Fields: []any{"facts", len(facts), "error", err.Error()}})
		return wire.StoreFacts{Facts: facts}
	}
	return wire.StoreFacts{Batch: packed}
}

// sendFacts sends facts to one peer. While more than maxUnpackedFacts remain, they are sent in
// compressed batches.
func (r *Router) sendFacts(to fleet.InstanceID, facts []wire.StoreFact) {
	for len(facts) > maxUnpackedFacts {
		n := min(len(facts), maxBatchFacts)
		part := r.packBatch(facts[:n])
		r.emit(SendMessage{To: to, Message: &part})
		facts = facts[n:]
	}
	if len(facts) > 0 {
		r.emit(SendMessage{To: to, Message: &wire.StoreFacts{Facts: facts}})
	}
}
