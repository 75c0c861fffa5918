package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
)

// Stats summarize what the instance knows at one moment, for metrics.
type Stats struct {
	Services []ServiceStats
	// Peers counts the linked instances; PeerAge is the time since the one that has been silent for
	// longest was heard of.
	Peers   int
	PeerAge time.Duration
	// Watching tells that this instance reads changes from the store. StoreAge is the time since
	// its last successful read, FactsAge that since it was told of the store's state by anybody;
	// they are negative before the first time.
	Watching bool
	StoreAge time.Duration
	FactsAge time.Duration
	// Suspended counts the engines whose removal is not believed yet.
	Suspended int
}

// ServiceStats summarize a service.
type ServiceStats struct {
	Service fleet.ServiceID
	placement.Stats
	// BudgetLeft is the number of further attempts that this instance may make now.
	BudgetLeft float64
}

// Stats returns the present state.
func (r *Router) Stats(now time.Duration) Stats {
	s := Stats{
		Peers:     len(r.members.linked),
		Watching:  r.store.watching,
		StoreAge:  age(now, r.store.readAt),
		Suspended: r.registry.Suspended(),
	}
	s.FactsAge = s.StoreAge
	if heard := age(now, r.members.toldAt); heard >= 0 && (s.FactsAge < 0 || heard < s.FactsAge) {
		s.FactsAge = heard
	}
	for _, p := range r.members.linked {
		s.PeerAge = max(s.PeerAge, now-p.heard)
	}
	for id, pool := range r.pools {
		s.Services = append(s.Services, ServiceStats{Service: id, Stats: pool.engines.Stats(now), BudgetLeft: pool.budget.Left(now)})
	}
	slices.SortFunc(s.Services, func(a, b ServiceStats) int { return cmp.Compare(a.Service, b.Service) })
	return s
}

// age returns the time since at, or a negative one if at is not set.
func age(now, at time.Duration) time.Duration {
	if at == 0 {
		return -1
	}
	return now - at
}
