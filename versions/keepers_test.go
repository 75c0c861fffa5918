package versions

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
)

func drawInstances(t *rapid.T) []fleet.InstanceID {
	numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 5000), 1, 150, rapid.ID[int]).Draw(t, "instances")
	var list []fleet.InstanceID
	for _, n := range numbers {
		list = append(list, fleet.InstanceID(fmt.Sprintf("gw-%d", n)))
	}
	return list
}

// Guards against origins that are kept where nobody asks for them: instances that list the fleet in another order, or
// don't know of one that is no keeper, must name the same keepers.
func TestInstancesAgreeOnTheKeepers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := drawInstances(t)
		p := Partition(rapid.IntRange(0, Partitions-1).Draw(t, "partition"))
		asked := Keepers(p, instances, Asked)
		require.Len(t, asked, min(Asked, len(instances)))
		require.Equal(t, asked[:min(Copies, len(asked))], Keepers(p, instances, Copies))
		require.Equal(t, asked, Keepers(p, rapid.Permutation(instances).Draw(t, "order"), Asked))
		left := rapid.IntRange(0, len(instances)-1).Draw(t, "left")
		fewer := slices.Delete(slices.Clone(instances), left, left+1)
		before, after := Keepers(p, instances, Copies), Keepers(p, fewer, Copies)
		if len(fewer) > 0 && len(before) > 1 {
			kept := slices.DeleteFunc(slices.Clone(before), func(id fleet.InstanceID) bool { return id == instances[left] })
			require.True(t, slices.ContainsFunc(Keepers(p, fewer, Asked), func(id fleet.InstanceID) bool { return slices.Contains(kept, id) }),
				"none of %v is asked after %s has left", kept, instances[left])
		}
		if len(instances) <= instancesPerCandidate*minCandidates && !slices.Contains(before, instances[left]) {
			require.Equal(t, before, after)
		}
	})
}

// Guards against a small fleet in which every instance writes origins to the store, and against a large one in which a
// few write all of them.
func TestWritersGrowWithTheFleet(t *testing.T) {
	for fleetSize, most := range map[int]int{1: 1, 3: 2, 31: 2, 47: 2, 64: 4, 600: Partitions} {
		var instances []fleet.InstanceID
		for i := range fleetSize {
			instances = append(instances, fleet.InstanceID(fmt.Sprintf("gw-%d", i)))
		}
		writers := map[fleet.InstanceID]bool{}
		for p := range Partition(Partitions) {
			writers[Keepers(p, instances, 1)[0]] = true
		}
		require.LessOrEqual(t, len(writers), most, "%d instances", fleetSize)
		require.GreaterOrEqual(t, len(writers), min(most, 2), "%d instances", fleetSize)
	}
}
