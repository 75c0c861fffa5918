package affinity_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// Property tests run with a fixed seed unless the command line sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

func ExampleHomeOf() {
	live := []affinity.Instance{{"n1", "east"}, {"n2", "west"}}
	fmt.Println(affinity.HomeOf("engine-1", "west", live), affinity.HomeOf("engine-1", "west", live[:1]))
	// Output: n2 n1
}

// Guards against a cache that returns homes of an earlier set of live instances, and against a home
// outside the engine's data centre.
func TestHomeCacheFollowsLiveSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cache affinity.HomeCache
		for range 4 {
			var live []affinity.Instance
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 8, rapid.ID[int]).Draw(t, "live") {
				live = append(live, affinity.Instance{
					ID: fleet.InstanceID(fmt.Sprint(n)), DataCentre: fleet.DataCentre(fmt.Sprint(n % 3))})
			}
			cache.Update(live)
			require.False(t, cache.Update(live))
			require.Equal(t, affinity.HomeOf("e", "1", live), cache.Home("e", "1"))
			require.Equal(t, affinity.HomeOf("e", "1", live), cache.Home("e", "1"))
		}
	})
}

// Guards against a top-K selection that differs from the full ranking.
func TestTopIsPrefixOfRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := candidates(rapid.IntRange(0, 200).Draw(t, "engines"))
		for i := range pool {
			pool[i].Weight = rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 1, 3}).Draw(t, "weight")
		}
		key, k := rapid.Uint64().Draw(t, "key"), rapid.OneOf(rapid.IntRange(0, 9), rapid.IntRange(0, 220)).Draw(t, "k")
		want := affinity.Rank(key, pool)
		require.Len(t, want, len(pool))
		for i := 1; i < len(want); i++ {
			above, below := pool[want[i-1]], pool[want[i]]
			high, low := affinity.Score(key, affinity.Seed(above.ID), above.Weight), affinity.Score(key, affinity.Seed(below.ID), below.Weight)
			require.True(t, high > low || high == low && above.ID < below.ID)
		}
		got := affinity.NewPool(pool).Top(key, k, nil)
		require.Len(t, got, min(k, len(pool)))
		for i, choice := range got {
			require.Equal(t, want[i], choice.Index)
		}
	})
}

func BenchmarkTop(b *testing.B) {
	for _, n := range []int{10, 20, 500, 1600} {
		list := candidates(n)
		pool := affinity.NewPool(list)
		dst := make([]affinity.Choice, 0, 4)
		b.Run(fmt.Sprintf("top4/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				dst = pool.Top(uint64(i), 4, dst)
			}
		})
		b.Run(fmt.Sprintf("rank/%d", n), func(b *testing.B) {
			for i := range b.N {
				affinity.Rank(uint64(i), list)
			}
		})
	}
}

// BenchmarkHome looks up the homes of n engines among 490 instances of 13 data centres.
func BenchmarkHome(b *testing.B) {
	var live []affinity.Instance
	for i := range 490 {
		live = append(live, affinity.Instance{ID: fleet.InstanceID(fmt.Sprint("n", i)), DataCentre: fleet.DataCentre(fmt.Sprint(i % 13))})
	}
	for _, n := range []int{10, 20, 500, 1600} {
		list := candidates(n)
		b.Run(fmt.Sprintf("direct/%d", n), func(b *testing.B) {
			for i := range b.N {
				affinity.HomeOf(fleet.EngineID(list[i%n].ID), "7", live)
			}
		})
		b.Run(fmt.Sprintf("cached/%d", n), func(b *testing.B) {
			var cache affinity.HomeCache
			cache.Update(live)
			for i := range b.N {
				cache.Home(fleet.EngineID(list[i%n].ID), "7")
			}
		})
	}
}
