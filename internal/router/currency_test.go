package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
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

// readAnnounced lets a peer announce a read of the store that shows a copy with a digest.
func (s *session) readAnnounced(digest uint64) {
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreRead{FactsDigest: digest}})
}

// tick lets time pass, and returns the requests for facts that follow.
func (s *session) tick(d time.Duration) []SendMessage {
	s.advance(d)
	s.step(Tick{})
	return s.sent(wire.KindFactsRequest)
}

// changedBy returns the digest of the session's copy with further facts.
func (s *session) changedBy(facts ...replica.Fact) uint64 {
	copied := replica.New(s.r.contentHash)
	copied.Merge(s.r.replica.All())
	copied.Merge(facts)
	return copied.Digest()
}

// Guards against an instance that lacks a change and waits for another message of a peer, and once more for the tree of a
// large value, before it requests the change: a silent link to the one that relays it is enough.
func TestDifferenceIsRepairedWithoutAnotherMessage(t *testing.T) {
	s := newSession(t, 3)
	s.link(3)
	s.advance(time.Second)
	s.readAnnounced(s.r.replica.Digest())
	s.readAnnounced(1)
	require.Empty(t, s.tick(repairDelay-time.Millisecond))
	asked := s.tick(time.Millisecond)
	require.Len(t, asked, 1)
	require.Equal(t, fleet.InstanceID("i2"), asked[0].To)
	require.NotEmpty(t, asked[0].Message.(*wire.FactsRequest).Buckets)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreFacts{Facts: []wire.StoreFact{{Key: "config", Revision: 300, ValueOmitted: true}}}})
	require.Empty(t, s.tick(announcementTimeout-repairDelay-time.Millisecond))
	asked = s.tick(time.Millisecond)
	require.Len(t, asked, 1)
	require.Equal(t, []string{"config"}, asked[0].Message.(*wire.FactsRequest).Keys)
}

// Guards against instances that all request a change from the first reader that they hear of, although it is on its way: after
// the start of a fleet all links are new.
func TestRelayedDifferenceIsNotRepaired(t *testing.T) {
	for name, newLink := range map[string]bool{"old link": false, "new link": true} {
		s := newSession(t, 3)
		s.advance(time.Second)
		s.link(3)
		if !newLink {
			s.advance(time.Second)
			s.readAnnounced(s.r.replica.Digest())
		}
		change := replica.Fact{Key: "engines/e1", Revision: 300, Value: []byte("draining")}
		s.advance(time.Second)
		s.readAnnounced(s.changedBy(change))
		require.Empty(t, s.sent(wire.KindFactsRequest), name)
		require.Empty(t, s.tick(unrelayedRepairDelay/2), name)
		s.step(PeerMessage{From: "i3", Incarnation: 1, Message: &wire.StoreFacts{Facts: []wire.StoreFact{wireFact(change)}}})
		require.Empty(t, s.tick(repairDelay), name)
		require.Equal(t, s.now-unrelayedRepairDelay/2-repairDelay, s.r.store.currentAt, name)
	}
}

// Guards against a wait for a relay that never comes, of what a peer had read before the link to it opened.
func TestUnrelayedDifferenceIsRepairedSoon(t *testing.T) {
	s := newSession(t, 3)
	s.advance(time.Second)
	s.link(3)
	s.advance(time.Second)
	s.readAnnounced(1)
	require.Len(t, s.tick(unrelayedRepairDelay), 1)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreFacts{Facts: []wire.StoreFact{{Key: "config", Revision: 300, ValueOmitted: true}}}})
	require.Len(t, s.tick(0), 1)
}

// Guards against repairs that are requested of a peer that has gone, while another one has the facts.
func TestDifferenceIsRepairedFromAPeerThatIsThere(t *testing.T) {
	s := newSession(t, 3)
	s.link(3)
	s.advance(time.Second)
	s.readAnnounced(s.r.replica.Digest())
	s.readAnnounced(1)
	s.step(PeerDown{Instance: "i2", Incarnation: 1})
	s.step(PeerMessage{From: "i3", Incarnation: 1, Message: &wire.StoreRead{AgeMs: 100, FactsDigest: 1}})
	asked := s.tick(repairDelay)
	require.Len(t, asked, 1)
	require.Equal(t, fleet.InstanceID("i3"), asked[0].To)
}
