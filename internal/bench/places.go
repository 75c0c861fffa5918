package bench

import (
	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/harness"
)

// cachePlace is where the prefix of a chat is cached when a request of the chat arrives. It
// explains why a request of a returning chat ran cold, that is, without a cached prefix.
type cachePlace uint8

const (
	// cachedNowhere means that no engine has the prefix cached: the engine that had it was
	// replaced or evicted it.
	cachedNowhere cachePlace = iota
	// cachedWithoutRoom means that all engines that have the prefix cached are at their load
	// bound or have no free slot.
	cachedWithoutRoom
	// cachedWithRoom means that an engine that has the prefix cached could take the request. If
	// the request runs cold, the policy did not choose that engine.
	cachedWithRoom
	// cachePlaceCount is the number of values above.
	cachePlaceCount
)

func (s *session) cachePlace(a arrival) cachePlace {
	place := cachedNowhere
	chat := fleet.ChatKeyOf(a.customer, a.chat)
	for _, e := range s.engines {
		if e.Cached(chat) {
			place = max(place, s.cachePlaceOn(e))
		}
	}
	return place
}

func (s *session) cachePlaceOn(e *harness.Engine) cachePlace {
	total, capacity := 0, 0.0
	for i, other := range s.engines {
		total += s.router.load(other)
		capacity += s.engineRows[i].Capacity
	}
	row := s.byID[e.ID]
	if s.router.load(e) < min(row.Slots, affinity.Bound(loadBound, total, capacity, row.Capacity)) {
		return cachedWithRoom
	}
	return cachedWithoutRoom
}
