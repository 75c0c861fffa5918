// Package affinity assigns keys to weighted candidates by rendezvous hashing, chooses the home of an
// engine, which is the instance that alone admits requests to it, and computes the load bound of an
// engine.
//
// Each key orders all candidates by score and is assigned to the first. When a candidate leaves,
// only the keys that were assigned to it move; when it returns, exactly those keys move back.
package affinity

import (
	"math"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Candidate is one engine or instance to which a key may be assigned.
type Candidate struct {
	// ID identifies the candidate. It must be the same on every instance.
	ID string
	// Weight is the candidate's share of keys relative to the others. Candidates with a
	// weight of zero or less rank last.
	Weight float64
}

// Seed returns the hash of a candidate's ID, for use with Score.
func Seed(id string) uint64 {
	return fleet.Hash("candidate", id)
}

// Score returns the rendezvous score of a key on a candidate. The highest score wins.
// Scores follow -w/ln(u) with u uniform in (0,1), which gives each candidate a share of
// keys proportional to its weight.
func Score(key, seed uint64, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	// 53 bits fill a float64 mantissa; adding 0.5 keeps u inside (0,1).
	u := (float64(mix(key^seed)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// mix is the 64-bit finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Rank returns the indexes of candidates in descending order of score for key.
func Rank(key uint64, candidates []Candidate) []int {
	order := make([]int, len(candidates))
	for i, c := range NewPool(candidates).sorted(key, nil) {
		order[i] = c.Index
	}
	return order
}

// Bound returns the maximum number of requests that an engine may have in flight once one more
// request is admitted to its pool: ceil(factor * (poolInFlight+1) * capacity / poolCapacity), at least
// 1. It returns 0 for an engine or pool without capacity.
func Bound(factor float64, poolInFlight int, poolCapacity, capacity float64) int {
	if poolCapacity <= 0 || capacity <= 0 {
		return 0
	}
	share := capacity / poolCapacity
	bound := math.Ceil(factor*float64(poolInFlight+1)*share - boundEpsilon)
	return max(1, int(bound))
}

// boundEpsilon keeps floating-point error from raising an exact integer to the next one.
const boundEpsilon = 1e-9
