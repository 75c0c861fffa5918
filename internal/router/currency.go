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
	// unrelayedRepairDelay is the same for a difference that the peer does not relay. Within it, facts arrive that
	// another peer relays.
	unrelayedRepairDelay = 100 * time.Millisecond
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

// difference is a difference between this instance's copy and that of a peer.
type difference struct {
	// since is when it was first seen.
	since time.Duration
	// peer is the one with the most current copy that differs, or empty without a difference. The copy was current as of
	// at and had the digest. Its newest revision was newest, or 0 if the peer did not say.
	peer           fleet.InstanceID
	at             time.Duration
	digest, newest uint64
}

// compareFacts compares this instance's copy with that of a peer, which was current as of peerCurrentAt and
// whose newest revision is newest, or 0 if it did not say. A difference ends with an equal digest of a peer that is
// at least as current as those that differed.
func (r *Router) compareFacts(from fleet.InstanceID, digest uint64, peerCurrentAt time.Duration, newest uint64) {
	if digest == r.replica.Digest() {
		r.copyConfirmed(peerCurrentAt)
		return
	}
	if newest < r.replica.NewestRevision() && r.store.currentAt-peerCurrentAt > r.readSilenceLimit() {
		return
	}
	d := &r.relays.difference
	if d.peer == "" {
		*d = difference{since: r.now, at: never}
	}
	if peerCurrentAt >= d.at {
		d.peer, d.at, d.digest, d.newest = from, peerCurrentAt, digest, newest
	}
	r.repair()
}

// copyConfirmed records that this instance's copy equals one that was current as of a time.
func (r *Router) copyConfirmed(asOf time.Duration) {
	r.store.currentAt = max(r.store.currentAt, asOf)
	if asOf >= r.relays.difference.at {
		r.relays.difference = difference{at: never}
	}
}

// differingPeerDown forgets a difference from a peer that has gone. The next peer that differs is compared anew.
func (r *Router) differingPeerDown(peer fleet.InstanceID) {
	if r.relays.difference.peer == peer {
		r.relays.difference = difference{at: never}
	}
}

// tickCurrency repairs a difference that has lasted, or ends it if the facts have arrived meanwhile.
func (r *Router) tickCurrency() {
	d := r.relays.difference
	switch {
	case d.peer == "":
	case d.digest == r.replica.Digest():
		r.copyConfirmed(d.at)
	case r.now-d.since >= r.repairWait(d):
		r.repair()
	}
}

// repairWait returns how long a difference must last before it is repaired.
func (r *Router) repairWait(d difference) time.Duration {
	switch {
	case r.replica.NewestRevision() == 0:
		return 0
	case r.predatesLink(d.peer, d.at):
		return unrelayedRepairDelay
	}
	return repairDelay
}

// repair requests the facts that differ from the peer that has them, unless it is too early.
func (r *Router) repair() {
	d := r.relays.difference
	if r.now-d.since < r.repairWait(d) || r.now < r.relays.nextRepair {
		return
	}
	r.relays.nextRepair, r.relays.repairedFrom = r.now+repairInterval, d.peer
	r.emit(Decision{Kind: "repair_asked", Fields: []any{"peer", d.peer, "newest", replica.FormatRevision(d.newest),
		"own", replica.FormatRevision(r.replica.NewestRevision()), "lagging_ms", (r.now - d.since).Milliseconds()}})
	r.emit(SendMessage{To: d.peer, Message: &wire.FactsRequest{Buckets: r.replica.BucketDigests()}})
}

// repairRequested reports whether a message of a peer may be the reply to the last repair request.
func (r *Router) repairRequested(of fleet.InstanceID) bool {
	return of == r.relays.repairedFrom && r.now < r.relays.nextRepair
}

// predatesLink reports whether what a peer has and this instance lacks may be what the peer had when their link
// opened. The peer relays only what it reads later. Its copy is current as of peerCurrentAt.
func (r *Router) predatesLink(peer fleet.InstanceID, peerCurrentAt time.Duration) bool {
	p := r.members.linked[peer]
	return p != nil && r.store.currentAt < p.linkedAt && r.store.currentAt < peerCurrentAt
}
