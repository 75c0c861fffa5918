package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

// Guards against a peer that does not learn that an engine leaves, and against a departure that is told
// again with every report.
func TestPeersLearnThatAnEngineLeaves(t *testing.T) {
	s := newSession(t, 3)
	s.link(1)
	leaving := s.call("/get/x").Engine.ID
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, Report: &EngineReport{Leaving: true, Confirmed: true}})
	s.advance(minStatusReportInterval)
	s.step(Tick{})
	report := s.sent(wire.KindStatusReport)[0].Message.(*wire.StatusReport)
	require.Equal(t, leaving, report.Leaving[0].Engine)
	s.advance(2 * statusReportInterval)
	s.step(Tick{})
	require.Empty(t, s.sent(wire.KindStatusReport)[0].Message.(*wire.StatusReport).Leaving)
	s.step(PeerUp{Instance: "i9", Incarnation: 1})
	require.Len(t, s.sent(wire.KindStatusReport)[0].Message.(*wire.StatusReport).Leaving, 1, "a new peer learns it too")

	peer := newSession(t, 3)
	peer.link(1)
	peer.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StatusReport{Sequence: 2, Leaving: report.Leaving}})
	for range 50 {
		require.NotEqual(t, leaving, peer.call("/get/x").Engine.ID)
		peer.endAttempt(Completed)
	}
}

// Guards against a departure that a new list of the store, or a pool that is built again, makes forgotten,
// and against one that keeps the engine's next registration from being used.
func TestDepartureOutlastsTheStore(t *testing.T) {
	s := newSession(t, 1)
	s.call("/get/x")
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, Report: &EngineReport{Leaving: true, Confirmed: true}})
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/new", Revision: 200, Value: []byte("ready")}}, AtRevision: 200})
	require.Equal(t, fleet.EngineID("new"), s.call("/get/x").Engine.ID)
	s.endAttempt(Completed)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/new", Revision: 201, Deleted: true}}, AtRevision: 201})
	s.last++
	s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/get/x", Arrived: s.now}})
	require.Equal(t, NotRun, must[Refuse](s).Refusal)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e0", Revision: 202, Deleted: true}}, AtRevision: 202})
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e0", Revision: 203, Value: []byte("ready")}}, AtRevision: 203})
	require.Equal(t, fleet.EngineID("e0"), s.call("/get/x").Engine.ID, "fakeDecoder gives no start time, so this may be another process")
}

// Guards against a wave of requests at the other engines when several want none, and at those when their
// times end together.
func TestQuietEnginesPushNoWave(t *testing.T) {
	for _, path := range []string{"/plan/x", "/get/x"} {
		t.Run(path, func(t *testing.T) { checkNoWave(t, path) })
	}
}

func checkNoWave(t *testing.T, path string) {
	const (
		engines, instances = 20, 12
		interval, duration = 2 * time.Millisecond, 100 * time.Millisecond
		quietFrom          = time.Second
		quietTime          = time.Second
	)
	sessions := make([]*session, instances)
	for i := range sessions {
		sessions[i] = newSession(t, engines)
		sessions[i].last = CallID(i * 1_000_000) // Each instance has other prompts.
		*sessions[i].r.rng = *rand.New(rand.NewPCG(uint64(i), 1))
	}
	isQuiet := func(id fleet.EngineID) bool { return id < "e15" && len(id) == 3 } // e10 to e14
	load := make(map[fleet.EngineID]int)
	mostBefore, most := 0, 0
	arrivals := make(map[fleet.EngineID]int)
	ends := make(map[time.Duration]func())
	for now := time.Duration(0); now < 4*time.Second; now += interval {
		if end := ends[now]; end != nil {
			end()
		}
		s := sessions[int(now/interval)%instances]
		s.now = now
		s.step(Tick{})
		send := s.call(path)
		for now >= quietFrom && now < quietFrom+quietTime && isQuiet(send.Engine.ID) {
			s.step(AttemptEnded{Call: s.last, Outcome: Rejected, Report: &EngineReport{QuietFor: quietFrom + quietTime - now}})
			send = must[Send](s)
		}
		id, call := send.Engine.ID, s.last
		load[id]++
		if now < quietFrom {
			mostBefore = max(mostBefore, load[id])
		}
		most = max(most, load[id])
		if now >= quietFrom+quietTime && now < quietFrom+quietTime+500*time.Millisecond {
			arrivals[id]++
		}
		ends[now+duration] = func() {
			load[id]--
			s.now = now + duration
			s.step(AttemptEnded{Call: call, Outcome: Completed, FirstByte: time.Millisecond})
		}
	}
	// The 15 others carry a third more than before. Requests that came in one wave to the next engine in
	// order would add those of a whole engine to a single one.
	require.LessOrEqual(t, most, mostBefore*2, "load of the busiest engine")
	for id, n := range arrivals {
		// Half a second brings 12.5 requests to each engine.
		require.LessOrEqual(t, n, 30, "arrivals at %s after the end", id)
	}
}

// Guards against the word of an engine's earlier process that keeps its next one, under the same id, from being
// used.
func TestNoticeBelongsToTheProcessThatWasAsked(t *testing.T) {
	s := newSession(t, 1)
	first := s.call("/get/x").Engine.ID
	engine, _ := s.r.registry.Get(first)
	engine.StartedAtMillis = 77
	s.r.registry.Put(s.now, engine)
	s.r.rebuildPools()
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, Report: &EngineReport{Leaving: true, Confirmed: true}})
	require.Equal(t, first, s.call("/get/x").Engine.ID)
}
