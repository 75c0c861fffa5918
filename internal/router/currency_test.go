package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// changeDelay is the time within which a change of the store must be in force at all instances of a small fleet.
const changeDelay = 2 * time.Second

// Guards against instances that missed the same change, take each other's equal digests for a sign that they are
// up to date, and stay on the configuration of before.
func TestInstancesThatMissedTheSameChangeCatchUp(t *testing.T) {
	for pair := range 7 {
		f := newStoreFleet(t, 7, 3)
		for _, i := range []int{pair, (pair + 1) % 7} {
			m := f.members[f.ids[i]]
			m.cut, m.noStore = true, true
		}
		f.run(2 * time.Second)
		version := f.publish()
		f.run(1800 * time.Millisecond)
		f.store.away = true
		f.run(200 * time.Millisecond)
		for _, m := range f.members {
			m.cut, m.noStore = false, false
		}
		f.run(400 * time.Millisecond)
		f.store.away = false
		returned := f.now
		f.run(changeDelay)
		f.requireInForce(version, returned+changeDelay)
	}
}

// Guards against an instance that stops reading the store because others read it, before it has what it missed.
func TestReadsTheStoreUntilItsCopyIsCurrent(t *testing.T) {
	f := newStoreFleet(t, 12, 3)
	var late fleet.InstanceID
	for _, id := range f.ids {
		if !f.members[id].reader.on {
			late = id
		}
	}
	m := f.members[late]
	m.cut, m.noStore = true, true
	f.run(2 * time.Second)
	f.publish()
	f.run(2 * time.Second)
	require.True(t, m.reader.on)
	m.cut = false
	for m.reader.on {
		require.NotEqual(t, f.store.revision, m.known)
		f.run(fleetStep)
		require.Less(t, f.now, time.Minute)
	}
	require.Equal(t, f.members[f.readers()[0]].known, m.known)
}
