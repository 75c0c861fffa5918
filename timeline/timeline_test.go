package timeline_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/timeline"
)

// The seed of the property tests is fixed; the flag -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

func Example() {
	var entry, home timeline.Clock
	entryRing, homeRing := timeline.NewRing(16), timeline.NewRing(16)
	// The home's wall clock is 5 s behind the entry's.
	asked := entryRing.Add(timeline.Event{Instance: "entry", Kind: "admit.asked", Request: "r1", HLC: entry.Now(1_800_000_005_000)})
	cause := asked.Ref()
	granted := home.Observe(asked.HLC, 1_800_000_000_001)
	homeRing.Add(timeline.Event{Instance: "home", Kind: "admit.granted", Request: "r1", HLC: granted, Cause: &cause})
	a, _ := homeRing.After(0, 10)
	b, _ := entryRing.After(0, 10)
	_ = timeline.WriteText(os.Stdout, timeline.Merge([][]timeline.Event{a, b}))
	// Output:
	// 2027-01-15T08:00:05.000Z entry        admit.asked          request=r1
	// 2027-01-15T08:00:05.000Z home         admit.granted        request=r1 cause=entry/1
}

// simulatedInstance is an instance with a skewed wall clock.
type simulatedInstance struct {
	id     string
	skew   int64
	clock  timeline.Clock
	events *timeline.Ring
}

func (p *simulatedInstance) add(wall int64, kind string, remote *timeline.Event) timeline.Event {
	e := timeline.Event{Instance: fleet.InstanceID(p.id), Incarnation: 1 << 60, Kind: timeline.Kind(kind), WallUnixMilli: wall + p.skew}
	if remote == nil {
		e.HLC = p.clock.Now(wall + p.skew)
		return p.events.Add(e)
	}
	cause := remote.Ref()
	e.Cause, e.HLC = &cause, p.clock.Observe(remote.HLC, wall+p.skew)
	return p.events.Add(e)
}

// simulateSession returns the events of instances that send messages to each other.
func simulateSession(random func(n int) int, instances, steps int) [][]timeline.Event {
	var all []*simulatedInstance
	for i := range instances {
		skew := int64(random(400_000) - 200_000) // up to 200 s, beyond MaxAhead
		all = append(all, &simulatedInstance{id: fmt.Sprintf("i%d", i), skew: skew, events: timeline.NewRing(0)})
	}
	for step := range int64(steps) {
		wall := 1_800_000_000_000 + step*7
		sent := all[random(instances)].add(wall, "sent", nil)
		all[random(instances)].add(wall+1, "received", &sent)
	}
	var lists [][]timeline.Event
	for _, p := range all {
		list, _ := p.events.After(0, 1<<20)
		lists = append(lists, list)
	}
	return lists
}

// requireOrder checks that events come after their causes and in order of their incarnation's
// sequence.
func requireOrder(t require.TestingT, merged []timeline.Event) {
	position := map[timeline.Ref]int{}
	last := map[fleet.InstanceID]uint64{}
	for i, e := range merged {
		position[e.Ref()] = i
		require.Greater(t, e.Sequence, last[e.Instance])
		last[e.Instance] = e.Sequence
	}
	for i, e := range merged {
		if e.Cause == nil {
			continue
		}
		if at, known := position[*e.Cause]; known {
			require.Less(t, at, i)
		}
	}
}

// Guards against events placed before their causes under a clock skew above MaxAhead, and against
// an order that depends on the order of the lists, on duplicates or on missing causes.
func TestMergeRespectsCauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") }
		lists := simulateSession(random, 4, 40)
		lostCount := random(len(lists[0]) + 1)
		lists[0] = lists[0][lostCount:]
		merged := timeline.Merge(lists)
		requireOrder(t, merged)
		shuffled := [][]timeline.Event{lists[2], lists[1], lists[3], lists[0], lists[1]}
		require.Equal(t, merged, timeline.Merge(shuffled))
	})
}

// Guards against lost events or an endless loop when faulty causes form a cycle.
func TestMergeSurvivesCycles(t *testing.T) {
	ref := func(instance string, sequence uint64) *timeline.Ref {
		return &timeline.Ref{Instance: fleet.InstanceID(instance), Sequence: sequence}
	}
	lists := [][]timeline.Event{
		{{Instance: "a", Sequence: 1, HLC: 5, Cause: ref("b", 2)}, {Instance: "a", Sequence: 2, HLC: 6, Cause: ref("a", 2)}},
		{{Instance: "b", Sequence: 1, HLC: 7, Cause: ref("a", 2)}, {Instance: "b", Sequence: 2, HLC: 1}},
	}
	var order []timeline.Ref
	for _, e := range timeline.Merge(lists) {
		order = append(order, e.Ref())
	}
	require.Equal(t, []timeline.Ref{*ref("a", 1), *ref("a", 2), *ref("b", 1), *ref("b", 2)}, order)
}

// Guards against stamps that repeat, decrease, or follow a clock far in the future.
func TestClock(t *testing.T) {
	var c timeline.Clock
	first := c.Now(1000)
	require.Greater(t, c.Now(1000), first)
	require.Greater(t, c.Now(10), first)
	ahead := timeline.HLC(50_000 << 16)
	require.Equal(t, ahead+1, c.Observe(ahead, 1000))
	far := timeline.HLC(1 << 60)
	require.Equal(t, ahead+2, c.Observe(far, 1000))
	require.Equal(t, int64(60_000), c.Now(60_000).UnixMilli())
}

// Guards against wrong events or counts around the point where the ring wraps around.
func TestRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, added := rapid.IntRange(1, 9).Draw(t, "capacity"), rapid.IntRange(0, 30).Draw(t, "added")
		after, limit := rapid.IntRange(0, 35).Draw(t, "after"), rapid.IntRange(0, 12).Draw(t, "limit")
		ring := timeline.NewRing(capacity)
		for range added {
			ring.Add(timeline.Event{})
		}
		events, dropped := ring.After(uint64(after), limit)
		oldest := max(0, added-capacity)
		require.EqualValues(t, max(0, oldest-after), dropped)
		require.Len(t, events, min(limit, max(0, added-max(after, oldest))))
		for i, e := range events {
			require.EqualValues(t, max(after, oldest)+i+1, e.Sequence)
		}
	})
}

var hostileStrings = []string{"</script><script>alert(1)</script>", "\"};alert(1)//", "\u2028\x1b[31m", "<img src=x onerror=alert(1)>", "{{.}}", "a b=c\nd"}

// Guards against values that are interpreted as markup, script or terminal control codes, and
// against pages that load anything.
func TestHostileStrings(t *testing.T) {
	var events []timeline.Event
	for _, s := range hostileStrings {
		events = append(events, timeline.Event{Instance: fleet.InstanceID(s), Kind: timeline.Kind(s), Request: s, Detail: map[string]string{s: s}})
	}
	var page, text bytes.Buffer
	require.NoError(t, timeline.WriteHTML(&page, events))
	require.Equal(t, 1, bytes.Count(page.Bytes(), []byte("</script>")))
	require.NotContains(t, page.String(), "<img")
	var emptyPage bytes.Buffer
	require.NoError(t, timeline.WriteHTML(&emptyPage, nil))
	require.NotRegexp(t, `(src|href)=|url\(|@import|https?://[^w]`, emptyPage.String())
	require.Contains(t, emptyPage.String(), "default-src 'none'")
	data := regexp.MustCompile(`(?m)^const events = (.*);$`).FindSubmatch(page.Bytes())
	var decoded []timeline.Event
	require.NoError(t, json.Unmarshal(data[1], &decoded))
	require.Equal(t, events, decoded)
	require.NoError(t, timeline.WriteText(&text, events))
	require.Equal(t, len(events), bytes.Count(text.Bytes(), []byte("\n")))
	require.NotContains(t, text.String(), "\x1b")
}

// Guards against filters that ignore one of their fields.
func TestFilter(t *testing.T) {
	e := timeline.Event{Instance: "i", Kind: "k", Request: "r", Attempt: "a", Chat: 1, Engine: "e", Customer: "c"}
	other := timeline.Event{Instance: "j", Kind: "l", Request: "s", Attempt: "b", Chat: 2, Engine: "f", Customer: "d"}
	filters := []timeline.Filter{{Instance: "i"}, {Kind: "k"}, {Request: "r"}, {Attempt: "a"}, {Chat: 1}, {Engine: "e"}, {Customer: "c"}}
	for _, f := range filters {
		require.Equal(t, []timeline.Event{e}, f.Select([]timeline.Event{other, e}))
	}
	require.Len(t, timeline.Filter{}.Select([]timeline.Event{other, e}), 2)
}

// BenchmarkMerge merges the full rings of 7 instances.
func BenchmarkMerge(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	lists := simulateSession(random.IntN, 7, 7*timeline.DefaultCapacity/2)
	for b.Loop() {
		timeline.Merge(lists)
	}
}
