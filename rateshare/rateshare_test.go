package rateshare_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/rateshare"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func Example() {
	limit := rateshare.Limit{Rate: 100, Burst: 10}
	owner := rateshare.NewOwner(rateshare.Config{}, 1)
	owner.AddCustomer(0, "kiosk", limit)
	bucket := rateshare.NewBucket(rateshare.Config{}, limit, 7)
	now := 2 * time.Second
	fmt.Println(bucket.Take(now))
	ask, _ := bucket.DueAsk(now)
	batch, _ := owner.Request(now, "kiosk", ask.Want)
	fmt.Println(bucket.AddBatch(now, ask.ID, batch), bucket.Take(now))
	// Output:
	// false
	// true true
}

// flowMeter measures a flow of tokens: excess is the largest amount by which the sum over a window W
// that ends now exceeds rate*W.
type flowMeter struct {
	rate, excess float64
	at           time.Duration
}

func (m *flowMeter) add(now time.Duration, tokens int) float64 {
	m.excess = max(0, m.excess-m.rate*(now-m.at).Seconds()) + float64(tokens)
	m.at = now
	return m.excess
}

// Guards against owners that issue more than rate*W + burst in some window, alone or while an old
// owner is still active for one token lifetime beside a new one, also when batches are returned twice.
func TestHandedOutStaysWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rateshare.Limit{Rate: rapid.Float64Range(0.1, 200).Draw(t, "rate"), Burst: rapid.Float64Range(1, 50).Draw(t, "burst")}
		owners := []*rateshare.Owner{rateshare.NewOwner(rateshare.Config{}, 1), rateshare.NewOwner(rateshare.Config{}, 2)}
		owners[0].AddCustomer(0, "c", limit)
		both := flowMeter{rate: limit.Rate}
		change := time.Duration(rapid.IntRange(1, 10).Draw(t, "change")) * time.Second
		var now time.Duration
		batches := make([][]rateshare.Batch, 2)
		for range 100 {
			step := time.Duration(rapid.IntRange(0, 250).Draw(t, "ms")) * time.Millisecond
			if now < change && now+step >= change {
				owners[1].AddCustomer(change, "c", limit)
			}
			if now += step; now > change+time.Second {
				owners[0].RemoveCustomer("c")
			}
			which := rapid.IntRange(0, 1).Draw(t, "owner")
			if batch, ok := owners[which].Request(now, "c", rapid.IntRange(0, 60).Draw(t, "want")); ok {
				batches[which] = append(batches[which], batch)
				require.LessOrEqual(t, both.add(now, batch.Tokens), limit.Burst+limit.Rate/4+1e-6)
			}
			if n := len(batches[which]); n > 0 && rapid.Bool().Draw(t, "return") {
				batch := batches[which][rapid.IntRange(0, n-1).Draw(t, "which")]
				if owners[which].Return(now, "c", batch.ID, batch.Tokens) {
					both.add(now, -batch.Tokens)
					require.False(t, owners[which].Return(now, "c", batch.ID, batch.Tokens))
				}
			}
		}
	})
}

// outage offers 1.5 times the whole rate at each of n instances for 30 s without an owner. It
// returns the ratio of admitted to allowed requests for this package, and for local buckets that
// have the whole rate at each instance.
func outage(n int) (shared, local float64) {
	limit := rateshare.Limit{Rate: 20, Burst: 20}
	const seconds, gap = 30, time.Second / 30
	for range n {
		bucket, tokens := rateshare.NewBucket(rateshare.Config{}, limit, n), limit.Burst
		for now := time.Duration(0); now < seconds*time.Second; now += gap {
			if bucket.Take(now) {
				shared++
			}
			bucket.DueAsk(now)
			if tokens = min(limit.Burst, tokens+limit.Rate*gap.Seconds()); tokens >= 1 {
				tokens--
				local++
			}
		}
	}
	allowed := limit.Rate*seconds + limit.Burst
	return shared / allowed, local / allowed
}

// Guards against a fallback that admits more than the customer's rate over the fleet.
func TestOutageStaysWithinTheRate(t *testing.T) {
	for _, n := range []int{7, 490} {
		shared, local := outage(n)
		t.Logf("%d instances: admitted/limit %.3f, with full local buckets %.3f", n, shared, local)
		require.LessOrEqual(t, shared, 1.0)
		require.Greater(t, local, 0.9*float64(n))
	}
}

// Guards against requests that are too rare to start the fallback, because no ask is repeated
// between them, and against asks that overload the links during an outage.
func TestRareRequestsReachTheFallback(t *testing.T) {
	bucket, asks := rateshare.NewBucket(rateshare.Config{}, rateshare.Limit{Rate: 20, Burst: 20}, 490), 0
	require.False(t, bucket.Take(0))
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if _, ok := bucket.DueAsk(now); ok {
			asks++
		}
	}
	require.Less(t, asks, 13)
	require.True(t, bucket.Take(time.Minute))
	require.False(t, bucket.Take(time.Minute), "more than the share of one instance")
	bucket.OwnerChanged()
	ask, ok := bucket.DueAsk(time.Minute)
	require.True(t, ok)
	require.True(t, bucket.AddBatch(time.Minute, ask.ID, rateshare.Batch{Tokens: 1, Life: time.Second}))
	require.False(t, bucket.InFallback(time.Minute))
}

// Guards against tokens that no instance can use anymore, and against an owner that issues the share
// of instances that do not reach it.
func TestInstancesReachTheRate(t *testing.T) {
	limit := rateshare.Limit{Rate: 50, Burst: 50}
	for _, unreachable := range []int{0, 3} {
		owner, buckets, admitted := rateshare.NewOwner(rateshare.Config{}, 1), make([]*rateshare.Bucket, 6), 0
		owner.AddCustomer(0, "c", limit)
		owner.SetUnreachable(0, unreachable, len(buckets))
		for i := range buckets {
			buckets[i] = rateshare.NewBucket(rateshare.Config{}, limit, len(buckets))
		}
		for tick := range 6000 {
			now := time.Duration(tick) * 10 * time.Millisecond
			bucket := buckets[tick*5%(1+tick%6)]
			if bucket.Take(now) {
				admitted++
			}
			if ask, ok := bucket.DueAsk(now); ok {
				batch, _ := owner.Request(now, "c", ask.Want)
				bucket.AddBatch(now, ask.ID, batch)
			}
			for _, unused := range bucket.TakeSurplus(now) {
				owner.Return(now, "c", unused.ID, unused.Tokens)
			}
		}
		allowed := limit.Rate * 60 * float64(6-unreachable) / 6
		t.Logf("admitted %d of %.0f in 60 s with %d of 6 instances unreachable", admitted, allowed, unreachable)
		require.GreaterOrEqual(t, float64(admitted), 0.9*allowed)
		require.LessOrEqual(t, float64(admitted), allowed+limit.Burst)
	}
}

func BenchmarkTake(b *testing.B) {
	limit := rateshare.Limit{Rate: 1e6, Burst: 1e6}
	owner, bucket := rateshare.NewOwner(rateshare.Config{}, 1), rateshare.NewBucket(rateshare.Config{}, limit, 7)
	owner.AddCustomer(0, "c", limit)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 10 * time.Microsecond
		bucket.Take(now)
		if ask, ok := bucket.DueAsk(now); ok {
			batch, _ := owner.Request(now, fleet.CustomerID("c"), ask.Want)
			bucket.AddBatch(now, ask.ID, batch)
		}
	}
}
