package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// maxBatchFacts and maxBatchBytes bound the facts of one compressed message before compression. 500
	// registrations have about 150 KB; receivers accept a megabyte.
	maxBatchFacts = 500
	maxBatchBytes = 512 << 10
	// maxUnpackedFacts is the number of facts above which the response to a repair request is compressed.
	maxUnpackedFacts = 20
)

// planBatch schedules the tree of many small facts. The second watcher collects them until its tree
// starts. Later watchers send none: the first two and repairs suffice.
func (r *Router) planBatch(facts []wire.StoreFact) {
	if r.treeRank() >= treeWatchers {
		return
	}
	if len(r.relays.batch) == 0 {
		r.relays.batchAt = r.now + time.Duration(r.treeRank())*backupTreeDelay
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
		n := batchLength(facts)
		r.sendAlongTree(r.packBatch(facts[:n]), r.shuffledPeers())
		facts = facts[n:]
	}
}

// batchLength returns the number of facts that fit into one compressed message.
func batchLength(facts []wire.StoreFact) int {
	n, bytes := 0, 0
	for n < min(len(facts), maxBatchFacts) && bytes < maxBatchBytes {
		bytes += len(facts[n].Key) + len(facts[n].Value)
		n++
	}
	return n
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
		n := batchLength(facts)
		part := r.packBatch(facts[:n])
		r.emit(SendMessage{To: to, Message: &part})
		facts = facts[n:]
	}
	if len(facts) > 0 {
		r.emit(SendMessage{To: to, Message: &wire.StoreFacts{Facts: facts}})
	}
}
