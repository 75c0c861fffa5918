package membership_test

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/membership"
)

var update = flag.Bool("update", false, "rewrite golden files")

// The seed of the property tests is fixed; the flag -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

func instance(id, region string) membership.Instance {
	return membership.Instance{ID: fleet.InstanceID(id), Region: fleet.Region(region)}
}

func ids(list []membership.Instance) string {
	var names []string
	for _, i := range list {
		names = append(names, string(i.ID))
	}
	return strings.Join(names, ",")
}

func ExampleView() {
	view := membership.New(instance("a", "west"), 1, membership.Config{})
	show := func(changes []membership.Change) {
		for _, c := range changes {
			fmt.Println(c.Kind, c.Instance, c.Incarnation)
		}
	}
	show(view.HandleHeartbeat(0, membership.Heartbeat{Instance: instance("b", "west"), Incarnation: 7}))
	for now := range 5 {
		show(view.Tick(time.Duration(now) * time.Second))
	}
	fmt.Println(len(view.HomeCandidates("west")))
	// Output:
	// joined b 7
	// silent b 7
	// gone b 7
	// 1
}

func seconds(t *testing.T, word string) time.Duration {
	n, err := strconv.Atoi(word)
	require.NoError(t, err)
	return time.Duration(n) * time.Second
}

func runLine(t *testing.T, view *membership.View, words []string) []membership.Change {
	now, args := seconds(t, words[1]), words[2:]
	switch words[0] {
	case "list":
		return view.List(now, rows(args))
	case "beat":
		incarnation, err := strconv.ParseUint(args[1], 10, 64)
		require.NoError(t, err)
		return view.HandleHeartbeat(now, membership.Heartbeat{Instance: instance(args[0], "west"), Incarnation: incarnation, Draining: len(args) > 2})
	case "draining":
		return view.SetDraining(now, args[0] == "true")
	case "expect":
		view.SetLinked(now, []fleet.InstanceID{fleet.InstanceID(args[0])})
		return nil
	}
	require.Equal(t, "tick", words[0])
	var changes []membership.Change
	for at := now; at <= seconds(t, args[0]); at += time.Second {
		changes = append(changes, view.Tick(at)...)
	}
	return changes
}

func rows(words []string) []membership.Row {
	var list []membership.Row
	for _, word := range words {
		part := strings.Split(word, ":")
		list = append(list, membership.Row{Instance: instance(part[0], part[1]), Leaving: len(part) > 2})
	}
	return list
}

// Guards against unintended changes of the view's behaviour over a recorded session.
func TestSession(t *testing.T) {
	script, err := os.ReadFile("testdata/session.txt")
	require.NoError(t, err)
	view := membership.New(instance("b", "west"), 20, membership.Config{})
	var out bytes.Buffer
	for lines := bufio.NewScanner(bytes.NewReader(script)); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		fmt.Fprintln(&out, lines.Text())
		for _, c := range runLine(t, view, strings.Fields(lines.Text())) {
			fmt.Fprintf(&out, "  %s %s %d\n", c.Kind, c.Instance, c.Incarnation)
		}
		fmt.Fprintf(&out, "  epoch %d live %s homes %s east %s\n", view.Epoch(),
			ids(view.Live("west")), ids(view.HomeCandidates("west")), ids(view.Live("east")))
	}
	if *update {
		require.NoError(t, os.WriteFile("testdata/session.golden", out.Bytes(), 0o644))
	}
	want, err := os.ReadFile("testdata/session.golden")
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
}

// Guards against dropping an instance that sends heartbeats because the platform's list is delayed,
// unstable or wrong.
func TestHeardInstanceIsNeverGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := membership.New(instance("self", "west"), 1, membership.Config{})
		region := rapid.SampledFrom([]string{"west", "east"}).Draw(t, "region")
		peer := membership.Heartbeat{Instance: instance("peer", region), Incarnation: 5}
		for step := range rapid.IntRange(1, 80).Draw(t, "seconds") {
			now := time.Duration(step) * time.Second
			changes := view.HandleHeartbeat(now, peer)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				changes = append(changes, view.List(now, nil)...)
			case 1:
				changes = append(changes, view.List(now, []membership.Row{{Instance: peer.Instance, Leaving: rapid.Bool().Draw(t, "leaving")}})...)
			case 2:
				view.SetLinked(now, nil)
			case 3:
				changes = append(changes, view.HandleHeartbeat(now, membership.Heartbeat{Instance: peer.Instance, Incarnation: 4})...)
			}
			changes = append(changes, view.Tick(now)...)
			for _, c := range changes {
				require.NotEqual(t, membership.Gone, c.Kind)
				require.NotEqual(t, membership.Silent, c.Kind)
			}
			require.Contains(t, view.Live(peer.Region), peer.Instance)
		}
	})
}

// Guards against views that stay different after they received the same heartbeats in different
// orders, including late heartbeats of an earlier incarnation.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := []*membership.View{
			membership.New(instance("v1", "west"), 1, membership.Config{}),
			membership.New(instance("v2", "west"), 1, membership.Config{}),
		}
		names := []string{"a", "b", "c"}
		for now := range time.Duration(20) {
			for _, view := range views {
				for range rapid.IntRange(0, 3).Draw(t, "beats") {
					heartbeat := membership.Heartbeat{
						Instance:    instance(rapid.SampledFrom(names).Draw(t, "id"), "west"),
						Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
					}
					view.HandleHeartbeat(now*time.Second, heartbeat)
				}
				view.Tick(now * time.Second)
			}
		}
		final := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "final")
		for now := 20 * time.Second; now < 60*time.Second; now += time.Second {
			for _, view := range views {
				view.HandleHeartbeat(now, membership.Heartbeat{Instance: instance("v1", "west"), Incarnation: 1})
				view.HandleHeartbeat(now, membership.Heartbeat{Instance: instance("v2", "west"), Incarnation: 1})
				for _, id := range final {
					view.HandleHeartbeat(now, membership.Heartbeat{Instance: instance(id, "west"), Incarnation: 2})
				}
				view.Tick(now)
			}
		}
		require.Equal(t, views[0].HomeCandidates("west"), views[1].HomeCandidates("west"))
		require.Len(t, views[0].Live("west"), 2+len(final))
		for _, id := range final {
			incarnation, _ := views[1].Incarnation(fleet.InstanceID(id))
			require.Equal(t, uint64(2), incarnation)
		}
	})
}

// Guards against links that both sides or neither side dial, and against missing links within a region.
func TestLinkPlan(t *testing.T) {
	var all []membership.Instance
	for i := range 40 {
		all = append(all, instance(fmt.Sprintf("i%02d", i), []string{"west", "east"}[i%2]))
	}
	plans := map[fleet.InstanceID]map[fleet.InstanceID]bool{}
	for _, self := range all {
		plans[self.ID] = map[fleet.InstanceID]bool{}
		for _, link := range membership.LinkPlan(self, all) {
			plans[self.ID][link.ID] = link.Dial
		}
		require.Len(t, plans[self.ID], 19+membership.LinksPerRegion)
	}
	for self, plan := range plans {
		for peer, dial := range plan {
			back, mutual := plans[peer][self]
			require.Equal(t, !mutual || !back, dial, "%s and %s", self, peer)
		}
	}
}

// Guards against heartbeats that use more than a third of the control budget.
func TestHeartbeatInterval(t *testing.T) {
	require.Equal(t, time.Second, membership.HeartbeatInterval(9, 60, 12288))
	require.Equal(t, 2100*time.Millisecond, membership.HeartbeatInterval(140, 60, 12288))
	rapid.Check(t, func(t *rapid.T) {
		links, size := rapid.IntRange(1, 500).Draw(t, "links"), rapid.IntRange(1, 2000).Draw(t, "bytes")
		interval := membership.HeartbeatInterval(links, size, 12288)
		require.LessOrEqual(t, float64(links*size)/interval.Seconds(), 12288.0/3)
	})
}
