package router

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/versions"
)

// keepOrigins carries out the effects that concern the versions of engines.
func (f *storeFleet) keepOrigins(id fleet.InstanceID, m *fleetMember, e Effect) {
	incarnation, reachable := m.incarnation, !f.store.away && !f.store.refuses && !m.noStore
	later := func(ev Event) {
		when := f.now + fleetStep
		earlier := f.plans[when]
		f.at(when, func() {
			if earlier != nil {
				earlier()
			}
			if m.incarnation == incarnation && !m.dark {
				f.step(id, ev)
			}
		})
	}
	switch e := e.(type) {
	case Send:
		if m.ended[e.Call] == nil {
			m.ended[e.Call] = e
		}
	case Refuse:
		m.ended[e.Call] = e
	case ReplaceKey:
		m.replaced++
		if current := f.store.latest(e.Key); reachable && current.Revision == e.Revision {
			f.store.put(e.Key, string(e.Value))
		}
	case StoreOrigins:
		if !reachable {
			later(OriginsStored{Err: errAway})
			return
		}
		for _, v := range e.Values {
			f.store.put(v.Key, string(v.Value))
		}
		later(OriginsStored{})
	case LoadOrigins:
		loaded := OriginsLoaded{Partition: e.Partition}
		if !reachable {
			loaded.Err = errAway
		} else {
			loaded.Values = f.store.under(e.Prefix)
		}
		later(loaded)
	}
}

var errAway = errors.New("no answer")

// latest returns the last fact of a key, which may be deleted or absent.
func (s *fleetStore) latest(key string) replica.Fact {
	for _, f := range slices.Backward(s.history) {
		if f.Key == key && !f.Deleted {
			return f
		}
		if f.Key == key {
			break
		}
	}
	return replica.Fact{}
}

// under returns the values of the keys with a prefix.
func (s *fleetStore) under(prefix string) [][]byte {
	var values [][]byte
	for _, f := range s.list() {
		if strings.HasPrefix(f.Key, prefix) && !f.Deleted {
			values = append(values, f.Value)
		}
	}
	return values
}

// begin begins a stream through an instance, and returns the version that wrote its first event.
func (f *storeFleet) begin(id fleet.InstanceID, attempt string) fleet.EngineVersion {
	f.t.Helper()
	m := f.members[id]
	m.s.last++
	call := m.s.last
	f.step(id, CallArrived{Call: Call{ID: call, RequestID: attempt, Host: "h", Path: "/chat/x", Prompt: fleet.ChatKey(versions.KeyOf(attempt)), Arrived: f.now}})
	sent, ok := m.ended[call].(Send)
	require.True(f.t, ok, "%v", m.ended[call])
	f.step(id, FirstEventReceived{Call: call})
	f.step(id, AttemptEnded{Call: call, Outcome: CallerLeft, Delivered: true})
	return sent.Engine.Version
}

// takeUp requests the rest of a stream from an instance. It returns the version that goes on with it, or the code of the
// refusal.
func (f *storeFleet) takeUp(id fleet.InstanceID, attempt string) string {
	f.t.Helper()
	m := f.members[id]
	m.s.last++
	call := m.s.last
	f.step(id, CallArrived{Call: Call{ID: call, Host: "h", Path: "/chat/x", Resumes: true, Stream: versions.KeyOf(attempt), Prompt: fleet.ChatKey(versions.KeyOf(attempt)), Arrived: f.now}})
	for until := f.now + time.Second; m.ended[call] == nil && f.now < until; {
		f.run(fleetStep)
	}
	switch e := m.ended[call].(type) {
	case Send:
		f.step(id, AttemptEnded{Call: call, Outcome: CallerLeft, Delivered: true})
		return string(e.Engine.Version)
	case Refuse:
		require.Equal(f.t, NotRun, e.Refusal)
		return e.Code
	}
	f.t.Fatalf("%s does not answer", id)
	return ""
}

func (f *storeFleet) record() string { return string(f.store.latest(versionsKey("s")).Value) }

// Guards against a stream that goes on at another version, or is refused, after all instances have lost their memory, and
// against origins that are kept while one version serves.
func TestOriginsOutliveAllInstances(t *testing.T) {
	f := newVersionedFleet(t, 5, 3, "v1")
	began := map[string]fleet.EngineVersion{}
	for _, id := range f.ids {
		began["first at "+string(id)] = f.begin(id, "first at "+string(id))
	}
	f.run(500 * time.Millisecond)
	require.Empty(t, f.store.under(OriginsPrefix))
	for _, m := range f.members {
		require.Equal(t, 1, m.s.r.streams.memory.Len())
	}
	f.store.put("engines/e3", "ready#v2")
	f.run(4 * time.Second)
	for i := range 20 {
		attempt := fmt.Sprint("later ", i)
		began[attempt] = f.begin(f.ids[i%len(f.ids)], attempt)
	}
	require.Contains(t, slices.Collect(maps.Values(began)), fleet.EngineVersion("v2"))
	f.run(200 * time.Millisecond)
	takeUpAll := func() {
		for i, attempt := range slices.Sorted(maps.Keys(began)) {
			require.Equal(t, string(began[attempt]), f.takeUp(f.ids[(i+1)%len(f.ids)], attempt), attempt)
		}
		require.Equal(t, "stream_version_unknown", f.takeUp(f.ids[0], "of nobody"))
	}
	takeUpAll()
	for _, id := range f.ids {
		f.start(id)
	}
	f.run(4 * time.Second)
	takeUpAll()
}

// Guards against a record that many instances write, one that nobody writes because the first reader fails, and streams
// that begin at a version before all instances know that it is on record.
func TestVersionIsInUseAfterItsRecordHasSettled(t *testing.T) {
	for _, firstReaderFails := range []bool{false, true} {
		f := newVersionedFleet(t, 5, 3, "v1")
		require.Equal(t, `{"usable":["v1"]}`, f.record())
		written, first := 0, f.members[f.watcherOrder()[0]]
		first.noStore = firstReaderFails
		for _, m := range f.members {
			written -= m.replaced
		}
		f.store.put("engines/e3", "ready#v2")
		var recordedAt, usedAt time.Duration
		for i := 0; usedAt == 0 && i < 200; i++ {
			f.run(50 * time.Millisecond)
			if recordedAt == 0 && f.record() != `{"usable":["v1"]}` {
				recordedAt = f.now
			}
			for _, id := range f.ids {
				if f.begin(id, fmt.Sprint(id, i)) == "v2" {
					usedAt = f.now
				}
			}
		}
		require.Equal(t, `{"usable":["v1","v2"]}`, f.record())
		require.Greater(t, usedAt-recordedAt, first.s.r.readSilenceLimit()-50*time.Millisecond)
		for _, m := range f.members {
			written += m.replaced
		}
		if !firstReaderFails {
			require.Equal(t, 2, written, "as opening, and as usable")
		}
	}
}

// Guards against a release that replaces all engines at once and leaves callers without one until a record settles.
func TestOnlyServingVersionIsInUseAtOnce(t *testing.T) {
	f := newVersionedFleet(t, 5, 1, "v1")
	f.engineVersion = "v2"
	f.heartbeat()
	f.run(300 * time.Millisecond)
	for _, id := range f.ids {
		require.Equal(t, fleet.EngineVersion("v2"), f.begin(id, string(id)))
	}
}

// cutOff lets streams of a second version begin at the other instances while some are cut off. It reports whether one of
// these goes on with a stream of the second version at the first one.
func cutOff(t *testing.T, cut func(f *storeFleet) (apart []fleet.InstanceID)) (joined bool) {
	f := newVersionedFleet(t, 5, 3, "v1")
	apart := cut(f)
	f.store.put("engines/e3", "ready#v2")
	streams := 0
	for i := range 100 {
		f.run(100 * time.Millisecond)
		for _, id := range f.ids {
			attempt := fmt.Sprint(id, i)
			if slices.Contains(apart, id) || f.begin(id, attempt) != "v2" {
				continue
			}
			streams++
			for _, other := range apart {
				joined = joined || f.takeUp(other, attempt) == "v1"
			}
		}
	}
	require.NotZero(t, streams)
	return joined
}

// Guards against instances without news that take the version that they know for the only one: streams begin at another
// version where the store is read.
func TestCutOffInstancesJoinNoVersions(t *testing.T) {
	for name, cut := range map[string]func(f *storeFleet) []fleet.InstanceID{
		"one from all and the store": func(f *storeFleet) []fleet.InstanceID {
			m := f.members[f.ids[0]]
			m.cut, m.noStore = true, true
			return f.ids[:1]
		},
		"all but one from the store, and from that one": func(f *storeFleet) []fleet.InstanceID {
			f.members[f.ids[0]].cut = true
			for _, id := range f.ids[1:] {
				f.members[id].noStore = true
			}
			return f.ids[1:]
		},
	} {
		t.Run(name, func(t *testing.T) { require.False(t, cutOff(t, cut)) })
	}
}
