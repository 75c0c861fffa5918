package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
)

func pool(n int) *placement.Pool {
	p := placement.New(placement.Config{}, rand.New(rand.NewPCG(1, 2)))
	p.SetEngines(0, engines(n))
	return p
}

func engines(n int) []placement.Engine {
	list := make([]placement.Engine, n)
	for i := range list {
		list[i] = placement.Engine{ID: fleet.EngineID(fmt.Sprintf("e%d", i)), Addr: fmt.Sprintf("a%d", i), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%2)), Slots: 64}
	}
	return list
}

// taggedCounts returns counts as other instances announce them.
func taggedCounts(counts map[fleet.EngineID]int) map[fleet.EngineTag]int {
	tagged := make(map[fleet.EngineTag]int, len(counts))
	for id, n := range counts {
		tagged[fleet.TagOf(id)] = n
	}
	return tagged
}

func choose(t *testing.T, p *placement.Pool, now time.Duration, request placement.Request) placement.Choice {
	c, ok := p.Choose(now, request)
	require.True(t, ok)
	return c
}

func ExamplePool_Choose() {
	p := pool(3)
	first, _ := p.Choose(0, placement.Request{Key: 42})
	p.Started(first.Engine.ID)
	again, _ := p.Choose(0, placement.Request{Key: 42})
	fmt.Println(first.Engine.ID == again.Engine.ID, again.Reason)
	// Output: true warm
}

// Guards against prompts that move to another engine while the pool is nearly idle, and against an
// engine whose load exceeds the required limit of twice the mean plus three.
func TestNearlyIdlePoolKeepsItsCaches(t *testing.T) {
	const engineCount = 4
	p := pool(engineCount)
	request := placement.Request{Key: 7}
	preferred := choose(t, p, 0, request).Engine.ID
	stayed := 0
	for started := 0; ; started++ {
		c := choose(t, p, 0, request)
		if c.Engine.ID != preferred {
			break
		}
		require.LessOrEqual(t, float64(c.Load), 2*float64(started)/engineCount+3)
		p.Started(preferred)
		stayed++
	}
	require.GreaterOrEqual(t, stayed, 5)
}

// Guards against a surge in which every engine is full and all instances send their requests to the
// engine that was announced as least loaded: in a surge of ten times the usual traffic on 82
// instances, 12% of the requests reached engines with more than twice the mean load.
func TestFullPoolQueuesInOrderOfEachPrompt(t *testing.T) {
	const engineCount, slots = 10, 64
	p := pool(engineCount)
	others := map[fleet.EngineID]int{}
	for i := range engineCount {
		others[fleet.EngineID(fmt.Sprintf("e%d", i))] = slots + 8
	}
	others["e0"] = slots
	p.SetAnnouncedCounts(taggedCounts(others))

	chosen := map[fleet.EngineID]int{}
	for key := range uint64(300) {
		c := choose(t, p, 0, placement.Request{Key: key + 1})
		first := choose(t, pool(engineCount), 0, placement.Request{Key: key + 1})
		require.Equal(t, first.Engine.ID, c.Engine.ID, "the prompt's own engine is under the bound")
		chosen[c.Engine.ID]++
	}
	require.Len(t, chosen, engineCount)

	others["e3"] = 2 * slots
	p.SetAnnouncedCounts(taggedCounts(others))
	for key := range uint64(300) {
		require.NotEqual(t, fleet.EngineID("e3"), choose(t, p, 0, placement.Request{Key: key + 1}).Engine.ID, "over the bound")
	}
}

// Guards against two instances that send one conversation to different engines.
func TestInstancesAgreeOnWarmEngines(t *testing.T) {
	a, b := pool(9), pool(9)
	for key := range uint64(200) {
		require.Equal(t, choose(t, a, 0, placement.Request{Key: key + 1}).Engine.ID, choose(t, b, 0, placement.Request{Key: key + 1}).Engine.ID)
	}
}

// Guards against an engine that is loaded beyond the bound because one key gets many requests.
func TestWarmEngineOverflowsAtTheBound(t *testing.T) {
	p := pool(4)
	request := placement.Request{Key: 7}
	counts := map[fleet.EngineID]int{}
	for range 80 {
		c := choose(t, p, 0, request)
		p.Started(c.Engine.ID)
		counts[c.Engine.ID]++
	}
	mean := 20.0
	for id, n := range counts {
		require.LessOrEqual(t, float64(n), 1.5*mean+3, id)
	}
	// The overflow names the engine that has the cache.
	c := choose(t, p, 0, request)
	if c.Reason == placement.Overflow {
		require.NotEmpty(t, c.FetchFrom)
		require.NotEqual(t, c.Engine.Addr, c.FetchFrom)
	}
}

// Guards against a load bound that ignores requests of other instances or the engine's own report.
func TestLoadOfOthersCountsForTheBound(t *testing.T) {
	p := pool(4)
	first := choose(t, p, 0, placement.Request{Key: 7}).Engine.ID
	p.SetAnnouncedCounts(taggedCounts(map[fleet.EngineID]int{first: 10}))
	require.NotEqual(t, first, choose(t, p, 0, placement.Request{Key: 7}).Engine.ID)
	p.SetAnnouncedCounts(nil)
	require.Equal(t, first, choose(t, p, 0, placement.Request{Key: 7}).Engine.ID)
	p.RecordLoadReport(0, first, placement.Load{Running: 20, Slots: 64})
	require.NotEqual(t, first, choose(t, p, 100*time.Millisecond, placement.Request{Key: 7}).Engine.ID)
	require.Equal(t, first, choose(t, p, time.Second, placement.Request{Key: 7}).Engine.ID, "the report is old")
}

// Guards against instances that all send short requests to the engine that was announced as idle a
// second ago.
func TestStaleLoadOfOthersDoesNotAttractShortRequests(t *testing.T) {
	p := pool(4)
	p.SetAnnouncedCounts(taggedCounts(map[fleet.EngineID]int{"e0": 5, "e1": 5, "e2": 5}))
	counts := map[fleet.EngineID]int{}
	for range 400 {
		counts[choose(t, p, 0, placement.Request{DataCentre: "none"}).Engine.ID]++
	}
	for id, n := range counts {
		require.InDelta(t, 100, n, 40, id)
	}
	p.RecordLoadReport(0, "e3", placement.Load{Running: 4, Waiting: 2, Slots: 6})
	for range 50 {
		require.NotEqual(t, fleet.EngineID("e3"), choose(t, p, 0, placement.Request{DataCentre: "none"}).Engine.ID)
	}
}

// Guards against a request to an engine that has just joined which does not name the engine that
// cached the prompt.
func TestNewEngineFetchesFromTheFormerOne(t *testing.T) {
	p := pool(8)
	before := map[uint64]placement.Choice{}
	for key := range uint64(300) {
		before[key+1] = choose(t, p, 0, placement.Request{Key: key + 1})
		require.Empty(t, before[key+1].FetchFrom)
		p.Started(before[key+1].Engine.ID)
		p.Ended(before[key+1].Engine.ID)
	}
	p.SetEngines(time.Second, engines(9))
	moved := 0
	for key, old := range before {
		c := choose(t, p, 2*time.Second, placement.Request{Key: key})
		if c.Engine.ID == "e8" {
			moved++
			require.Equal(t, old.Engine.Addr, c.FetchFrom)
			continue
		}
		require.Equal(t, old.Engine.ID, c.Engine.ID, "only the new engine's keys move")
		require.Empty(t, c.FetchFrom)
	}
	require.InDelta(t, 300/9, moved, 20)
	for key := range before {
		require.Empty(t, choose(t, p, time.Minute, placement.Request{Key: key}).FetchFrom)
	}
}

// Guards against a prompt that is read again although this instance knows which engine has cached it.
func TestFetchesFromTheEngineThatReadThePrompt(t *testing.T) {
	p := pool(4)
	first := choose(t, p, 0, placement.Request{Key: 7}).Engine
	second := choose(t, p, 0, placement.Request{Key: 7, Exclude: []fleet.EngineID{first.ID}})
	require.Equal(t, first.Addr, second.FetchFrom)
	p.RecordPromptRead(0, second.Engine.ID, 7)
	require.Empty(t, choose(t, p, 0, placement.Request{Key: 7, Exclude: []fleet.EngineID{first.ID}}).FetchFrom)
	require.Equal(t, second.Engine.Addr, choose(t, p, time.Second, placement.Request{Key: 7}).FetchFrom)
	p.RecordPromptRead(time.Second, first.ID, 7)
	require.Empty(t, choose(t, p, time.Second, placement.Request{Key: 7}).FetchFrom)
	// The record of an engine that read the prompt long ago has expired.
	p.RecordPromptRead(time.Second, second.Engine.ID, 7)
	p.RecordPromptRead(20*time.Second, first.ID, 8)
	p.RecordPromptRead(40*time.Second, first.ID, 8)
	require.Empty(t, choose(t, p, 40*time.Second, placement.Request{Key: 7}).FetchFrom)
	// An engine that has left can't be fetched from.
	p.RecordPromptRead(40*time.Second, second.Engine.ID, 7)
	p.SetEngines(40*time.Second, slices.DeleteFunc(engines(4), func(e placement.Engine) bool { return e.ID == second.Engine.ID }))
	require.Empty(t, choose(t, p, 40*time.Second, placement.Request{Key: 7}).FetchFrom)
}

// Guards against prompts of a draining engine that are read again although its cache could be copied.
func TestDrainingEngineGivesItsCache(t *testing.T) {
	p := pool(4)
	first := choose(t, p, 0, placement.Request{Key: 7}).Engine
	p.Started(first.ID)
	list := engines(4)
	for i := range list {
		list[i].Draining = list[i].ID == first.ID
	}
	p.SetEngines(time.Second, list)
	c := choose(t, p, time.Second, placement.Request{Key: 7})
	require.NotEqual(t, first.ID, c.Engine.ID)
	require.Equal(t, first.Addr, c.FetchFrom)
	require.Equal(t, 3, p.Len())
}

// Guards against requests without a key that all go to one engine, or to another data centre while
// a local engine is idle.
func TestLeastLoadedPrefersLocalEngines(t *testing.T) {
	p := pool(4)
	request := placement.Request{DataCentre: "dc0"}
	require.Equal(t, fleet.DataCentre("dc0"), choose(t, p, 0, request).Engine.DataCentre)
	counts := map[fleet.EngineID]int{}
	for range 40 {
		c := choose(t, p, 0, request)
		p.Started(c.Engine.ID)
		counts[c.Engine.ID]++
	}
	for id, n := range counts {
		require.InDelta(t, 10, n, 2, id)
	}
}

// Guards against an engine that can't be reached and still gets requests, and against one that never
// gets requests again.
func TestUnreachableEngineIsPausedForAWhile(t *testing.T) {
	p := pool(2)
	for range 3 {
		p.Failed(0, "e0", placement.Unreachable, 0)
	}
	require.True(t, p.Paused(0, "e0"))
	for range 10 {
		require.Equal(t, fleet.EngineID("e1"), choose(t, p, 0, placement.Request{DataCentre: "dc0"}).Engine.ID)
	}
	later := 5 * time.Second
	require.Equal(t, fleet.EngineID("e0"), choose(t, p, later, placement.Request{DataCentre: "dc0"}).Engine.ID)
	// A request that can't be sent twice isn't the first one after a pause.
	require.Equal(t, fleet.EngineID("e1"), choose(t, p, later, placement.Request{DataCentre: "dc0", AvoidRecentlyPaused: true}).Engine.ID)
	p.Succeeded(later, "e0", 0, 0)
	require.Equal(t, fleet.EngineID("e0"), choose(t, p, later, placement.Request{DataCentre: "dc0", AvoidRecentlyPaused: true}).Engine.ID)
}

// Guards against an engine that keeps getting requests although it fails many of them, and against
// pausing an engine for a failure rate that is usual at all engines.
func TestFailingEngineStandsOut(t *testing.T) {
	p := pool(4)
	now := time.Duration(0)
	for i := range 40 {
		now += 50 * time.Millisecond
		if i%2 == 0 {
			p.Failed(now, "e0", placement.Errored, 0.02)
		} else {
			p.Succeeded(now, "e0", 0, 0)
		}
	}
	require.True(t, p.Paused(now, "e0"))
	for i := range 40 {
		now += 50 * time.Millisecond
		if i%7 == 0 {
			p.Failed(now, "e1", placement.Errored, 0.14)
		} else {
			p.Succeeded(now, "e1", 0, 0)
		}
	}
	require.False(t, p.Paused(now, "e1"))
}

// Guards against pausing a whole pool because a fault outside the engines makes all of them fail.
func TestAtMostHalfOfAPoolIsPausedForFailures(t *testing.T) {
	p := pool(4)
	for range 20 {
		for _, e := range engines(4) {
			p.Failed(time.Second, e.ID, placement.ConnectionLost, 0)
		}
	}
	paused := 0
	for _, e := range engines(4) {
		if p.Paused(time.Second, e.ID) {
			paused++
		}
	}
	require.LessOrEqual(t, paused, 2)
}

// Guards against rejecting a request while a paused engine could still be tried.
func TestLastResort(t *testing.T) {
	p := pool(2)
	p.Failed(0, "e0", placement.Unreachable, 0)
	p.Failed(10*time.Millisecond, "e1", placement.Unreachable, 0)
	c := choose(t, p, 20*time.Millisecond, placement.Request{})
	require.Equal(t, placement.LastResort, c.Reason)
	require.Equal(t, fleet.EngineID("e0"), c.Engine.ID)
	_, ok := p.Choose(0, placement.Request{Exclude: []fleet.EngineID{"e0", "e1"}})
	require.False(t, ok)
	_, ok = pool(0).Choose(0, placement.Request{Key: 1})
	require.False(t, ok)
}

// Guards against a slow engine that gets as many requests as the others.
func TestSlowEngineGetsLess(t *testing.T) {
	p := pool(4)
	for range 20 {
		p.Succeeded(0, "e0", 100*time.Millisecond, 20*time.Millisecond)
		for _, id := range []fleet.EngineID{"e1", "e2", "e3"} {
			p.Succeeded(0, id, 20*time.Millisecond, 20*time.Millisecond)
		}
	}
	counts := map[fleet.EngineID]int{}
	for range 60 {
		c := choose(t, p, 0, placement.Request{})
		p.Started(c.Engine.ID)
		counts[c.Engine.ID]++
	}
	require.Less(t, counts["e0"], 10)
}

// Guards against a key's order that changes when more of it is computed.
func TestOverflowFollowsTheOrderOfThePrompt(t *testing.T) {
	const engineCount = 200
	candidates := make([]affinity.Candidate, engineCount)
	for i := range candidates {
		candidates[i] = affinity.Candidate{ID: fmt.Sprintf("e%d", i), Weight: 1}
	}
	for key := uint64(1); key <= 20; key++ {
		order := affinity.Rank(key, candidates)
		for _, loaded := range []int{0, 1, 7, 8, 9, 63, 64, 65, 150, 199} {
			p := pool(engineCount)
			others := map[fleet.EngineID]int{}
			for _, i := range order[:loaded] {
				others[fleet.EngineID(candidates[i].ID)] = 64
			}
			p.SetAnnouncedCounts(taggedCounts(others))
			require.Equal(t, fleet.EngineID(candidates[order[loaded]].ID), choose(t, p, 0, placement.Request{Key: key}).Engine.ID)
		}
	}
}

// Guards against a choice whose cost grows with the square of the pool's size.
func BenchmarkChooseAmong3000Engines(b *testing.B) {
	p := pool(3000)
	b.ReportAllocs()
	for i := range b.N {
		if _, ok := p.Choose(0, placement.Request{Key: uint64(i) + 1}); !ok {
			b.Fatal("no engine")
		}
	}
}
