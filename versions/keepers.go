package versions

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// Partitions is the number of parts into which the origins of streams are divided. Each has its own keepers, so that
	// the number of instances that write origins to the store does not grow with the fleet.
	Partitions = 8
	// Copies is the number of instances that keep the origins of a partition.
	Copies = 2
	// Asked is the number of instances that are asked for an origin: one that has started since, or a dead one whose link
	// is still open, may precede those that keep it.
	Asked = 3
)

// Partition is a part of the origins of streams, from 0 to Partitions-1.
type Partition uint8

// PartitionOf returns the partition of a stream.
func PartitionOf(key StreamKey) Partition { return Partition(key % Partitions) }

// instancesPerCandidate and minCandidates determine how many instances may be keepers: few in a small fleet, because each
// one makes writes of its own.
const (
	instancesPerCandidate = 32
	minCandidates         = 2
)

// Keepers returns the first n instances in the order of a partition's keepers. It is the same at every instance that
// knows the same instances. The first keeper also writes the origins to the store.
func Keepers(p Partition, instances []fleet.InstanceID, n int) []fleet.InstanceID {
	candidates := ranked(fleet.Hash("origins"), instances)
	first := min(max(len(instances)/instancesPerCandidate, minCandidates), len(candidates))
	keepers := append(ranked(fleet.Hash("origins", strconv.Itoa(int(p))), candidates[:first]), candidates[first:]...)
	return keepers[:min(n, len(keepers))]
}

// ranked returns instances in their rendezvous order for a key.
func ranked(key uint64, instances []fleet.InstanceID) []fleet.InstanceID {
	scores := make(map[fleet.InstanceID]float64, len(instances))
	for _, id := range instances {
		scores[id] = affinity.Score(key, affinity.Seed(string(id)), 1)
	}
	list := slices.Clone(instances)
	slices.SortFunc(list, func(a, b fleet.InstanceID) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return list
}
