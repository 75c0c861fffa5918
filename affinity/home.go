package affinity

import (
	"slices"
	"strings"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Instance is one live instance of a region that may be the home of an engine.
type Instance struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
}

// HomeOf returns the home of an engine in data centre dc: the instance of that data centre
// with the highest rendezvous score, or of all instances when the data centre has none.
// It returns "" when there are no instances.
func HomeOf(engine fleet.EngineID, dc fleet.DataCentre, instances []Instance) fleet.InstanceID {
	key := homeKey(engine)
	var best homeCandidate
	for _, instance := range instances {
		best = best.better(homeCandidate{
			id:    instance.ID,
			local: instance.DataCentre == dc,
			score: mix(key ^ Seed(string(instance.ID))),
		})
	}
	return best.id
}

// homeKey returns the key by which an engine's home is chosen. Its prefix keeps the choice
// independent of the assignment of conversations.
func homeKey(engine fleet.EngineID) uint64 {
	return fleet.Hash("home", string(engine))
}

// homeCandidate is an instance that may become an engine's home, with its score. Instances have
// equal weights, so the mixed hash orders them as Score would, without the logarithm.
type homeCandidate struct {
	id    fleet.InstanceID
	local bool
	score uint64
}

// better returns the preferred one of two candidates: one in the engine's data centre, then one with
// the higher score, then one with the smaller ID. A c without an ID stands for no candidate and loses.
func (c homeCandidate) better(other homeCandidate) homeCandidate {
	switch {
	case c.id == "":
		return other
	case c.local != other.local:
		return pick(c.local, c, other)
	case c.score != other.score:
		return pick(c.score > other.score, c, other)
	}
	return pick(c.id < other.id, c, other)
}

// pick returns a if takeFirst is set, otherwise b.
func pick(takeFirst bool, a, b homeCandidate) homeCandidate {
	if takeFirst {
		return a
	}
	return b
}

// HomeCache caches the homes of engines until the set of live instances changes. It is not safe
// for concurrent use.
type HomeCache struct {
	instances []Instance
	seeds     []uint64
	homes     map[engineLocation]fleet.InstanceID
}

// engineLocation is an engine and its data centre.
type engineLocation struct {
	engine fleet.EngineID
	dc     fleet.DataCentre
}

// Update sets the live instances, given in any order, and reports whether the set changed. The
// cached homes are dropped only then.
func (h *HomeCache) Update(live []Instance) bool {
	sorted := slices.Clone(live)
	slices.SortFunc(sorted, func(a, b Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if h.homes != nil && slices.Equal(sorted, h.instances) {
		return false
	}
	h.instances = sorted
	h.homes = make(map[engineLocation]fleet.InstanceID)
	h.seeds = h.seeds[:0]
	for _, instance := range sorted {
		h.seeds = append(h.seeds, Seed(string(instance.ID)))
	}
	return true
}

// Home returns what HomeOf returns for the instances of the last Update.
func (h *HomeCache) Home(engine fleet.EngineID, dc fleet.DataCentre) fleet.InstanceID {
	location := engineLocation{engine, dc}
	if home, ok := h.homes[location]; ok {
		return home
	}
	key := homeKey(engine)
	var best homeCandidate
	for i, instance := range h.instances {
		best = best.better(homeCandidate{instance.ID, instance.DataCentre == dc, mix(key ^ h.seeds[i])})
	}
	if h.homes != nil {
		h.homes[location] = best.id
	}
	return best.id
}
