package ratelimit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/ratelimit"
)

const engine = fleet.EngineID("e1")

func named(rate float64) ratelimit.Limit {
	return ratelimit.Limit{Engine: engine, Incarnation: 1, Rate: rate}
}

func instances(demand ...float64) []ratelimit.Instance {
	list := make([]ratelimit.Instance, len(demand))
	for i, d := range demand {
		list[i] = ratelimit.Instance{ID: fleet.InstanceID(fmt.Sprintf("i%d", i)), Demand: d}
	}
	return list
}

// Guards against shares that exceed the limit together, or that leave a part of it unused.
func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 200).Draw(t, "limit")
		all := instances(rapid.SliceOfN(rapid.Float64Range(-1, 50), 1, 490).Draw(t, "demand")...)
		sum := 0.0
		for _, i := range all {
			sum += ratelimit.Share(limit, i.ID, all)
		}
		require.InDelta(t, limit, sum, 1e-6*limit)
		if ratelimit.Divisible(limit, len(all)) {
			// Each share can save up a request: in 4 s an engine accepts half as much again and 5 requests more.
			require.LessOrEqual(t, 4*limit+float64(len(all)), 1.5*4*limit+5)
		}
		require.LessOrEqual(t, 4*limit+ratelimit.Burst(limit), 1.5*4*limit+5)
	})
}

// Guards against an instance with many requests that gets no more than one with few.
func TestSharesFollowDemand(t *testing.T) {
	all := instances(30, 10, 10, -1, 0)
	share := func(i int) float64 { return ratelimit.Share(10, all[i].ID, all) }
	require.Greater(t, share(0), 2*share(1))
	require.Greater(t, share(3), share(1), "unknown demand counts as the mean")
	require.Positive(t, share(4), "an instance that had no requests may get some")
}

// Guards against requests beyond the rate of a bucket.
func TestBucketKeepsItsRate(t *testing.T) {
	for _, rate := range []float64{0, 0.2, 3, 40} {
		b := ratelimit.NewBucket(0, rate, 1)
		taken := 0
		for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
			if b.Available(now) {
				b.Take(now)
				taken++
			}
		}
		require.LessOrEqual(t, float64(taken), 20*rate)
		require.GreaterOrEqual(t, float64(taken), 20*rate-2)
	}
	b := ratelimit.NewBucket(0, 3, 2)
	b.Available(time.Hour)
	taken := 0
	for ; b.Available(time.Hour); taken++ {
		b.Take(time.Hour)
	}
	require.Equal(t, 2, taken, "no more tokens are saved up")
	wait, ok := b.NextToken(time.Hour)
	require.True(t, ok)
	require.InDelta(t, time.Second.Seconds()/3, wait.Seconds(), 0.01)
}

// Guards against a limit that outlasts the engine's need, or that ends with a surge.
func TestBoundEndsGradually(t *testing.T) {
	b := ratelimit.NewTracker()
	changed, announce := b.Observe(0, named(4))
	require.True(t, changed && announce)
	changed, announce = b.Observe(time.Second, named(4))
	require.False(t, changed || announce, "nothing new")
	_, announce = b.Observe(20*time.Second, named(4.1))
	require.True(t, announce, "peers need a confirmation")
	b.Observe(21*time.Second, named(-1))
	previous := 4.1
	for now := 21 * time.Second; now < 22400*time.Millisecond; now += 100 * time.Millisecond {
		bound, ok := b.Bound(now, engine, 1)
		require.True(t, ok)
		require.True(t, bound.Ending)
		require.GreaterOrEqual(t, bound.Rate, previous-1e-9)
		require.LessOrEqual(t, bound.Rate, 4.1*math.Exp2((now-21*time.Second).Seconds()/0.3)+1e-9)
		previous = bound.Rate
	}
	_, ok := b.Bound(23*time.Second, engine, 1)
	require.False(t, ok)

	b.Observe(30*time.Second, named(2))
	_, ok = b.Bound(30*time.Second, engine, 2)
	require.False(t, ok, "another process of the engine")
	require.Empty(t, b.Expire(59*time.Second))
	require.Equal(t, []fleet.EngineID{engine}, b.Expire(60*time.Second))
}

// Guards against late news of a peer that replaces what is known since.
func TestLatestObservationWins(t *testing.T) {
	b := ratelimit.NewTracker()
	require.True(t, b.Merge(10*time.Second, named(4)))
	late := named(-1)
	late.Age = 2 * time.Second
	require.False(t, b.Merge(11*time.Second, late))
	require.Len(t, b.Limits(11*time.Second), 1)
	require.True(t, b.Merge(12*time.Second, named(-1)))
	require.Empty(t, b.Limits(12*time.Second))
	late.Rate = 4
	require.False(t, b.Merge(12500*time.Millisecond, late))
	require.Empty(t, b.Limits(13*time.Second))
	old := named(9)
	old.Age = time.Minute
	require.False(t, ratelimit.NewTracker().Merge(time.Hour, old))
}
