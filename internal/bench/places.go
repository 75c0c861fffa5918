package bench

import (
	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

// warmPlace tells where a chat's prefix is cached when its request arrives. It explains cold runs.
type warmPlace uint8

const (
	// nowhere: no engine of the list has it, because its engine was replaced or evicted it.
	nowhere warmPlace = iota
	// noRoom: the engines that have it are at their bound.
	noRoom
	// withRoom: an engine that has it has room; the policy did not use it.
	withRoom
	placesEnd
)

func (s *session) warmPlace(a arrival) warmPlace {
	place := nowhere
	chat := fleet.ChatKeyOf(a.customer, a.chat)
	for _, e := range s.engines {
		if e.Cached(chat) {
			place = max(place, s.placeOn(e))
		}
	}
	return place
}

func (s *session) placeOn(e *harness.Engine) warmPlace {
	total, capacity := 0, 0.0
	for i, other := range s.engines {
		total += s.router.load(other)
		capacity += s.rows[i].Capacity
	}
	row := s.byID[e.ID]
	if s.router.load(e) < min(row.Slots, affinity.Bound(loadBound, total, capacity, row.Capacity)) {
		return withRoom
	}
	return noRoom
}
