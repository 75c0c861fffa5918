package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

// Guards against streams of two versions at instances that have just lost their paths or were suspended: where most engines
// are replaced at once, streams begin at the new version before it is on record, within the time for which an
// instance's copy of the store still counts as current.
func TestLaggingInstanceJoinsNoVersions(t *testing.T) {
	cutOff := func(m *fleetMember) { m.cut, m.noStore = true, true }
	suspend := func(m *fleetMember) { m.frozen = true }
	for name, c := range map[string]struct {
		lag     func(m *fleetMember)
		lagging int
		after   []time.Duration
	}{
		"one cut off":    {cutOff, 1, []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second}},
		"most cut off":   {cutOff, 4, []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second}},
		"one suspended":  {suspend, 1, []time.Duration{50 * time.Millisecond, 1100 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}},
		"most suspended": {suspend, 4, []time.Duration{300 * time.Millisecond, 450 * time.Millisecond, 2 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, after := range c.after {
				f := newVersionedFleet(t, 5, 3, "v1")
				f.run(2 * time.Second)
				reader := f.readers()[0]
				lagging := slices.DeleteFunc(slices.Clone(f.ids), func(id fleet.InstanceID) bool { return id == reader })[:c.lagging]
				for _, id := range lagging {
					c.lag(f.members[id])
				}
				f.engineVersion = "v2"
				for i := range 3 {
					f.store.put(fmt.Sprintf("engines/e%d", i), "draining#v1")
					f.store.put(fmt.Sprintf("engines/n%d", i), "ready#v2")
				}
				f.run(after)
				for i := range 10 {
					require.Equal(t, "v2", string(f.begin(reader, fmt.Sprint("stream ", i))), "after %s", after)
				}
				f.run(10 * time.Millisecond)
				for _, id := range lagging {
					f.members[id].frozen = false
				}
				for i := range 10 {
					id := lagging[i%len(lagging)]
					require.NotEqual(t, "v1", f.takeUp(id, fmt.Sprint("stream ", i)), "after %s", after)
				}
			}
		})
	}
}

// Guards against the rest of streams that is refused although only one version has served, because the instances that are
// asked to confirm it have just lost power.
func TestOnlyVersionIsConfirmedBesideLostInstances(t *testing.T) {
	for lost := 1; lost <= 6; lost++ {
		f := newVersionedFleet(t, 8, 3, "v1")
		f.run(2 * time.Second)
		for _, id := range f.ids[2 : 2+lost] {
			f.members[id].dark = true
		}
		f.run(100 * time.Millisecond)
		for i := range 40 {
			require.Equal(t, "v1", f.takeUp(f.ids[i%2], fmt.Sprint("stream ", i)), "%d lost", lost)
		}
	}
}

// Guards against instances that started while the store, restored from an older copy, had no record, and take the version that is
// registered for the only one. Instances that have known the record go on with what they have learnt.
func TestMissingRecordIsNoProofOfOneVersion(t *testing.T) {
	s := newSession(t, 1)
	s.link(1)
	request := &wire.StreamOriginRequest{ID: 1, Stream: 7, Service: "s"}
	confirms := func() bool {
		s.step(PeerMessage{From: "i2", Incarnation: 1, Message: request})
		for _, m := range s.sent(wire.KindStreamOriginReply) {
			return m.Message.(*wire.StreamOriginReply).Confirmed
		}
		return false
	}
	require.False(t, confirms())
	s.takeUp(7)
	s.requireNotSent()
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StreamOriginReply{ID: s.r.streams.lastID, Confirmed: true}})
	must[Send](s)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: versionsKey("s"), Revision: 301, Value: []byte(`{"usable":[""]}`)}}, AtRevision: 301})
	require.True(t, confirms())
	s.step(KeysChanged{Facts: []replica.Fact{{Key: versionsKey("s"), Revision: 302, Deleted: true}}, AtRevision: 302})
	require.True(t, confirms())
	s.step(KeysChanged{Facts: []replica.Fact{{Key: versionsKey("s"), Revision: 303, Value: []byte("no record")}}, AtRevision: 303})
	require.False(t, confirms())
}

// Guards against the rest of streams that is refused after a short suspension although only one version has served: by an
// instance without others, and by each one of a fleet.
func TestShortSuspensionRefusesNoStream(t *testing.T) {
	s := newVersionedSession(t, "v1")
	s.step(Tick{})
	s.advance(suspensionTime + 50*time.Millisecond)
	s.takeUp(7)
	must[Send](s)

	f := newVersionedFleet(t, 5, 3, "v1")
	for i := range 40 {
		id := f.ids[i%len(f.ids)]
		f.run(f.untilHeartbeat() + 470*time.Millisecond + time.Duration(i)*35*time.Millisecond)
		f.members[id].frozen = true
		f.run(suspensionTime + 50*time.Millisecond)
		f.members[id].frozen = false
		require.Equal(t, "v1", f.takeUp(id, "a"), "suspension %d", i)
	}
}
