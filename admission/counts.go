package admission

import (
	"cmp"
	"slices"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// PoolCount is one home's part of a pool's totals. Engines that are draining or held down
// count neither with their attempts nor with their capacity.
type PoolCount struct {
	Pool     fleet.ServiceID
	InFlight int
	Capacity float64
}

// Counts is what a home announces in heartbeats: the totals of its pools, and the engines that
// would not grant a request now. Both lists are sorted.
type Counts struct {
	Pools     []PoolCount
	Saturated []fleet.EngineID
}

// Delta is the change from one Counts to a later one.
type Delta struct {
	// Pools holds the pools that are new or changed, Gone those that no longer exist.
	Pools []PoolCount
	Gone  []fleet.ServiceID
	// Saturated and Cleared are the engines that became or are no longer saturated.
	Saturated, Cleared []fleet.EngineID
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool {
	return len(d.Pools)+len(d.Gone)+len(d.Saturated)+len(d.Cleared) == 0
}

// Counts returns the home's current totals.
func (h *Home) Counts() Counts {
	var counts Counts
	for id, p := range h.pools {
		if len(p.engines) > 0 {
			counts.Pools = append(counts.Pools, PoolCount{id, p.inFlight, p.capacity})
		}
	}
	slices.SortFunc(counts.Pools, comparePools)
	for _, e := range h.sortedEngines {
		if !e.open() || !h.hasRoom(e) {
			counts.Saturated = append(counts.Saturated, e.ID)
		}
	}
	return counts
}

func comparePools(a, b PoolCount) int { return cmp.Compare(a.Pool, b.Pool) }

// Since returns the delta from old to c.
func (c Counts) Since(old Counts) Delta {
	var d Delta
	for _, pool := range c.Pools {
		if i, ok := slices.BinarySearchFunc(old.Pools, pool, comparePools); !ok || old.Pools[i] != pool {
			d.Pools = append(d.Pools, pool)
		}
	}
	for _, pool := range old.Pools {
		if _, ok := slices.BinarySearchFunc(c.Pools, pool, comparePools); !ok {
			d.Gone = append(d.Gone, pool.Pool)
		}
	}
	d.Saturated = difference(c.Saturated, old.Saturated)
	d.Cleared = difference(old.Saturated, c.Saturated)
	return d
}

// Apply returns c after delta d. Neither is changed.
func (c Counts) Apply(d Delta) Counts {
	var next Counts
	for _, pool := range c.Pools {
		_, changed := slices.BinarySearchFunc(d.Pools, pool, comparePools)
		if !changed && !slices.Contains(d.Gone, pool.Pool) {
			next.Pools = append(next.Pools, pool)
		}
	}
	next.Pools = append(next.Pools, d.Pools...)
	slices.SortFunc(next.Pools, comparePools)
	next.Saturated = append(difference(c.Saturated, d.Cleared), difference(d.Saturated, c.Saturated)...)
	slices.Sort(next.Saturated)
	return next
}

// difference returns the elements of a that are not in the sorted list b.
func difference(a, b []fleet.EngineID) []fleet.EngineID {
	var rest []fleet.EngineID
	for _, id := range a {
		if _, found := slices.BinarySearch(b, id); !found {
			rest = append(rest, id)
		}
	}
	return rest
}
