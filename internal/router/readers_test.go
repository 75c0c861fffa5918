package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// losses are ways in which instances cease to read the store for others without a word.
var losses = map[string]func(m *fleetMember){
	"without power":               func(m *fleetMember) { m.dark = true },
	"frozen":                      func(m *fleetMember) { m.frozen = true },
	"cut off":                     func(m *fleetMember) { m.cut, m.noStore = true, true },
	"without a path to the store": func(m *fleetMember) { m.noStore = true },
}

// lose lets all readers of the store and a share of the other instances fail at once. It returns the undisturbed
// ones.
func (f *storeFleet) lose(share float64, loss func(m *fleetMember)) []fleet.InstanceID {
	readers := f.readers()
	var undisturbed []fleet.InstanceID
	for i, id := range f.ids {
		if slices.Contains(readers, id) || float64(i*37%100) < 100*share {
			loss(f.members[id])
		} else {
			undisturbed = append(undisturbed, id)
		}
	}
	return undisturbed
}

// awaitChange changes the configuration and lets an engine drain, and returns the time until both are known at
// the given instances.
func (f *storeFleet) awaitChange(at []fleet.InstanceID) time.Duration {
	version := f.publish()
	f.store.put("engines/e1", "draining")
	changed := f.now
	behind := func(id fleet.InstanceID) bool {
		engine, ok := f.members[id].s.r.registry.Get("e1")
		return f.members[id].known != version || !ok || !engine.Draining
	}
	for slices.ContainsFunc(at, behind) {
		f.run(fleetStep)
		require.Less(f.t, f.now-changed, 20*time.Second)
	}
	return f.now - changed
}

// Guards against instances that learn of changes too late because those that read the store for them are lost
// without a word, beside many others or alone.
func TestChangesArriveInTimeWhenAllReadersAreLost(t *testing.T) {
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			for _, size := range []struct {
				instances, engines int
				share              float64
				bound              time.Duration
			}{{7, 4, 0, 2 * time.Second}, {7, 4, 0.5, 2 * time.Second}, {82, 94, 0, 3 * time.Second}, {82, 94, 0.6, 3 * time.Second}} {
				f := newStoreFleet(t, size.instances, size.engines)
				undisturbed := f.lose(size.share, loss)
				require.NotEmpty(t, undisturbed)
				require.Less(t, f.awaitChange(undisturbed), size.bound, "%d instances, %v lost", size.instances, size.share)
			}
		})
	}
}

// Guards against an instance whose early return from a loss of all readers keeps the others from reading the store, while
// they wait for a configuration that it does not send them.
func TestChangesArriveInTimeWhenAReaderReturnsEarly(t *testing.T) {
	for _, size := range []struct {
		instances, engines, lost int
		bound                    time.Duration
		returns                  []time.Duration
	}{
		{7, 4, 4, 2 * time.Second, between(50*time.Millisecond, 1500*time.Millisecond, 50*time.Millisecond)},
		{82, 94, 50, 3 * time.Second, between(250*time.Millisecond, 2750*time.Millisecond, 500*time.Millisecond)},
	} {
		for _, configBytes := range []int{1, 2 * largeValueBytes} {
			for i, after := range size.returns {
				f := newStoreFleet(t, size.instances, size.engines)
				f.configBytes = configBytes
				// The last read before the loss is as recent as it can be.
				f.run(f.untilHeartbeat())
				order := f.watcherOrder()
				for _, id := range order[:size.lost] {
					f.members[id].dark = true
				}
				// In turn the first reader, the last one, and the instance that follows them.
				returned := order[[]int{0, watcherCount - 1, watcherCount}[i%3]]
				f.at(f.now+after, func() { f.start(returned) })
				require.Less(t, f.awaitChange(order[size.lost:]), size.bound, "%d instances, %d bytes, back after %v", size.instances, configBytes, after)
			}
		}
	}
}

// Guards against a large configuration that instances wait for in vain after the loss of all readers, since the one that
// reads in their place announces it and starts no tree.
func TestLargeConfigurationArrivesInTimeWhenAllReadersAreLost(t *testing.T) {
	for _, size := range []struct {
		instances, engines, lost int
		bound                    time.Duration
	}{{7, 4, 4, 2 * time.Second}, {82, 94, 4, 3 * time.Second}, {82, 94, 50, 3 * time.Second}} {
		for name, loss := range losses {
			f := newStoreFleet(t, size.instances, size.engines)
			f.configBytes = 2 * largeValueBytes
			f.run(f.untilHeartbeat())
			order := f.watcherOrder()
			for _, id := range order[:size.lost] {
				loss(f.members[id])
			}
			require.Less(t, f.awaitChange(order[size.lost:]), size.bound, "%d instances, %d lost, %s", size.instances, size.lost, name)
		}
	}
}

// between returns the times from first to last at a distance of step.
func between(first, last, step time.Duration) []time.Duration {
	var times []time.Duration
	for at := first; at <= last; at += step {
		times = append(times, at)
	}
	return times
}

// Guards against watchers of a fleet of 490 that spend more than their links may carry on telling the others that
// they read the store, and against a loss of all of them that is noticed too late for a bound of 4 s.
func TestReadNoticesFitALargeFleet(t *testing.T) {
	const (
		links       = 489
		perFrame    = 25 // A frame's header and stamp.
		bytesPerSec = 12 << 10
		seconds     = 10
	)
	s := newSession(t, 1600)
	s.link(links)
	bytes := 0
	for s.now < seconds*time.Second {
		s.advance(laterWatchInterval)
		s.step(KeysChanged{AtRevision: 100})
		for _, m := range s.sent(wire.KindStoreRead) {
			data, err := wire.Append(nil, m.Message)
			require.NoError(t, err)
			bytes += len(data) + perFrame
		}
	}
	require.Less(t, bytes, seconds*bytesPerSec)

	lost := s.now
	for i := range links {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i+2))
		s.step(PeerMessage{From: id, Incarnation: 1, Message: &wire.StatusReport{Sequence: 2, IntervalMs: 12_225}})
	}
	s.r.store.watching = false
	require.False(t, s.r.shouldWatch(watcherOrder{position: links}), "the peers count as live")
	for !s.r.shouldWatch(watcherOrder{position: links}) {
		s.advance(fleetTick)
		s.r.now = s.now
	}
	require.Less(t, s.now-lost, 3500*time.Millisecond)
}

// Guards against instances that all list the store of a large fleet at once when they hear of no read.
func TestLargeFleetsTakeOverInSteps(t *testing.T) {
	s := newSession(t, 1)
	s.link(489)
	wanted := map[int]bool{}
	for s.now = s.r.readSilenceLimit() - takeoverInterval; !wanted[768]; s.advance(fleetTick) {
		s.r.now = s.now
		wanted[s.r.watchersWanted()] = true
	}
	require.Equal(t, map[int]bool{3: true, 12: true, 48: true, 192: true, 768: true}, wanted)
	require.LessOrEqual(t, s.now, s.r.readSilenceLimit()+4*takeoverInterval)
}

// Guards against a large fleet that calls a store which is down for all hundreds of times a second, and against one
// that then learns late that it is back.
func TestStoreThatIsDownGetsFewCalls(t *testing.T) {
	const seconds = 8
	f := newStoreFleet(t, 82, 94)
	f.store.refuses = true
	calls := f.store.calls
	f.run(seconds * time.Second)
	require.Less(t, f.store.calls-calls, 100*seconds)
	f.store.refuses = false
	require.Less(t, f.awaitChange(f.ids), 3*time.Second)
	f.run(5 * time.Second)
	require.Len(t, f.readers(), watcherCount)
}
