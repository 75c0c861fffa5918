package versions

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	openLife   = 20 * time.Second
	openSettle = time.Second
	// openLag is the most by which an instance's view of the store is old, and the most by which the record is late.
	openLag = openSettle - 50*time.Millisecond
	// openStart is the least time between two changes of the engines: a version that serves alone becomes usable before the
	// next one starts.
	openStart = 6 * openSettle
)

func newOpen() *Open {
	o := NewOpen()
	o.SetTimes(openLife, openSettle)
	return o
}

type versionSet = map[fleet.EngineVersion]bool

// openModel is a service whose engines of several versions come and go, with a store and instances that learn of its
// changes late.
type openModel struct {
	now time.Duration
	// engines holds the versions of the engines that are registered, changedAt the time of the last change.
	engines   versionSet
	changedAt time.Duration
	// log holds what the store has held, the last entry what it holds now.
	log       []openState
	instances []*openInstance
	// began holds when the last stream of each version began.
	began map[fleet.EngineVersion]time.Duration
}

type openState struct {
	at         time.Duration
	record     Record
	registered versionSet
}

type openInstance struct {
	*Open
	// seen is the number of entries of the log that the instance has read.
	seen int
}

func (m *openModel) store() openState { return m.log[len(m.log)-1] }

func (m *openModel) write(record Record) {
	m.log = append(m.log, openState{m.now, record, maps.Clone(m.engines)})
}

func (m *openModel) read(i *openInstance, entries int) {
	for ; i.seen < entries; i.seen++ {
		state := m.log[i.seen]
		i.Recorded(m.now, state.record)
		i.Registered(m.now, maps.Clone(state.registered))
	}
}

// restart replaces an instance by one that knows what the store holds.
func (m *openModel) restart(n int) {
	m.instances[n] = &openInstance{newOpen(), len(m.log) - 1}
	m.read(m.instances[n], len(m.log))
}

// pass lets time pass in which the instances learn of what is older than openLag. The record is written within openLag.
func (m *openModel) pass(t *rapid.T, most time.Duration) {
	left := time.Duration(rapid.IntRange(0, int(most/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
	for ; left > 0; left -= openLag {
		m.now += min(left, openLag)
		for _, i := range m.instances {
			due := i.seen
			for due < len(m.log) && m.log[due].at < m.now-openLag {
				due++
			}
			m.read(i, due)
			i.Expire(m.now)
		}
		if left >= openLag {
			m.record(t, m.instances[0])
		}
	}
}

// record lets an instance write the record if it wants another one. The write fails unless it has read the latest one.
func (m *openModel) record(t *rapid.T, i *openInstance) {
	wanted, changed := i.Wanted(m.now)
	if !changed {
		return
	}
	require.NotEmpty(t, slices.Concat(wanted.Usable, wanted.Opening), "the record is never emptied")
	if reflect.DeepEqual(m.log[i.seen-1].record, m.store().record) {
		m.write(wanted)
	}
}

// begin begins a stream through an instance at a usable version, or at any if no usable one has an engine.
func (m *openModel) begin(t *rapid.T, i *openInstance) {
	registered := slices.Sorted(maps.Keys(m.log[i.seen-1].registered))
	usable := slices.DeleteFunc(slices.Clone(registered), func(v fleet.EngineVersion) bool { return !i.Usable(v) })
	if len(usable) == 0 {
		usable = registered
	}
	if len(usable) == 0 {
		return
	}
	if v := rapid.SampledFrom(usable).Draw(t, "stream at"); m.engines[v] {
		m.began[v] = m.now
	}
}

func (m *openModel) check(t *rapid.T) {
	for n, i := range m.instances {
		only, ok := i.Only(m.now)
		require.False(t, ok && i.Several(m.now))
		for v, at := range m.began {
			if ok && m.engines[only] && m.now-at < openLife-2*openSettle {
				require.Equal(t, v, only, "instance %d at %v: a stream began at %v", n, m.now, at)
			}
		}
	}
}

func (m *openModel) step(t *rapid.T) {
	n := rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")
	i := m.instances[n]
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0:
		if m.now-m.changedAt >= openStart {
			v := fleet.EngineVersion(fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "version")))
			if m.changedAt = m.now; !m.engines[v] {
				m.engines[v] = true
			} else {
				delete(m.engines, v)
			}
			m.write(m.store().record)
		}
	case 1, 2:
		m.record(t, i)
	case 3:
		m.read(i, rapid.IntRange(i.seen, len(m.log)).Draw(t, "read"))
	case 4:
		if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
			m.restart(n)
		}
	case 5, 6:
		m.begin(t, i)
	case 7:
		m.pass(t, []time.Duration{openLag, openLife}[rapid.IntRange(0, 1).Draw(t, "long")])
	}
}

// Guards against an instance that takes one version for the only one although a stream that is still open began at another,
// for any order in which engines, instances and the record change and instances learn of it.
func TestOnlyVersionBeganAllOpenStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &openModel{engines: versionSet{"v1": true}, began: map[fleet.EngineVersion]time.Duration{}, changedAt: -openStart}
		m.write(Record{Usable: []fleet.EngineVersion{"v1"}})
		for range 3 {
			i := &openInstance{Open: newOpen()}
			m.instances = append(m.instances, i)
			m.read(i, 1)
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}

// Guards against streams that begin at a version before all instances know of it, a version that stays open for ever, a
// record that is emptied, and one that loses a version whose streams are still open.
func TestVersionLeavesTheRecordAfterItsStreams(t *testing.T) {
	type list = []fleet.EngineVersion
	o := newOpen()
	o.Registered(0, versionSet{"v1": true})
	only, ok := o.Only(0)
	require.True(t, ok)
	require.Equal(t, fleet.EngineVersion("v1"), only)
	now := time.Duration(0)
	requireWanted := func(at time.Duration, want Record) {
		t.Helper()
		_, early := o.Wanted(at - 1)
		require.False(t, early && at > now)
		wanted, changed := o.Wanted(at)
		require.True(t, changed)
		require.Equal(t, want, wanted)
		now = at
		o.Recorded(at, wanted)
	}
	requireWanted(0, Record{Usable: list{"v1"}})
	o.Registered(time.Second, versionSet{"v1": true, "v2": true})
	wanted, _ := o.Wanted(time.Second)
	require.Equal(t, Record{Usable: list{"v1"}, Opening: list{"v2"}}, wanted)
	require.False(t, o.Usable("v2"))
	o.Recorded(time.Second, wanted)
	require.False(t, o.Usable("v2"))
	now = time.Second
	requireWanted(time.Second+openSettle, Record{Usable: list{"v1", "v2"}})
	require.True(t, o.Usable("v2"))
	o.Registered(10*time.Second, versionSet{"v2": true})
	requireWanted(10*time.Second+openLife, Record{Usable: list{"v2"}})
	require.False(t, o.Several(now))
	o.Registered(40*time.Second, versionSet{})
	wanted, changed := o.Wanted(time.Hour)
	require.False(t, changed, "%v replaces the last version", wanted)
	only, ok = o.Only(time.Hour)
	require.True(t, ok)
	require.Equal(t, fleet.EngineVersion("v2"), only)
}

// Guards against a version that is forgotten with the record when the store is restored from a copy without it.
func TestLostRecordForgetsNoVersion(t *testing.T) {
	o := newOpen()
	o.Recorded(0, Record{Usable: []fleet.EngineVersion{"v1"}, Opening: []fleet.EngineVersion{"v2"}})
	o.Registered(0, versionSet{"v2": true})
	o.Unrecorded()
	o.Expire(openLife - 1)
	require.True(t, o.Several(openLife-1))
	o.Expire(openLife)
	require.False(t, o.Several(openLife))
}

// Guards against an instance that starts while a version opens and begins streams at it, which others don't know of yet and
// take the old one for the only one.
func TestNewInstanceLetsAVersionOpen(t *testing.T) {
	late, started := newOpen(), newOpen()
	late.Recorded(0, Record{Usable: []fleet.EngineVersion{"v1"}})
	late.Registered(0, versionSet{"v1": true})
	recordedAt := time.Minute
	started.Recorded(recordedAt, Record{Usable: []fleet.EngineVersion{"v1"}, Opening: []fleet.EngineVersion{"v2"}})
	started.Registered(recordedAt, versionSet{"v1": true, "v2": true})
	_, ok := late.Only(recordedAt)
	require.True(t, ok, "it learns of the record later")
	require.False(t, started.Usable("v2"))
	_, changed := started.Wanted(recordedAt + openSettle - 1)
	require.False(t, changed)
}

// Guards against a record that is written again without a version whose streams are still open, after the store was restored
// from a copy without it.
func TestRestoredRecordHoldsOpenVersions(t *testing.T) {
	o := newOpen()
	o.Recorded(0, Record{Usable: []fleet.EngineVersion{"v1", "v2"}})
	o.Registered(0, versionSet{"v1": true, "v2": true})
	o.Registered(time.Second, versionSet{"v2": true})
	o.Unrecorded()
	wanted, _ := o.Wanted(2 * time.Second)
	require.Equal(t, []fleet.EngineVersion{"v1", "v2"}, wanted.Usable)
}
