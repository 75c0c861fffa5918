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
	surgeSlots          = 16
	surgeSmallCustomers = 4 // besides the large one, which has as much load as all of them
	surgeSeconds        = 600
)

// job is one request of the surge session; customer 0 is the large one.
type job struct {
	at, service time.Duration
	customer    int
}

// completion is the end of a running job.
type completion struct {
	at  time.Duration
	job int
}

// surgeJobs draws each customer's arrivals from its own seed, so that the small customers
// send the same requests with and without the surge.
func surgeJobs(load, factor float64) []job {
	var jobs []job
	for c := range surgeSmallCustomers + 1 {
		random := rand.New(rand.NewPCG(11, uint64(c)))
		rate := load * surgeSlots / 2 / surgeSmallCustomers
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

// surgeP95 runs jobs on one engine and returns each customer's p95 queue time. A refused request
// counts as the queue's time limit of 10 s. With fifo set, all requests have the same customer,
// so that the queue is first in, first out.
func surgeP95(jobs []job, config admission.Config, fifo bool) [surgeSmallCustomers + 1]time.Duration {
	home := admission.New(config)
	home.Adopt(0, admission.Engine{ID: "e", Pool: "p", Slots: surgeSlots, Capacity: 1}, false)
	var waits [surgeSmallCustomers + 1][]time.Duration
	var ends []completion
	record := func(now time.Duration, d admission.Decision) {
		var i int
		_, _ = fmt.Sscan(string(d.Attempt), &i)
		switch d.Kind {
		case admission.Granted:
			end := completion{now + jobs[i].service, i}
			at, _ := slices.BinarySearchFunc(ends, end, func(a, b completion) int { return cmp.Compare(a.at, b.at) })
			ends = slices.Insert(ends, at, end)
			waits[jobs[i].customer] = append(waits[jobs[i].customer], d.Waited)
		case admission.Refused:
			waits[jobs[i].customer] = append(waits[jobs[i].customer], 10*time.Second)
		}
	}
	releaseUntil := func(until time.Duration) {
		for len(ends) > 0 && ends[0].at < until {
			end := ends[0]
			ends = ends[1:]
			home.Release(end.at, fleet.AttemptID(fmt.Sprint(end.job)), admission.Done)
			for _, d := range home.Decisions() {
				record(end.at, d)
			}
		}
	}
	for i, j := range jobs {
		releaseUntil(j.at)
		name, weight := fleet.CustomerID(fmt.Sprint(j.customer)), 1.0
		if fifo {
			name = "all"
		} else if j.customer == 0 {
			weight = surgeSmallCustomers
		}
		record(j.at, home.Offer(j.at, admission.Request{Attempt: fleet.AttemptID(fmt.Sprint(i)), Engine: "e",
			Customer: name, Weight: weight, Arrival: j.at, MayQueue: true, NoRedirect: true}))
		for _, d := range home.Decisions() {
			record(j.at, d)
		}
		home.Tick(j.at)
	}
	var p95 [surgeSmallCustomers + 1]time.Duration
	for c := range waits {
		slices.Sort(waits[c])
		p95[c] = waits[c][len(waits[c])*95/100]
	}
	return p95
}

// Guards against a large customer whose surge to ten times its rate raises another customer's p95
// queue time by more than 10%, as it does with a FIFO queue. Also guards against surge handling
// that raises any customer's p95 queue time by more than 10% when there is no surge.
func TestSurgeSparesOtherCustomers(t *testing.T) {
	for _, load := range []float64{0.6, 0.85} {
		run := func(name string, config admission.Config, fifo bool) (baseline, surge [surgeSmallCustomers + 1]time.Duration) {
			baseline = surgeP95(surgeJobs(load, 1), config, fifo)
			surge = surgeP95(surgeJobs(load, 10), config, fifo)
			t.Logf("load %.2f %-7s p95 baseline %v surge %v", load, name, baseline, surge)
			return baseline, surge
		}
		fifoBaseline, fifoSurge := run("fifo", admission.Config{}, true)
		plainBaseline, _ := run("plain", admission.Config{SurgeDeviations: -1}, false)
		baseline, surge := run("default", admission.Config{}, false)
		for c := range baseline {
			require.LessOrEqual(t, float64(baseline[c]), 1.1*float64(plainBaseline[c]))
			if c > 0 {
				require.LessOrEqual(t, float64(surge[c]), 1.1*float64(baseline[c]))
				require.Greater(t, fifoSurge[c], 2*fifoBaseline[c])
			}
		}
	}
}

// Guards against new chats that fill an engine up to its bound and leave no room for chats that are
// cached there: a request of an uncached chat that can run elsewhere is admitted up to the mean load
// only.
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
