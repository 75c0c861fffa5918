package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// A few instances, the watchers, read changes from the store for the whole fleet and tell the others that they
// have. An instance that hears of no read for readSilenceLimit takes the watchers for lost, whatever their last
// status reports say, and reads the store itself.

const (
	// watcherCount is the number of instances that read changes from the store for the whole fleet. With
	// three, changes arrive without delay even if one has failed and another has lost the store.
	watcherCount = 3
	// WatchWait is how long a store call for changes waits, and so the longest time between two reads of a
	// watcher while the store works. The store may lose a waiting call without closing its connection, which is
	// only noticed when the wait ends.
	WatchWait = 700 * time.Millisecond
	// firstWatchInterval and laterWatchInterval are explained at minWatchInterval.
	firstWatchInterval = 300 * time.Millisecond
	laterWatchInterval = 450 * time.Millisecond
	// minReadNoticeInterval is the shortest time between two StoreRead messages of a watcher. With it each read
	// is announced in small fleets.
	minReadNoticeInterval = 250 * time.Millisecond
	// readNoticePerLink, multiplied by the number of links, is the least time between StoreRead messages. With
	// 40 bytes each, a watcher sends at most 8 KB/s of them.
	readNoticePerLink = 5 * time.Millisecond
	// readSlack is the part of readSilenceLimit for delays of the store, the links and slow instances.
	readSlack = 500 * time.Millisecond
	// While no read is heard of, the number of instances that read the store grows by takeoverGrowth every
	// takeoverInterval. A new watcher lists the store and reports it within a few tens of milliseconds; the growth
	// keeps a large fleet from listing the store all at once.
	takeoverGrowth   = 4
	takeoverInterval = 150 * time.Millisecond
	// An instance that could not read the store, and is not among the first live ones, tries again after
	// retryPerInstance for each instance of the fleet, but not before minLaterRetry: a store that is down for all
	// would get hundreds of calls a second. The first ones find out when it is back.
	retryPerInstance = 20 * time.Millisecond
	minLaterRetry    = time.Second
	// verifyTimeout is how much longer than readSilenceLimit an instance's copy may not have been known to be
	// current, although watchers are heard of, before the instance reads the store itself. Repairs take half a
	// second. verifySpread is added for each position in the order of watchers, so that a large fleet in
	// which many registrations change makes at most 100 lists a second.
	verifyTimeout = time.Second
	verifySpread  = 10 * time.Millisecond
)

// readNoticeInterval returns the least time between two StoreRead messages.
func (r *Router) readNoticeInterval() time.Duration {
	return max(minReadNoticeInterval, time.Duration(len(r.members.linked))*readNoticePerLink)
}

// readNoticeSpacing returns the least time between the StoreRead messages of different watchers.
func (r *Router) readNoticeSpacing() time.Duration { return r.readNoticeInterval() / watcherCount }

// readSilenceLimit returns the time without a known read of the store after which the watchers count as lost. While
// all of them work, the messages of one more may be missed.
func (r *Router) readSilenceLimit() time.Duration {
	return WatchWait + (watcherCount-1)*r.readNoticeSpacing() + readSlack
}

// readsStore reports whether the peer is known to read changes from the store.
func (r *Router) readsStore(p *peerState) bool {
	return r.now-p.readStoreAt < WatchWait+r.readNoticeInterval()+readSlack
}

func (r *Router) anyPeerReadsStore() bool {
	for _, p := range r.members.linked {
		if r.readsStore(p) {
			return true
		}
	}
	return false
}

// lastKnownRead returns when this instance or a peer last read the store, as far as it is known.
func (r *Router) lastKnownRead() time.Duration {
	last := r.store.readAt
	for _, p := range r.members.linked {
		last = max(last, p.readStoreAt)
	}
	return last
}

// sendStoreRead tells a peer, or all peers if to is empty, when this instance last read the store. It sends
// nothing if it does not read changes.
func (r *Router) sendStoreRead(to fleet.InstanceID) {
	m := r.storeReadMessage()
	if m == nil {
		return
	}
	if to != "" {
		r.emit(SendMessage{To: to, Message: m})
		return
	}
	r.broadcast(m)
}

// storeReadMessage says when this instance last read the store, or is nil if it does not read changes.
func (r *Router) storeReadMessage() *wire.StoreRead {
	if !r.store.watching || r.now-r.store.readAt >= r.readSilenceLimit() || !r.store.listed {
		return nil
	}
	return &wire.StoreRead{AgeMs: uint32((r.now - r.store.readAt).Milliseconds()), FactsDigest: r.replica.Digest()}
}

// announceRead tells all peers of a read of the store, unless this instance or one that precedes it has told them a
// short time ago. The messages of the watchers so alternate.
func (r *Router) announceRead() {
	if r.now >= r.store.nextReadNotice && r.now-r.store.readBefore >= r.readNoticeSpacing() {
		r.store.nextReadNotice = r.now + r.readNoticeInterval()
		r.sendStoreRead("")
	}
	r.announceReadToSuccessors()
}

func (r *Router) storeReadReceived(from fleet.InstanceID, p *peerState, m *wire.StoreRead) {
	p.readStoreAt = max(p.readStoreAt, r.now-time.Duration(m.AgeMs)*time.Millisecond)
	if r.readsStore(p) {
		// Removals that peers relay are valid while one of them reads the store.
		r.registry.StoreRegained(r.now)
	}
	r.compareFacts(from, m.FactsDigest, p.readStoreAt, 0)
}

// watcherScore returns the rank score of an instance among those that may read the store. It is the same at every
// instance; the highest ones read.
func watcherScore(id fleet.InstanceID) float64 {
	return affinity.Score(fleet.Hash("watchers"), affinity.Seed(string(id)), 1)
}

// watcherOrder is the order of the live instances that may read the store.
type watcherOrder struct {
	// position is that of this instance among candidates.
	position, candidates int
	// liveBefore is the number of live instances before this one, with those that have lost the store.
	liveBefore int
	// readingBefore is the number of instances before this one that read the store, and readBefore when one of them
	// last did, or never.
	readingBefore int
	readBefore    time.Duration
}

func (r *Router) watcherOrder() watcherOrder {
	own := watcherScore(r.cfg.Instance)
	order := watcherOrder{candidates: 1, readBefore: never}
	for id, p := range r.members.linked {
		if p.lastStatusReport == nil || !p.live(r.now) || p.lastStatusReport.Draining {
			continue
		}
		precedes := p.watcherScore > own || p.watcherScore == own && id < r.cfg.Instance
		if precedes {
			order.liveBefore++
		}
		if p.lastStatusReport.StoreLost {
			continue
		}
		order.candidates++
		if !precedes {
			continue
		}
		order.position++
		order.readBefore = max(order.readBefore, p.readStoreAt)
		if r.readsStore(p) {
			order.readingBefore++
		}
	}
	return order
}

// watchersWanted returns the number of instances that should read the store.
func (r *Router) watchersWanted() int {
	wanted := watcherCount
	for silence := r.now - r.lastKnownRead() - r.readSilenceLimit(); silence >= 0 && wanted <= len(r.members.linked); silence -= takeoverInterval {
		wanted *= takeoverGrowth
	}
	return wanted
}

// shouldWatch decides whether this instance reads changes from the store.
func (r *Router) shouldWatch(order watcherOrder) bool {
	switch {
	case !r.canRoute() || order.position < r.watchersWanted() || r.succeeds(order):
		return true
	case r.store.watching:
		// Peers that read the store don't show that this instance has what it missed before their links opened.
		return order.readingBefore < watcherCount || r.store.currentAt < r.store.watchingSince
	}
	return r.now-r.store.currentAt >= r.readSilenceLimit()+verifyTimeout+time.Duration(order.position)*verifySpread
}

// electWatchers starts or stops the reading of changes from the store.
func (r *Router) electWatchers() {
	order := r.watcherOrder()
	watch, oldRank, oldRetry := r.shouldWatch(order), r.store.rank, r.store.retryInterval
	r.store.rank, r.store.readBefore = min(order.position, watcherCount), order.readBefore
	r.store.retryInterval = r.storeRetryInterval(order)
	changed := watch != r.store.watching
	if changed || watch && (minWatchInterval(oldRank) != minWatchInterval(r.store.rank) || oldRetry != r.store.retryInterval) {
		r.emit(WatchStore{On: watch, MinInterval: minWatchInterval(r.store.rank), RetryInterval: r.store.retryInterval})
	}
	if !changed {
		return
	}
	r.store.watching = watch
	r.store.watchingSince = r.now
	r.store.nextReadNotice = 0
	// An instance that no longer reads the store can't know whether it is still unreachable.
	r.store.lost = r.store.lost && watch
	r.emit(Decision{Kind: "watching_store", Fields: []any{"on", watch, "candidates", order.candidates, "position", order.position,
		"reading_before", order.readingBefore, "read_age_ms", (r.now - r.lastKnownRead()).Milliseconds()}})
}

// storeRetryInterval returns the least time from a failed call of the store to the next one, or 0 for the usual backoff.
func (r *Router) storeRetryInterval(order watcherOrder) time.Duration {
	if !r.store.lost || order.liveBefore < watcherCount {
		return 0
	}
	return max(minLaterRetry, time.Duration(len(r.members.linked)+1)*retryPerInstance)
}

// minWatchInterval returns the least time between the starts of two store calls for changes by the
// watcher of a rank. Every call is charged, and registrations change continually. The first watcher
// reads changes early enough for the required bound of 2 s on configurations; the others are backups.
func minWatchInterval(rank int) time.Duration {
	if rank == 0 {
		return firstWatchInterval
	}
	return laterWatchInterval
}
