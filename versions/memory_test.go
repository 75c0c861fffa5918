package versions

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Guards against a stream that is forgotten before its life has passed, or is remembered for longer.
func TestOriginIsRememberedForItsLife(t *testing.T) {
	m := NewMemory(10 * time.Second)
	v1 := Origin{"s", "v1"}
	m.Record(0, KeyOf("a"), v1, false)
	m.Record(4*time.Second, KeyOf("b"), Origin{"s", "v2"}, false)
	m.Record(6*time.Second, KeyOf("a"), v1, false)
	m.Record(0, KeyOf(""), v1, true)
	known := func(now time.Duration, attempt string) bool {
		_, ok := m.Lookup(now, KeyOf(attempt))
		return ok
	}
	require.True(t, known(14*time.Second-1, "b"))
	require.False(t, known(14*time.Second, "b"))
	require.True(t, known(16*time.Second-1, "a"), "recorded again")
	require.False(t, known(16*time.Second, "a"))
	require.False(t, known(0, ""), "an attempt without an ID names no stream")
	m.Expire(14 * time.Second)
	require.Equal(t, 1, m.Len())
	m.Expire(16 * time.Second)
	require.Zero(t, m.Len())
	require.Empty(t, m.order)
}

// Guards against a memory that grows without bound, and against one that forgets the latest streams first.
func TestFullMemoryForgetsTheOldest(t *testing.T) {
	m := NewMemory(time.Hour)
	for i := range 2 * maxStreams {
		m.Record(time.Duration(i), StreamKey(i+1), Origin{"s", "v1"}, true)
	}
	require.Equal(t, maxStreams, m.Len())
	require.LessOrEqual(t, len(m.order), maxStreams)
	_, newest := m.Lookup(2*maxStreams, 2*maxStreams)
	_, oldest := m.Lookup(2*maxStreams, maxStreams)
	require.True(t, newest)
	require.False(t, oldest)
}

// Guards against streams that are not given to their keepers because a keeper's copy of them came back to the instance
// that serves them, and against copies for others that are taken for own streams.
func TestOwnStreamsStayOwn(t *testing.T) {
	m := NewMemory(10 * time.Second)
	m.Record(0, 1, Origin{"s", "v1"}, true)
	m.Record(1, 1, Origin{"s", "v1"}, false)
	m.Record(1, 2, Origin{"s", "v1"}, false)
	m.Record(1, 4, Origin{"s", "v2"}, true)
	m.Record(1, 3, Origin{"s", "v2"}, true)
	m.Record(1, 5, Origin{"other", "v2"}, true)
	require.Equal(t, map[fleet.EngineVersion][]StreamKey{"v1": {1}, "v2": {3, 4}}, m.Own(2, "s"))
	require.Empty(t, m.Own(11*time.Second, "s"))
}

// Guards against a memory that confuses origins, or remembers a stream for less than half of its life or more than its life
// after it was last recorded, for any order of recordings and any changes of the life.
func TestMemoryHoldsWhatWasRecorded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type span struct{ least, most time.Duration }
		m, model, now := NewMemory(6), map[StreamKey]span{}, time.Duration(0)
		origin := func(key StreamKey) Origin { return Origin{"s", fleet.EngineVersion(fmt.Sprint("v", key%3))} }
		for range rapid.IntRange(1, 100).Draw(t, "recordings") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				m.SetLife(time.Duration(2 * rapid.IntRange(1, 5).Draw(t, "life")))
			case 1:
				m.Expire(now)
			default:
				key := StreamKey(rapid.IntRange(1, 8).Draw(t, "stream"))
				m.Record(now, key, origin(key), rapid.Bool().Draw(t, "own"))
				model[key] = span{now + m.Life()/2, max(now+m.Life(), model[key].most)}
			}
			for key := range StreamKey(9) {
				got, known := m.Lookup(now, key)
				require.True(t, known || now >= model[key].least, "stream %d", key)
				require.False(t, known && now >= model[key].most, "stream %d", key)
				require.True(t, !known || got == origin(key))
			}
		}
	})
}

// Guards against own streams that are forgotten because a keeper reads the same origins from the store again and again.
func TestRepeatedRecordingsForgetNoOther(t *testing.T) {
	m := NewMemory(time.Hour)
	m.Record(0, 1, Origin{"s", "v1"}, true)
	for i := range 2 * maxStreams {
		m.Record(time.Duration(i), StreamKey(2+i%1000), Origin{"s", "v2"}, false)
	}
	_, known := m.Lookup(2*maxStreams, 1)
	require.True(t, known)
	require.LessOrEqual(t, len(m.order), 2*maxStreams)
}
