package router

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

// An instance's copy of the store is current as of a time if it holds what the store held then. A read of
// the store shows it, and so does an equal digest of a peer whose copy is current. An equal digest alone
// shows nothing: the peer may have missed the same changes.

// never is a time before all others.
const never = time.Duration(math.MinInt64 / 2)

const (
	// repairDelay is how long a difference from a peer's facts must last before it is repaired, by
	// requesting the differing facts from the peer. Facts arrive within milliseconds, and status reports
	// may overtake them.
	repairDelay = 500 * time.Millisecond
	// repairInterval is the shortest time between two requests for differing facts.
	repairInterval = 500 * time.Millisecond
)

// currentAgeMs returns how long ago this instance's copy was last known to be current, as status reports
// name it.
func (r *Router) currentAgeMs() uint32 {
	if r.store.currentAt == never {
		return 0
	}
	return uint32(min((r.now-r.store.currentAt).Milliseconds()+1, math.MaxUint32))
}

// peerCurrentAt returns the time as of which the sender of a report that has just arrived was current.
func (r *Router) peerCurrentAt(m *wire.StatusReport) time.Duration {
	if m.CurrentAgeMs == 0 {
		return never
	}
	return r.now - time.Duration(m.CurrentAgeMs-1)*time.Millisecond
}

// compareFacts compares this instance's copy with that of a peer, which was current as of peerCurrentAt and
// whose newest revision is newest, or 0 if it did not say. A difference that lasts for repairDelay is repaired,
// and one that the peer does not relay at once. It ends with an equal digest of a peer that is at least as current
// as those that differed.
func (r *Router) compareFacts(from fleet.InstanceID, digest uint64, peerCurrentAt time.Duration, newest uint64) {
	if digest == r.replica.Digest() {
		r.store.currentAt = max(r.store.currentAt, peerCurrentAt)
		if peerCurrentAt >= r.relays.differedAt {
			r.relays.laggingSince, r.relays.differedAt = 0, never
		}
		return
	}
	if newest < r.replica.NewestRevision() && r.store.currentAt-peerCurrentAt > r.readSilenceLimit() {
		return
	}
	r.relays.differedAt = max(r.relays.differedAt, peerCurrentAt)
	if r.relays.laggingSince == 0 {
		r.relays.laggingSince = r.now
	}
	wait := r.replica.NewestRevision() > 0 && r.now-r.relays.laggingSince < repairDelay && !r.heldBeforeLink(from, peerCurrentAt)
	if wait || r.now < r.relays.nextRepair {
		return
	}
	r.relays.nextRepair = r.now + repairInterval
	r.emit(Decision{Kind: "repair_asked", Fields: []any{"peer", from, "newest", replica.FormatRevision(newest),
		"own", replica.FormatRevision(r.replica.NewestRevision()), "lagging_ms", (r.now - r.relays.laggingSince).Milliseconds()}})
	r.emit(SendMessage{To: from, Message: &wire.FactsRequest{Buckets: r.replica.BucketDigests()}})
}

// heldBeforeLink reports whether what a peer has and this instance lacks may be what the peer had when their link
// opened. The peer relays only what it reads later. Its copy is current as of peerCurrentAt.
func (r *Router) heldBeforeLink(peer fleet.InstanceID, peerCurrentAt time.Duration) bool {
	p := r.members.linked[peer]
	return p != nil && r.store.currentAt < p.linkedAt && r.store.currentAt < peerCurrentAt
}
