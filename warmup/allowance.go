package warmup

import (
	"math"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// usedShare is the part of the tolerated rate that the fleet uses.
	usedShare = 0.9
	// viewMargin is the number of requests a second that is left for instances whose view of the fleet differs.
	viewMargin = 2
	// maxInstances and maxRate bound what a configuration can ask for.
	maxInstances = 1 << 16
	maxRate      = 1e6
)

// Allowance returns the number of instances that may serve an engine while it warms up, and the rate of the requests of
// each. rate is the number of requests a second that the engine tolerates; in no second may it get more than
// rate*overshoot + slack. Each instance has a token bucket with a burst of 1, so that all together send at most
// n + 0.9*rate in any second.
func Allowance(rate, overshoot, slack float64) (n int, perInstance float64) {
	return Share(rate, overshoot, slack, maxInstances)
}

// Share returns the Allowance in a fleet of a number of instances, which all serve the engine if they are fewer than n.
// The rate is 0 if the rule admits no request at all.
func Share(rate, overshoot, slack float64, instances int) (n int, perInstance float64) {
	rate = min(rate, maxRate)
	rule := rate*overshoot + slack
	// A comparison with NaN is false.
	if !(rate > 0) || !(rule >= 1) {
		return 1, 0
	}
	n = int(min(max(math.Floor(rule-usedShare*rate-viewMargin+1e-9), 1), maxInstances))
	n = max(min(n, instances), 1)
	perInstance = usedShare * rate / float64(n)
	if n == 1 {
		// A bucket with a burst of 1 and a rate below a whole number sends at most that number in a second.
		perInstance = min(perInstance, 0.99*math.Floor(rule))
	}
	return n, perInstance
}

// View is a set of instances from which those that serve an engine are chosen.
type View struct {
	ids   []fleet.InstanceID
	seeds []uint64
}

// NewView returns a view of instances, each of which is named once.
func NewView(ids []fleet.InstanceID) View {
	v := View{ids: ids, seeds: make([]uint64, len(ids))}
	for i, id := range ids {
		v.seeds[i] = affinity.Seed(string(id))
	}
	return v
}

// Len returns the number of instances.
func (v View) Len() int { return len(v.ids) }

// IDs returns the instances.
func (v View) IDs() []fleet.InstanceID { return v.ids }

func engineKey(engine fleet.EngineID) uint64 { return fleet.Hash("warm-up", string(engine)) }

// Position returns the number of instances that precede an instance in an engine's order, or false if these are n or
// more.
func (v View) Position(engine fleet.EngineID, of fleet.InstanceID, n int) (position int, chosen bool) {
	key := engineKey(engine)
	own := affinity.Score(key, affinity.Seed(string(of)), 1)
	for i, id := range v.ids {
		score := affinity.Score(key, v.seeds[i], 1)
		if score > own || score == own && id < of {
			if position++; position >= n {
				return position, false
			}
		}
	}
	return position, position < n
}

// Instances returns the n of the given instances that serve an engine while it warms up, in the engine's rendezvous
// order. When an instance leaves, only its place is taken by another one; when it returns, it has that place again.
func Instances(engine fleet.EngineID, ids []fleet.InstanceID, n int) []fleet.InstanceID {
	candidates := make([]affinity.Candidate, len(ids))
	for i, id := range ids {
		candidates[i] = affinity.Candidate{ID: string(id), Weight: 1}
	}
	order := affinity.Rank(engineKey(engine), candidates)
	chosen := make([]fleet.InstanceID, 0, min(n, len(ids)))
	for _, i := range order[:min(n, len(order))] {
		chosen = append(chosen, ids[i])
	}
	return chosen
}
