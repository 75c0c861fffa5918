package admission_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	surgeSlots   = 16
	surgeSmall   = 4 // customers beside the large one, which has as much load as all of them
	surgeSeconds = 600
)

// job is one request of the surge session; customer 0 is the large one.
type job struct {
	at, service time.Duration
	customer    int
}

// ending is the end of a running job.
type ending struct {
	at  time.Duration
	job int
}

// surgeJobs draws each customer's arrivals from its own seed, so that the small customers
// send the same requests with and without the surge.
func surgeJobs(load, factor float64) []job {
	var jobs []job
	for c := range surgeSmall + 1 {
		random := rand.New(rand.NewPCG(11, uint64(c)))
		rate := load * surgeSlots / 2 / surgeSmall
		if c == 0 {
			rate = load * surgeSlots / 2 * factor
		}
		for at := 0.0; at < surgeSeconds; at += random.ExpFloat64() / rate {
			jobs = append(jobs, job{time.Duration(at * 1e9), time.Duration(random.ExpFloat64() * 1e9), c})
		}
	}
	slices.SortStableFunc(jobs, func(a, b job) int { return int(a.at - b.at) })
	return jobs
}

// surgeP95 runs jobs on one engine and returns each customer's p95 queue time. A refused
// request counts with the queue's time limit. FIFO is the same home with one customer name.
func surgeP95(jobs []job, config admission.Config, fifo bool) [surgeSmall + 1]time.Duration {
	home := admission.New(config)
	home.Adopt(0, admission.Engine{ID: "e", Pool: "p", Slots: surgeSlots, Capacity: 1}, false)
	var waits [surgeSmall + 1][]time.Duration
	var ends []ending
	settle := func(now time.Duration, d admission.Decision) {
		var i int
		_, _ = fmt.Sscan(string(d.Attempt), &i)
		switch d.Kind {
		case admission.Granted:
			end := ending{now + jobs[i].service, i}
			at, _ := slices.BinarySearchFunc(ends, end, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
			ends = slices.Insert(ends, at, end)
			waits[jobs[i].customer] = append(waits[jobs[i].customer], d.Waited)
		case admission.Refused:
			waits[jobs[i].customer] = append(waits[jobs[i].customer], 10*time.Second)
		}
	}
	release := func(until time.Duration) {
		for len(ends) > 0 && ends[0].at < until {
			end := ends[0]
			ends = ends[1:]
			home.Release(end.at, fleet.AttemptID(fmt.Sprint(end.job)), admission.Done)
			for _, d := range home.Decisions() {
				settle(end.at, d)
			}
		}
	}
	for i, j := range jobs {
		release(j.at)
		name, weight := fleet.CustomerID(fmt.Sprint(j.customer)), 1.0
		if fifo {
			name = "all"
		} else if j.customer == 0 {
			weight = surgeSmall
		}
		settle(j.at, home.Offer(j.at, admission.Request{Attempt: fleet.AttemptID(fmt.Sprint(i)), Engine: "e",
			Customer: name, Weight: weight, Arrival: j.at, MayQueue: true, LastChoice: true}))
		for _, d := range home.Decisions() {
			settle(j.at, d)
		}
		home.Tick(j.at)
	}
	var p95 [surgeSmall + 1]time.Duration
	for c := range waits {
		slices.Sort(waits[c])
		p95[c] = waits[c][len(waits[c])*95/100]
	}
	return p95
}

// Guards against a large customer whose surge to ten times its rate raises another customer's
// p95 queue time by more than 10%, which a FIFO queue does, and against a rule that reaches
// this by slowing everybody without a surge.
func TestSurgeSparesOtherCustomers(t *testing.T) {
	for _, load := range []float64{0.6, 0.85} {
		run := func(name string, config admission.Config, fifo bool) (calm, surge [surgeSmall + 1]time.Duration) {
			calm = surgeP95(surgeJobs(load, 1), config, fifo)
			surge = surgeP95(surgeJobs(load, 10), config, fifo)
			t.Logf("load %.2f %-7s p95 calm %v surge %v", load, name, calm, surge)
			return calm, surge
		}
		fifoCalm, fifoSurge := run("fifo", admission.Config{}, true)
		plainCalm, _ := run("plain", admission.Config{SurgeDeviations: -1}, false)
		calm, surge := run("default", admission.Config{}, false)
		for c := range calm {
			require.LessOrEqual(t, float64(calm[c]), 1.1*float64(plainCalm[c]))
			if c > 0 {
				require.LessOrEqual(t, float64(surge[c]), 1.1*float64(calm[c]))
				require.Greater(t, fifoSurge[c], 2*fifoCalm[c])
			}
		}
	}
}

// Guards against new chats that fill an engine up to its bound, so that its returning chats
// find no room: a cold request that may run elsewhere is admitted up to the mean load only.
func TestRoomAboveTheMeanIsKeptForWarmChats(t *testing.T) {
	home := admission.New(admission.Config{})
	home.Adopt(0, admission.Engine{ID: "e", Pool: "p", Slots: 100, Capacity: 1}, false)
	home.SetPool(0, "p", 90, 9)
	offer := func(n int, chat fleet.ChatKey, movable bool) admission.Decision {
		return home.Offer(0, admission.Request{Attempt: fleet.AttemptID(fmt.Sprint(n)), Engine: "e", Chat: chat, Movable: movable})
	}
	home.CacheEvent("e", admission.CacheEvent{Seq: 1, At: 1, Stored: []fleet.ChatKey{7}})
	// The eleventh is within ceil((90 + 10 + 1) / 10), the twelfth is not.
	for n := range 11 {
		require.Equal(t, admission.Granted, offer(n, fleet.ChatKey(100+n), true).Kind)
	}
	require.Equal(t, admission.Redirect, offer(20, 200, true).Kind)
	require.Equal(t, admission.Granted, offer(21, 7, true).Kind)
	require.Equal(t, admission.Granted, offer(22, 200, false).Kind)
}
