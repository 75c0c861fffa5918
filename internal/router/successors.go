package router

import (
	"cmp"
	"slices"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// In a large fleet each instance hears of a read of the store only every 0.8 s, because a watcher can't tell 489 others
// of each. The loss of all watchers was then noticed after 2.8 s with 490 instances, too late for an evacuation, which
// has to be in force within 2.5 s. The watchers therefore tell those that would take over of every read.

const (
	// successorCount is the number of instances, from the first in the order of watchers on, that take over when the
	// watchers are lost, with the watchers themselves. With twice as many as read, three take their place.
	successorCount = 2 * watcherCount
	// successorMargin is the number of further instances that are told of every read, because instances that don't hear
	// the same peers count positions differently. Each one told costs a watcher 130 bytes a second.
	successorMargin = watcherCount
	// successorSilenceLimit is the readSilenceLimit of the successors: that of a small fleet.
	successorSilenceLimit = WatchWait + (watcherCount-1)*minReadNoticeInterval/watcherCount + readSlack
)

// succeeds reports whether this instance has to read the store because it is among the successors and hears of no read.
func (r *Router) succeeds(order watcherOrder) bool {
	return order.position < successorCount && r.now-r.lastKnownRead() >= successorSilenceLimit
}

// announceReadToSuccessors tells those that would take over from the watchers of a read of the store. The watchers tell
// each other as they tell all others, so that their messages to all still alternate.
func (r *Router) announceReadToSuccessors() {
	if r.readNoticeInterval() <= minReadNoticeInterval || r.now < r.store.nextSuccessorNotice {
		return
	}
	message := r.storeReadMessage()
	if to := r.successors(); message != nil && len(to) > 0 {
		r.store.nextSuccessorNotice = r.now + minReadNoticeInterval
		r.emit(SendToMany{To: to, Message: message})
	}
}

// successors returns the first instances in the order of watchers that don't read the store.
func (r *Router) successors() []fleet.InstanceID {
	type candidate struct {
		id    fleet.InstanceID
		score float64
	}
	var list []candidate
	watchers := 1
	for id, p := range r.members.linked {
		switch {
		case p.lastStatusReport == nil || !p.live(r.now) || p.lastStatusReport.Draining || p.lastStatusReport.StoreLost:
		case r.readsStore(p):
			watchers++
		default:
			list = append(list, candidate{id, p.watcherScore})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id)) })
	var to []fleet.InstanceID
	for i := range min(len(list), max(0, successorCount+successorMargin-watchers)) {
		to = append(to, list[i].id)
	}
	return to
}
