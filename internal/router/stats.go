package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
)

// Stats is a snapshot of the router's state for metrics.
type Stats struct {
	Services []ServiceStats
	// Peers counts the linked instances. PeerAge is the longest time since a linked instance sent its last
	// status report, or since its link opened if it has sent none.
	Peers   int
	PeerAge time.Duration
	// Watching reports whether this instance reads changes from the store. StoreAge is the time since its
	// last successful read. FactsAge is the time since its facts were last known to be current, by its
	// own read or by comparison with a peer whose facts are current. Both are negative before the first time.
	Watching bool
	StoreAge time.Duration
	FactsAge time.Duration
	// Suspended counts the engines that are kept although their registration is missing, because the
	// store was unreachable.
	Suspended int
	// Waiting counts the requests that wait at this instance for an engine.
	Waiting []WaitingStats
	// EvacuatedDataCentres counts the data centres whose engines get no requests.
	EvacuatedDataCentres int
	// DelayedRetries counts the requests that wait for their retry.
	DelayedRetries int
}

// WaitingStats counts the waiting requests of a service with an urgency.
type WaitingStats struct {
	Service  fleet.ServiceID
	Urgency  int
	Requests int
}

// ServiceStats is a snapshot of one service.
type ServiceStats struct {
	Service fleet.ServiceID
	placement.Stats
	// BudgetLeft is the number of extra attempts that the retry budget of this instance still allows.
	BudgetLeft float64
	// BudgetShort reports whether the retry budget is given out by claims, and FailingAlike whether most engines
	// fail alike. Both are false without LoadControl.
	BudgetShort, FailingAlike bool
}

// Stats returns a snapshot at time now.
func (r *Router) Stats(now time.Duration) Stats {
	s := Stats{
		Peers:     len(r.members.linked),
		Watching:  r.store.watching,
		StoreAge:  age(now, r.store.readAt),
		Suspended: r.registry.Suspended(),

		EvacuatedDataCentres: len(r.evacuations),
		DelayedRetries:       len(r.delayed.pending),
		Waiting:              r.waitingStats(),
	}
	s.FactsAge = -1
	if r.store.currentAt != never {
		s.FactsAge = now - r.store.currentAt
	}
	for _, p := range r.members.linked {
		s.PeerAge = max(s.PeerAge, now-p.lastReportAt)
	}
	for id, pool := range r.pools {
		s.Services = append(s.Services, ServiceStats{Service: id, Stats: pool.engines.Stats(now), BudgetLeft: pool.budget.Remaining(now),
			BudgetShort: r.cfg.LoadControl && pool.budget.Short(now), FailingAlike: pool.alike.active})
	}
	slices.SortFunc(s.Services, func(a, b ServiceStats) int { return cmp.Compare(a.Service, b.Service) })
	return s
}

// age returns the time since at, or -1 if at is zero.
func age(now, at time.Duration) time.Duration {
	if at == 0 {
		return -1
	}
	return now - at
}

// waitingStats counts the waiting requests by service and urgency.
func (r *Router) waitingStats() []WaitingStats {
	var list []WaitingStats
	for _, service := range r.waiting.queue.Groups() {
		var counts [maxUrgency + 1]int
		for _, request := range r.waiting.queue.Requests(service) {
			counts[request.Urgency/urgencyRanks]++
		}
		for urgency, n := range counts {
			if n > 0 {
				list = append(list, WaitingStats{Service: service, Urgency: urgency, Requests: n})
			}
		}
	}
	return list
}
