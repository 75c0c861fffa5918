package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/versions"
)

// Guards against one answer of two versions: an engine of another version was chosen for a silent attempt before the first
// event, which then reached the caller.
func TestReplacementChosenBeforeTheFirstEvent(t *testing.T) {
	s := newVersionedSession(t, "v1", "v2")
	s.callAt("/chat/x", "v1")
	other := s.stall("e0", false).Engine.ID
	require.Equal(t, fleet.EngineID("e1"), other)
	s.step(FirstEventReceived{Call: s.last, Engine: "e0"})
	s.step(AttemptEnded{Call: s.last, Engine: other, Outcome: Superseded, Delivered: true})
	s.requireNotSent()
	s.step(AttemptEnded{Call: s.last, Engine: "e0", Outcome: Broken, Delivered: true})
	s.requireNotSent()
	require.Equal(t, MayHaveRun, must[Refuse](s).Refusal)
}

// Guards against an origin that is taken from the attempt that ended first, and not from the one that began the stream.
func TestReplacementBeginsTheStream(t *testing.T) {
	s := newVersionedSession(t, "v1", "v2", "v2")
	s.callAt("/chat/x", "v1")
	other := s.stall("e0", false)
	require.Equal(t, fleet.EngineVersion("v2"), other.Engine.Version)
	s.step(AttemptEnded{Call: s.last, Engine: "e0", Outcome: Stalled, Delivered: true})
	s.step(FirstEventReceived{Call: s.last, Engine: other.Engine.ID})
	s.step(AttemptEnded{Call: s.last, Engine: other.Engine.ID, Outcome: Broken, Delivered: true})
	origin, known := s.r.streams.memory.Lookup(s.now, versions.KeyOf(fmt.Sprint(s.last)))
	require.True(t, known)
	require.Equal(t, fleet.EngineVersion("v2"), origin.Version)
}

// Guards against the same while the owner of a rate limit is asked.
func TestOwnerAdmitsAfterTheFirstEvent(t *testing.T) {
	s := newVersionedSession(t, "v1", "v2")
	s.link(1)
	s.callAt("/chat/x", "v1")
	s.r.pools["s"].engines.SetRate(s.now, "e1", placement.RateBound{Rate: 1, Burst: 1, Owner: "i2"})
	s.step(AttemptStalled{Call: s.last, Engine: "e0"})
	require.Len(t, s.r.tokens.pending, 1)
	s.step(FirstEventReceived{Call: s.last, Engine: "e0"})
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.EngineTokenReply{ID: s.r.tokens.lastID, Admitted: true}})
	s.requireNotSent()
}

// Guards against events of two versions of a service in a stream that another service began before a configuration moved
// its route: the origin is still that of the former service.
func TestStreamThatMovesToAnotherService(t *testing.T) {
	s := newVersionedSession(t, "v1", "v2")
	for range 20 {
		stream := versions.StreamKey(s.last + 1)
		s.r.streams.memory.Record(s.now, stream, versions.Origin{Service: "former", Version: "v0"}, true)
		s.takeUp(stream)
		if refuse, refused := find[Refuse](s); refused {
			require.Equal(t, NotRun, refuse.Refusal)
			continue
		}
		first := must[Send](s).Engine.Version
		s.step(FirstEventReceived{Call: s.last, Engine: "e0"})
		s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
		if again, sent := find[Send](s); sent {
			require.Equal(t, first, again.Engine.Version)
			s.step(AttemptEnded{Call: s.last, Outcome: CallerLeft})
		}
	}
}

// Guards against streams that begin at a version that nobody has recorded beside a version that serves: the latter was
// used at once because it was the only one, and has not settled yet.
func TestThirdVersionWaitsWhileTheSecondSettles(t *testing.T) {
	s := newVersionedSession(t, "v1")
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e0", Revision: 301, Deleted: true}, {Key: "engines/e1", Revision: 302, Value: []byte("ready#v2")}}, AtRevision: 302})
	s.advance(300 * time.Millisecond)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: versionsKey("s"), Revision: 303, Value: []byte(`{"usable":["v1"],"opening":["v2"]}`)}}, AtRevision: 303})
	s.advance(300 * time.Millisecond)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e2", Revision: 304, Value: []byte("ready#v3")}}, AtRevision: 304})
	for range 20 {
		require.Equal(t, fleet.EngineVersion("v2"), s.call("/chat/x").Engine.Version)
		s.endAttempt(CallerLeft)
	}
}

// Guards against a record that stays unreadable, and against an instance that takes it for none.
func TestUnreadableRecordIsWrittenAgain(t *testing.T) {
	s := newVersionedSession(t, "v1", "v2")
	s.step(KeysChanged{Facts: []replica.Fact{{Key: versionsKey("s"), Revision: 301, Value: []byte("no record")}}, AtRevision: 301})
	s.step(Tick{})
	written := must[ReplaceKey](s)
	require.Equal(t, ReplaceKey{Key: versionsKey("s"), Value: []byte(`{"usable":["v1","v2"]}`), Revision: 301}, written)
	s.takeUp(7)
	s.requireNotSent()
}

// Guards against a version that becomes usable in a large fleet while instances still trust an older copy of the record: the
// time was taken when the instance had no links.
func TestVersionOpensWhileOldCopiesAreTrusted(t *testing.T) {
	s := newVersionedSession(t, "v1")
	s.link(400)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e1", Revision: 301, Value: []byte("ready#v2")},
		{Key: versionsKey("s"), Revision: 302, Value: []byte(`{"usable":["v1"],"opening":["v2"]}`)}}, AtRevision: 302})
	_, early := s.r.openOf("s").Wanted(s.now + s.r.readSilenceLimit() - time.Millisecond)
	require.False(t, early)
}

// Guards against a few engines of the old version that get the whole load while most were replaced at once.
func TestMostEnginesAreReplacedAtOnce(t *testing.T) {
	s := newVersionedSession(t, "v1", "v1", "v1", "v1")
	facts := []replica.Fact{{Key: versionsKey("s"), Revision: 301, Value: []byte(`{"usable":["v1"],"opening":["v2"]}`)}}
	for i := range 4 {
		facts = append(facts, replica.Fact{Key: fmt.Sprintf("engines/n%d", i), Revision: uint64(302 + i), Value: []byte("ready#v2")})
	}
	began := func() map[fleet.EngineVersion]int {
		count := make(map[fleet.EngineVersion]int)
		for range 80 {
			count[s.call("/chat/x").Engine.Version]++
			s.endAttempt(CallerLeft)
		}
		return count
	}
	s.step(KeysChanged{Facts: facts, AtRevision: 310})
	require.Zero(t, began()["v2"])
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e0", Revision: 311, Value: []byte("draining#v1")}}, AtRevision: 311})
	require.NotZero(t, began()["v2"])
}

// Guards against an instance that starts while the record can't be read, takes it for none, and the version that is
// registered for the only one.
func TestUnreadableRecordIsNotTakenForNone(t *testing.T) {
	for value, known := range map[string]bool{"no record": false, `{"usable":["v1"]}`: true} {
		s := newSession(t, 0)
		s.step(KeysListed{Facts: []replica.Fact{
			{Key: "config", Revision: 201, Value: []byte("1")}, {Key: "engines/e0", Revision: 202, Value: []byte("ready#v1")},
			{Key: versionsKey("s"), Revision: 203, Value: []byte(value)},
		}, AtRevision: 210})
		s.takeUp(7)
		_, sent := find[Send](s)
		require.Equal(t, known, sent, value)
	}
}
