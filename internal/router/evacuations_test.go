package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/registry"
	"github.com/bilberrywell/bilberrywell/replica"
)

// evacuationBound is the time within which an evacuation is in force: half of what operators are promised.
const evacuationBound = 2500 * time.Millisecond

// newEvacuationSession returns a session with two engines in data centre "a" and two in "b".
func newEvacuationSession(t *testing.T) *session {
	s := newSession(t, 0)
	var facts []replica.Fact
	for i, id := range []string{"e0.a", "e1.a", "e2.b", "e3.b"} {
		facts = append(facts, replica.Fact{Key: "engines/" + id, Revision: uint64(110 + i), Value: []byte("ready")})
	}
	s.step(KeysChanged{Facts: facts, AtRevision: 120})
	return s
}

func (s *session) evacuate(dc, value string, revision uint64) {
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "evacuate/" + dc, Revision: revision, Value: []byte(value)}}, AtRevision: revision})
}

func (s *session) takeBack(dc string, revision uint64) {
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "evacuate/" + dc, Revision: revision, Deleted: true}}, AtRevision: revision})
}

// dataCentres returns those whose engines get the first attempts of a number of requests.
func (s *session) dataCentres(requests int) map[fleet.DataCentre]int {
	counts := map[fleet.DataCentre]int{}
	for range requests {
		counts[s.call("/chat/x").Engine.DataCentre]++
		s.endAttempt(Completed)
	}
	return counts
}

// Guards against requests to engines of an evacuated data centre, and against a data centre that stays unused after
// it was taken back.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	s := newEvacuationSession(t)
	require.Len(t, s.dataCentres(100), 2)
	s.evacuate("a", "{}", 200)
	require.Equal(t, "data_centre_evacuated", must[Decision](s).Kind)
	require.Equal(t, map[fleet.DataCentre]int{"b": 100}, s.dataCentres(100))
	require.Equal(t, 2, s.r.Stats(s.now).Services[0].Evacuated)
	s.takeBack("a", 201)
	require.Len(t, s.dataCentres(100), 2)
}

// Guards against further attempts, resumed streams and replacements of stalled attempts that go to an evacuated data
// centre because their request began before.
func TestNoFurtherAttemptInAnEvacuatedDataCentre(t *testing.T) {
	for _, outcome := range []Outcome{Rejected, Errored, Broken, Stalled} {
		s := newEvacuationSession(t)
		first := s.call("/chat/x").Engine.DataCentre
		other := fleet.DataCentre("b")
		if first == "b" {
			other = "a"
		}
		s.evacuate(string(other), "{}", 200)
		s.step(AttemptEnded{Call: s.last, Outcome: outcome, Delivered: outcome == Broken})
		require.Equal(t, first, must[Send](s).Engine.DataCentre, outcome.String())
	}
	s := newEvacuationSession(t)
	for range 30 {
		s.call("/chat/x")
		s.advance(10 * time.Millisecond)
		s.step(AttemptEnded{Call: s.last, Outcome: Completed, FirstByte: 10 * time.Millisecond})
	}
	send := s.call("/chat/x")
	s.step(AttemptStalled{Call: s.last, Engine: send.Engine.ID})
	replacement, ok := sentBeside(s)
	require.True(t, ok)
	s.evacuate(string(replacement.Engine.DataCentre), "{}", 200)
	s.step(AttemptEnded{Call: s.last, Engine: replacement.Engine.ID, Outcome: Rejected})
	s.step(AttemptStalled{Call: s.last, Engine: send.Engine.ID})
	if next, sent := find[Send](s); sent {
		require.NotEqual(t, replacement.Engine.DataCentre, next.Engine.DataCentre)
	}
	s.endAttempt(Stalled)
	if next, sent := find[Send](s); sent {
		require.NotEqual(t, replacement.Engine.DataCentre, next.Engine.DataCentre)
	}
}

// Guards against running streams that are broken off when their engine's data centre is evacuated.
func TestEvacuationLeavesRunningStreamsAlone(t *testing.T) {
	s := newEvacuationSession(t)
	s.evacuate(string(s.call("/chat/x").Engine.DataCentre), "{}", 200)
	for _, e := range s.out {
		require.NotContains(t, []string{"router.EndStalledAttempt", "router.EndUnansweredAttempt", "router.Refuse", "router.DropIdleConns"}, fmt.Sprintf("%T", e))
	}
	s.endAttempt(Completed)
	require.True(t, must[Release](s).Complete)
}

// Guards against requests that wait, or are told to return at once, when all engines of their service are evacuated,
// and against a refusal that the request has not run after an engine had it.
func TestServiceWithoutEngineOutsideEvacuatedDataCentres(t *testing.T) {
	s := newEvacuationSession(t)
	running := s.call("/chat/x")
	s.evacuate("a", "{}", 200)
	s.evacuate("b", "{}", 201)
	s.step(AttemptEnded{Call: s.last, Outcome: Broken})
	require.Equal(t, MayHaveRun, must[Refuse](s).Refusal, "it ran at %s", running.Engine.ID)
	s.last++
	s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/get/x", Arrived: s.now}})
	refusal := must[Refuse](s)
	require.Equal(t, NotRun, refusal.Refusal)
	require.Equal(t, "evacuated", refusal.Code)
	require.GreaterOrEqual(t, refusal.RetryAfter, evacuatedRetryAfter)
	require.Less(t, refusal.RetryAfter, evacuatedRetryAfter+evacuatedRetrySpread)
}

// Guards against odd entries that are followed as if they named a data centre, or that stop the following of others.
func TestOddEvacuations(t *testing.T) {
	s := newEvacuationSession(t)
	s.evacuate("", "{}", 200)
	s.evacuate("nowhere", "{}", 201)
	require.Len(t, s.dataCentres(50), 2)
	s.evacuate("a", "not json", 202)
	require.Len(t, s.dataCentres(50), 1, "the key is the order")
	s.takeBack("a", 203)
	s.takeBack("a", 204)
	require.Len(t, s.dataCentres(50), 2)
	require.Equal(t, []fleet.DataCentre{"nowhere"}, s.r.evacuatedDataCentres())
}

// Guards against an engine that registers during the evacuation of its data centre and gets requests.
func TestEngineThatJoinsAnEvacuatedDataCentre(t *testing.T) {
	s := newEvacuationSession(t)
	s.evacuate("c", "{}", 200)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e9.c", Revision: 210, Value: []byte("ready")}}, AtRevision: 210})
	require.NotContains(t, s.dataCentres(100), fleet.DataCentre("c"))
}

// Guards against an evacuation that instances follow too late because those that read the store for them are lost
// just then, and against one that an instance which starts during it does not follow.
func TestEvacuationIsInForceInTimeWhenReadersAreLost(t *testing.T) {
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			for _, size := range []struct{ instances, engines int }{{7, 4}, {82, 94}} {
				f := newStoreFleet(t, size.instances, size.engines)
				undisturbed := f.lose(0, loss)
				f.store.put("evacuate/dc", "{}")
				began := f.now
				lacking := func(id fleet.InstanceID) bool { return !f.members[id].s.r.evacuated("dc") }
				for slices.ContainsFunc(undisturbed, lacking) {
					f.run(fleetStep)
					require.Less(t, f.now-began, evacuationBound, "%d instances", size.instances)
				}
				restarted := undisturbed[0]
				for peer := range f.members[restarted].links {
					f.close(restarted, peer)
				}
				f.start(restarted)
				f.run(time.Second)
				require.False(t, lacking(restarted), "instance that starts during an evacuation")
			}
		})
	}
}

// Guards against an evacuation that a restored store, which lacks it for a moment, ends for that time.
func TestEvacuationOutlivesARestoredStore(t *testing.T) {
	s := newEvacuationSession(t)
	s.evacuate("a", "{}", 200)
	list := s.r.replica.All()
	list = slices.DeleteFunc(list, func(f replica.Fact) bool { return f.Key == "evacuate/a" })
	for i := range list {
		list[i].Revision = replica.RevisionOf(1, replica.Number(list[i].Revision))
	}
	s.step(KeysListed{Facts: list, AtRevision: replica.RevisionOf(1, 150)})
	require.NotContains(t, s.dataCentres(50), fleet.DataCentre("a"))
	s.evacuate("a", "{}", replica.RevisionOf(1, 160))
	s.advance(3 * time.Second)
	s.step(Tick{})
	require.NotContains(t, s.dataCentres(50), fleet.DataCentre("a"))
	s.takeBack("a", replica.RevisionOf(1, 170))
	require.Contains(t, s.dataCentres(50), fleet.DataCentre("a"))
}

// Guards against an evacuation that is lost before the first configuration, or for an engine that was expelled meanwhile.
func TestEvacuationBeforeTheConfigurationAndAfterAnExpulsion(t *testing.T) {
	s := &session{t: t, r: New(Config{Instance: "i1", DataCentre: "dc", StoreDecoder: fakeDecoder{}, RetryReserve: 100})}
	s.step(Tick{})
	s.step(KeysListed{Facts: []replica.Fact{{Key: "engines/e0.a", Revision: 2, Value: []byte("ready")}, {Key: "evacuate/a", Revision: 3, Value: []byte("{}")}}, AtRevision: 100})
	require.Equal(t, EngineUnconfigured, s.r.EngineStates(s.now).Engines[0].State)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "config", Revision: 101, Value: []byte("1")}, {Key: "engines/e1.b", Revision: 102, Value: []byte("ready")}}, AtRevision: 102})
	require.Equal(t, map[fleet.DataCentre]int{"b": 50}, s.dataCentres(50))
	s.r.expel("e0.a")
	s.advance(expulsionPeriod + time.Second)
	s.step(Tick{})
	require.Len(t, s.r.EngineStates(s.now).Engines, 2, "readmitted")
	require.Equal(t, map[fleet.DataCentre]int{"b": 50}, s.dataCentres(50))
	s.takeBack("a", 200)
	require.Len(t, s.dataCentres(50), 2)
}

// movableDecoder reads the data centre of an engine from its registration.
type movableDecoder struct{ fakeDecoder }

func (d movableDecoder) Engine(key string, value []byte) (registry.Engine, error) {
	e, err := d.fakeDecoder.Engine(key, []byte("ready"))
	e.DataCentre = fleet.DataCentre(value)
	return e, err
}

// Guards against an engine whose registration moves it out of an evacuated data centre, or into one, and that is treated
// as before.
func TestEngineThatChangesItsDataCentreDuringAnEvacuation(t *testing.T) {
	s := &session{t: t, r: New(Config{Instance: "i1", DataCentre: "dc", StoreDecoder: movableDecoder{}, RetryReserve: 100})}
	s.step(Tick{})
	facts := []replica.Fact{{Key: "config", Revision: 1, Value: []byte("1")}, {Key: "evacuate/a", Revision: 2, Value: []byte("{}")}}
	s.step(KeysListed{Facts: facts, AtRevision: 100})
	for i, where := range [][2]string{{"a", "b"}, {"b", "a"}, {"b", "b"}, {"a", "b"}} {
		revision := uint64(110 + 10*i)
		s.step(KeysChanged{Facts: []replica.Fact{
			{Key: "engines/e0", Revision: revision, Value: []byte(where[0])}, {Key: "engines/e1", Revision: revision + 1, Value: []byte(where[1])},
		}, AtRevision: revision + 1})
		require.Equal(t, map[fleet.DataCentre]int{"b": 50}, s.dataCentres(50))
		evacuated := 0
		for _, dc := range where {
			if dc == "a" {
				evacuated++
			}
		}
		require.Equal(t, evacuated, s.r.Stats(s.now).Services[0].Evacuated)
	}
}
