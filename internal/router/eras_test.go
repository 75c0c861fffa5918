package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

// at returns a revision of the store's second era.
func at(number uint64) uint64 { return replica.RevisionOf(2, number) }

func fact(revision uint64, key, value string) replica.Fact {
	return replica.Fact{Key: key, Revision: revision, Value: []byte(value)}
}

// newSessionInEra returns a session whose facts are of the store's first era.
func newSessionInEra(t *testing.T, id fleet.InstanceID, listing ...replica.Fact) *session {
	s := &session{t: t, r: New(Config{Instance: id, DataCentre: "dc", StoreDecoder: fakeDecoder{}, RetryReserve: 100})}
	s.step(Tick{})
	for i := range listing {
		listing[i].Revision = replica.RevisionOf(1, listing[i].Revision)
	}
	s.step(KeysListed{Facts: listing, AtRevision: replica.RevisionOf(1, 100)})
	return s
}

// Guards against a configuration that is ignored since a restored store gives it a lower number than the one in
// force has, and against one in force that an older one replaces.
func TestConfigurationsOfARestoredStore(t *testing.T) {
	s := newSessionInEra(t, "i1", fact(90, "config", "11"), fact(5, "engines/e0", "ready"))
	s.step(KeysListed{Facts: []replica.Fact{fact(at(40), "config", "8"), fact(at(5), "engines/e0", "ready")}, AtRevision: at(60)})
	require.Equal(t, uint64(11), s.r.table.Version)
	s.step(KeysChanged{Facts: []replica.Fact{fact(at(61), "config", "11")}, AtRevision: at(61)})
	_, again := find[ConfigInForce](s)
	require.False(t, again)
	s.step(KeysChanged{Facts: []replica.Fact{fact(at(62), "config", "14")}, AtRevision: at(62)})
	require.Equal(t, uint64(14), must[ConfigInForce](s).Table.Version)
}

// Guards against a removed key that a late answer of the store, given before it was restored, brings back.
func TestLateAnswersOfTheEraBefore(t *testing.T) {
	s := newSessionInEra(t, "i1", fact(1, "config", "1"), fact(5, "engines/e0", "ready"), fact(6, "engines/e1", "ready"))
	s.step(KeysListed{Facts: []replica.Fact{fact(at(1), "config", "1"), fact(at(5), "engines/e0", "ready"), fact(at(6), "engines/e1", "ready")}, AtRevision: at(20)})
	s.advance(3 * time.Second)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e1", Revision: at(21), Deleted: true}}, AtRevision: at(21)})
	s.step(KeysChanged{Facts: []replica.Fact{fact(replica.RevisionOf(1, 99), "engines/e1", "ready")}, AtRevision: replica.RevisionOf(1, 99)})
	require.Equal(t, 1, s.r.registry.Len())
}

// Guards against engines that are removed because a restored store lacks registrations that are about to be
// written again, and against engines that stay although theirs are not.
func TestRegistrationsThatARestoredStoreLacks(t *testing.T) {
	s := newSessionInEra(t, "i1", fact(1, "config", "1"), fact(5, "engines/old", "ready"), fact(70, "engines/new", "ready"), fact(71, "engines/gone", "ready"))
	s.link(2)
	restored := []replica.Fact{fact(at(1), "config", "1"), fact(at(5), "engines/old", "ready")}
	s.step(KeysListed{Facts: restored, AtRevision: at(20)})
	require.Equal(t, 3, s.r.registry.Len())
	must[RenewPresence](s)
	for _, m := range s.sent(wire.KindStoreFacts) {
		for _, f := range m.Message.(*wire.StoreFacts).Facts {
			require.False(t, f.Deleted, "peers must not be told that %s is gone", f.Key)
		}
	}
	s.step(KeysChanged{Facts: []replica.Fact{fact(at(21), "engines/new", "ready")}, AtRevision: at(21)})
	s.advance(s.r.cfg.ReregistrationGrace)
	s.step(Tick{})
	must[ListKeys](s)
	s.step(Tick{})
	_, twice := find[ListKeys](s)
	require.False(t, twice)
	s.step(KeysListed{Facts: append(restored, fact(at(21), "engines/new", "ready")), AtRevision: at(22)})
	_, known := s.r.registry.Get("gone")
	require.False(t, known)
	require.Equal(t, 2, s.r.registry.Len())
}

// Guards against removals at an instance that does not read the store itself: its peers tell it the new era
// before they relay removals.
func TestPeersTellOfARestoredStore(t *testing.T) {
	s := newSessionInEra(t, "i1", fact(1, "config", "1"), fact(5, "engines/e0", "ready"), fact(6, "engines/e1", "ready"))
	s.link(1)
	reader := newSessionInEra(t, "i2", fact(1, "config", "1"), fact(5, "engines/e0", "ready"), fact(6, "engines/e1", "ready"))
	reader.link(1)
	reader.step(KeysListed{Facts: []replica.Fact{fact(at(1), "config", "1"), fact(at(5), "engines/e0", "ready")}, AtRevision: at(20)})
	report := reader.sent(wire.KindStatusReport)
	require.Len(t, report, 1, "peers are told at once")
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: report[0].Message})
	must[RenewPresence](s)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreFacts{Facts: []wire.StoreFact{{Key: "engines/e1", Revision: 21, Era: 3, Deleted: true}}}})
	require.Equal(t, 2, s.r.registry.Len(), "the engine may register again")
	s.advance(s.r.cfg.ReregistrationGrace)
	s.step(Tick{})
	require.Equal(t, 1, s.r.registry.Len())
}

// Guards against new requests to an engine that leaves, whose registration of before is in a restored store.
func TestLeavingEngineOfARestoredStore(t *testing.T) {
	s := newSessionInEra(t, "i1", fact(1, "config", "1"), fact(5, "engines/e0", "ready@7"), fact(6, "engines/e1", "ready@7"))
	s.step(KeysChanged{Facts: []replica.Fact{fact(replica.RevisionOf(1, 101), "engines/e0", "draining@7")}, AtRevision: replica.RevisionOf(1, 101)})
	s.step(KeysListed{Facts: []replica.Fact{fact(at(1), "config", "1"), fact(at(5), "engines/e0", "ready@7"), fact(at(6), "engines/e1", "ready@7")}, AtRevision: at(20)})
	for range 10 {
		require.Equal(t, fleet.EngineID("e1"), s.call("/get/x").Engine.ID)
		s.endAttempt(Completed)
	}
	inUse := func() int {
		engines := map[fleet.EngineID]bool{}
		for range 10 {
			engines[s.call("/get/x").Engine.ID] = true
			s.endAttempt(Completed)
		}
		return len(engines)
	}
	s.step(KeysChanged{Facts: []replica.Fact{fact(at(21), "engines/e0", "ready@8")}, AtRevision: at(21)})
	require.Equal(t, 2, inUse(), "another process of the engine is used")
	s.step(KeysChanged{Facts: []replica.Fact{fact(at(22), "engines/e1", "draining@7")}, AtRevision: at(22)})
	s.step(KeysChanged{Facts: []replica.Fact{fact(at(23), "engines/e1", "ready@7")}, AtRevision: at(23)})
	require.Equal(t, 1, inUse())
	s.advance(s.r.cfg.ReregistrationGrace)
	s.step(Tick{})
	require.Equal(t, 2, inUse(), "the store has settled, so that the registration holds")
}

// Guards against a configuration that only the instances in force know, while one that has started from a
// restored store keeps the older one.
func TestNewestConfigurationRepairsAnOlderOne(t *testing.T) {
	restored := []replica.Fact{fact(at(40), "config", "8"), fact(at(5), "engines/e0", "ready")}
	s := newSessionInEra(t, "i1", fact(90, "config", "11"), fact(5, "engines/e0", "ready"))
	s.step(KeysListed{Facts: append([]replica.Fact{}, restored...), AtRevision: at(60)})
	fresh := &session{t: t, r: New(Config{Instance: "i2", StoreDecoder: fakeDecoder{}})}
	fresh.step(KeysListed{Facts: append([]replica.Fact{}, restored...), AtRevision: at(60)})
	require.Equal(t, uint64(8), fresh.r.table.Version)
	s.link(1)
	fresh.link(1)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.FactsRequest{Buckets: fresh.r.replica.BucketDigests()}})
	for _, m := range s.sent(wire.KindStoreFacts) {
		fresh.step(PeerMessage{From: "i2", Incarnation: 1, Message: m.Message})
	}
	require.Equal(t, uint64(11), fresh.r.table.Version)
	require.Equal(t, s.r.replica.Digest(), fresh.r.replica.Digest())
}

// Guards against facts that a peer of an earlier release sends without the store's era.
func TestFactsWithoutAnEra(t *testing.T) {
	s := newSessionInEra(t, "i1", fact(1, "config", "1"), fact(5, "engines/e0", "ready"))
	s.link(1)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreFacts{Facts: []wire.StoreFact{
		{Key: "config", Revision: 101, Value: []byte("2")}, {Key: "engines/e1", Revision: 102, Value: []byte("ready")}, {Key: "engines/e0", Revision: 4, Deleted: true},
	}}})
	require.Equal(t, uint64(2), s.r.table.Version)
	require.Equal(t, 2, s.r.registry.Len())
}

// newFleetWithQuarantine returns a fleet that has written one quarantine to the store.
func newFleetWithQuarantine(t *testing.T) *messageFleet {
	f := newMessageFleet(t, 6, 64)
	f.members["i000"].answer(classPart)
	for _, id := range []fleet.InstanceID{"i001", "i002", "i003"} {
		require.True(t, f.crashWith(id, classPart, badPart))
		f.run(time.Second)
	}
	f.run(3 * time.Second)
	require.Len(t, f.stored, 1)
	return f
}

// Guards against a quarantine that is missing in a restored store, so that it is lost when all instances restart.
func TestQuarantineIsStoredAgainInARestoredStore(t *testing.T) {
	f := newFleetWithQuarantine(t)
	for key, value := range f.stored {
		for _, id := range f.ids {
			f.step(id, KeysChanged{Facts: []replica.Fact{{Key: key, Revision: 200, Value: value}}, AtRevision: 200})
			f.step(id, KeysChanged{Facts: []replica.Fact{{Key: key, Revision: 201, Deleted: true}}, AtRevision: 201})
		}
	}
	clear(f.stored)
	f.run(3 * time.Second)
	require.Empty(t, f.stored, "a key that has ended must not return")
	for _, id := range f.ids {
		f.step(id, KeysListed{Facts: []replica.Fact{fact(replica.RevisionOf(1, 20), "config", "1")}, AtRevision: replica.RevisionOf(1, 20)})
	}
	f.run(3 * time.Second)
	require.Len(t, f.stored, 1)
}

// Guards against facts of the era 0 that a peer of this release holds and that count as of the latest era.
func TestPeerWithFactsOfTheEraZero(t *testing.T) {
	session0 := func(id fleet.InstanceID, facts ...replica.Fact) *session {
		s := &session{t: t, r: New(Config{Instance: id, DataCentre: "dc", StoreDecoder: fakeDecoder{}, RetryReserve: 100})}
		s.step(Tick{})
		s.step(KeysListed{Facts: facts, AtRevision: 100})
		s.link(1)
		return s
	}
	era1 := func(n uint64) uint64 { return replica.RevisionOf(1, n) }
	// The peer has seen e0 at the revision 60 and does not read the store itself.
	peer := session0("i2", fact(1, "config", "1"), fact(60, "engines/e0", "ready@7"), fact(61, "engines/gone", "ready@7"))
	s := session0("i1", fact(1, "config", "1"), fact(60, "engines/e0", "ready@7"))
	s.step(KeysListed{Facts: []replica.Fact{fact(era1(1), "config", "1"), fact(era1(5), "engines/e0", "ready@7")}, AtRevision: era1(20)})
	s.advance(3 * time.Second)
	s.step(Tick{})

	peer.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.FactsRequest{Buckets: s.r.replica.BucketDigests()}})
	var sent []wire.StoreFact
	for _, m := range peer.sent(wire.KindStoreFacts) {
		sent = append(sent, m.Message.(*wire.StoreFacts).Facts...)
	}
	require.NotEmpty(t, sent)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreFacts{Facts: sent}})
	newest := s.r.replica.NewestRevision()
	s.step(KeysChanged{Facts: []replica.Fact{fact(era1(22), "engines/e0", "draining@7")}, AtRevision: era1(22)})
	e, _ := s.r.registry.Get("e0")
	require.True(t, e.Draining, "the engine has reported that it leaves")
	require.Equal(t, era1(5), newest, "facts of before the restore are older")
}

// Guards against an engine whose address belongs to another one and that gets requests again once the store has settled.
func TestExpelledEngineOfARestoredStore(t *testing.T) {
	engines := func(era uint64) []replica.Fact {
		return []replica.Fact{fact(replica.RevisionOf(era, 1), "config", "1"), fact(replica.RevisionOf(era, 5), "engines/e0", "ready"), fact(replica.RevisionOf(era, 6), "engines/e1", "ready")}
	}
	s := newSessionInEra(t, "i1", fact(1, "config", "1"), fact(5, "engines/e0", "ready"), fact(6, "engines/e1", "ready"))
	s.step(KeysListed{Facts: engines(2), AtRevision: at(20)})
	s.advance(s.r.cfg.ReregistrationGrace - time.Second)
	s.step(Tick{})
	expelled := s.call("/get/x").Engine.ID
	s.endAttempt(Misdirected)
	s.endAttempt(Completed)
	_, known := s.r.registry.Get(expelled)
	require.False(t, known)
	s.advance(1100 * time.Millisecond)
	s.step(Tick{})
	_, known = s.r.registry.Get(expelled)
	require.False(t, known, "the expulsion lasts 4 s")
}

// Guards against an older configuration that stays at an instance that started from a restored store, because the
// copy's newest revision is that of its configuration: peers, which ignore it, seem to know less.
func TestOlderConfigurationWithTheNewestRevision(t *testing.T) {
	restored := []replica.Fact{fact(at(40), "config", "8"), fact(at(5), "engines/e0", "ready")}
	s := newSessionInEra(t, "i1", fact(90, "config", "11"), fact(5, "engines/e0", "ready"))
	s.step(KeysListed{Facts: append([]replica.Fact{}, restored...), AtRevision: at(60)})
	fresh := &session{t: t, r: New(Config{Instance: "i2", StoreDecoder: fakeDecoder{}})}
	fresh.step(KeysListed{Facts: append([]replica.Fact{}, restored...), AtRevision: at(60)})
	s.link(1)
	fresh.link(1)
	asked := false
	for range 20 {
		s.advance(time.Second)
		fresh.advance(time.Second)
		s.step(Tick{})
		for _, m := range s.sent(wire.KindStatusReport) {
			fresh.step(PeerMessage{From: "i2", Incarnation: 1, Message: m.Message})
			asked = asked || len(fresh.sent(wire.KindFactsRequest)) > 0
		}
	}
	require.True(t, asked, "the peer holds a newer configuration")
}

// Guards against a quarantine that is in the copy and that the watchers try to write again and again.
func TestQuarantineInTheCopyIsNotWrittenAgain(t *testing.T) {
	f := newFleetWithQuarantine(t)
	for key, value := range f.stored {
		for _, id := range f.ids {
			f.step(id, KeysChanged{Facts: []replica.Fact{{Key: key, Revision: 200, Value: value}}, AtRevision: 200})
			f.step(id, KeysListed{Facts: []replica.Fact{fact(replica.RevisionOf(1, 20), "config", "1"), {Key: key, Revision: replica.RevisionOf(1, 21), Value: value}}, AtRevision: replica.RevisionOf(1, 21)})
		}
	}
	clear(f.stored)
	f.run(3 * time.Second)
	require.Empty(t, f.stored, "the key is in the store")
}
