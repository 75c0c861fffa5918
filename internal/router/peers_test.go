package router

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

// link opens links to n peers named i2, i3 and so on.
func (s *session) link(n int) {
	for i := range n {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i+2))
		s.step(PeerUp{Instance: id, Incarnation: 1})
		s.step(PeerMessage{From: id, Incarnation: 1, Message: &wire.StatusReport{Sequence: 1, NewestRevision: s.r.replica.NewestRevision(), FactsDigest: s.r.replica.Digest()}})
	}
	s.step(Tick{})
}

func (s *session) sent(kind wire.Kind) []SendMessage {
	var list []SendMessage
	for _, e := range s.out {
		if m, ok := e.(SendMessage); ok && m.Message.Kind() == kind {
			list = append(list, m)
		}
	}
	return list
}

// Guards against a fleet in which every instance reads every change from the store, and against
// one in which nobody does.
func TestFewInstancesWatchTheStore(t *testing.T) {
	watching, intervals := 0, map[time.Duration]int{}
	for i := range 12 {
		s := newSession(t, 1)
		s.r.cfg.Instance = fleet.InstanceID(fmt.Sprintf("i%d", i+1))
		for j := range 12 {
			if j == i {
				continue
			}
			id := fleet.InstanceID(fmt.Sprintf("i%d", j+1))
			s.step(PeerUp{Instance: id, Incarnation: 1})
			s.step(PeerMessage{From: id, Incarnation: 1, Message: &wire.StatusReport{Sequence: 1}})
			s.step(PeerMessage{From: id, Incarnation: 1, Message: &wire.StoreRead{FactsDigest: s.r.replica.Digest()}})
		}
		s.step(Tick{})
		if s.r.store.watching {
			watching++
			intervals[minWatchInterval(s.r.store.rank)]++
		}
	}
	require.Equal(t, watcherCount, watching)
	require.Equal(t, map[time.Duration]int{firstWatchInterval: 1, laterWatchInterval: watcherCount - 1}, intervals)
}

// Guards against a watcher that keeps the pause of its former rank after the rank has changed.
func TestPauseFollowsTheRank(t *testing.T) {
	s := &session{t: t, r: New(Config{Instance: "i1", StoreDecoder: fakeDecoder{}})}
	s.step(Tick{})
	require.Equal(t, WatchStore{On: true, MinInterval: firstWatchInterval}, must[WatchStore](s))
	s.r.store.rank = 1
	s.step(Tick{})
	require.Equal(t, WatchStore{On: true, MinInterval: firstWatchInterval}, must[WatchStore](s))
	s.step(Tick{})
	_, again := find[WatchStore](s)
	require.False(t, again)
}

// Guards against many odd entries of a few kilobytes whose batch no peer can read, so that the other entries of
// the batch are lost with them.
func TestBatchesOfLargeEntriesCanBeRead(t *testing.T) {
	s := newSession(t, 1)
	s.link(40)
	s.r.store.rank = 0
	var facts []replica.Fact
	for i := range 600 {
		value := make([]byte, largeValueBytes-100)
		for j := range value {
			value[j] = byte(s.r.rng.Uint32())
		}
		facts = append(facts, replica.Fact{Key: fmt.Sprintf("engines/odd%d", i), Revision: uint64(200 + i), Value: value})
	}
	facts = append(facts, replica.Fact{Key: "engines/good", Revision: 900, Value: []byte("ready")})
	s.step(KeysChanged{Facts: facts, AtRevision: 900})
	checkBatches(t, s.sent(wire.KindStoreFacts), len(facts))
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.FactsRequest{Buckets: make([]uint64, replica.Buckets)}})
	checkBatches(t, s.sent(wire.KindStoreFacts), len(facts))
}

// checkBatches checks that a peer can read messages, and that they hold at least a number of facts.
func checkBatches(t *testing.T, messages []SendMessage, atLeast int) {
	keys := map[string]bool{}
	for _, m := range messages {
		frame, err := wire.Append(nil, m.Message)
		require.NoError(t, err)
		decoded, err := wire.Decode(frame)
		require.NoError(t, err)
		facts := decoded[0].(*wire.StoreFacts)
		for _, f := range facts.Facts {
			keys[f.Key] = true
		}
		if len(facts.Batch) > 0 {
			batch, err := wire.UnpackFacts(facts.Batch)
			require.NoError(t, err)
			for _, f := range batch {
				keys[f.Key] = true
			}
		}
	}
	require.GreaterOrEqual(t, len(keys), atLeast)
}

// Guards against an instance that leaves reading the store to other instances although they have lost it.
func TestWatchesWhenOthersLostTheStore(t *testing.T) {
	s := newSession(t, 1)
	s.link(10)
	s.r.cfg.Instance = "not-a-watcher-3"
	s.step(Tick{})
	for i := range 10 {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i+2))
		s.step(PeerMessage{From: id, Incarnation: 1, Message: &wire.StatusReport{Sequence: 2, StoreLost: true}})
	}
	s.step(Tick{})
	require.True(t, s.r.store.watching)
}

// Guards against a large configuration that one instance sends to the whole fleet.
func TestLargeValueTravelsAlongATree(t *testing.T) {
	s := newSession(t, 1)
	s.link(40)
	s.r.store.rank = 0
	large := []byte(strings.Repeat(" ", 20_000) + "9")
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "config", Revision: 300, Value: large}}, AtRevision: 300})
	sent := s.sent(wire.KindStoreFacts)[40:]
	require.Len(t, sent, fanout)
	reached := map[fleet.InstanceID]bool{}
	for _, m := range sent {
		facts := m.Message.(*wire.StoreFacts)
		require.True(t, facts.Facts[0].Packed)
		require.Less(t, len(facts.Facts[0].Value), 1000)
		reached[m.To] = true
		for _, id := range facts.RelayTo {
			reached[id] = true
		}
	}
	require.Len(t, reached, 40)
}

// Guards against a failed instance that keeps a configuration from others in a small fleet.
func TestSmallFleetsGetLargeValuesDirectly(t *testing.T) {
	s := newSession(t, 1)
	s.link(9)
	s.r.store.rank = 0
	large := []byte(strings.Repeat(" ", 20_000) + "9")
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "config", Revision: 300, Value: large}}, AtRevision: 300})
	sent := s.sent(wire.KindStoreFacts)[9:]
	require.Len(t, sent, 9)
	for _, m := range sent {
		require.Empty(t, m.Message.(*wire.StoreFacts).RelayTo)
	}
}

// Guards against a configuration that is lost when the first watcher fails, and against copies of it
// that instances forward endlessly.
func TestLaterWatchersRepeatTheTree(t *testing.T) {
	s := newSession(t, 1)
	s.link(20)
	s.r.store.rank = 1
	large := []byte(strings.Repeat(" ", 20_000) + "9")
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "config", Revision: 300, Value: large}}, AtRevision: 300})
	for _, m := range s.sent(wire.KindStoreFacts) {
		require.True(t, m.Message.(*wire.StoreFacts).Facts[0].ValueOmitted)
	}
	s.advance(backupTreeDelay)
	s.step(Tick{})
	started := s.sent(wire.KindStoreFacts)
	require.Len(t, started, fanout)
	other := newSession(t, 1)
	other.link(20)
	other.step(PeerMessage{From: "i2", Incarnation: 1, Message: started[0].Message})
	require.Len(t, other.sent(wire.KindStoreFacts), len(started[0].Message.(*wire.StoreFacts).RelayTo))
	require.Equal(t, uint64(9), other.r.table.Version)
}

// Guards against a large value that never arrives because its trees failed.
func TestOfferedValueIsAskedFor(t *testing.T) {
	s := newSession(t, 1)
	s.link(3)
	s.step(PeerMessage{From: "i3", Incarnation: 1, Message: &wire.StoreFacts{Facts: []wire.StoreFact{{Key: "config", Revision: 300, ValueOmitted: true}}}})
	s.step(Tick{})
	require.Empty(t, s.sent(wire.KindFactsRequest))
	s.advance(announcementTimeout)
	s.step(Tick{})
	asked := s.sent(wire.KindFactsRequest)
	require.Len(t, asked, 1)
	require.Equal(t, fleet.InstanceID("i3"), asked[0].To)
}

// Guards against one tree for each of many configurations in quick succession.
func TestQuickChangesShareTrees(t *testing.T) {
	s := newSession(t, 1)
	s.link(20)
	started := 0
	for i := range 20 {
		s.advance(50 * time.Millisecond)
		s.r.store.rank = 0 // each tick elects the watchers again
		large := []byte(strings.Repeat(" ", 20_000) + strconv.Itoa(10+i))
		s.step(KeysChanged{Facts: []replica.Fact{{Key: "config", Revision: uint64(300 + i), Value: large}}, AtRevision: uint64(300 + i)})
		for _, m := range s.sent(wire.KindStoreFacts) {
			if !m.Message.(*wire.StoreFacts).Facts[0].ValueOmitted {
				started++
			}
		}
		s.step(Tick{})
		started += len(s.sent(wire.KindStoreFacts))
	}
	require.LessOrEqual(t, started, 5*fanout)
	s.advance(minTreeInterval)
	s.step(Tick{})
	require.Len(t, s.sent(wire.KindStoreFacts), fanout, "the last one is not lost")
}

// Guards against a missed fact that is never repaired, and against an excess of repair requests.
func TestLastingDifferenceIsRepairedOnce(t *testing.T) {
	s := newSession(t, 1)
	s.link(20)
	asked := 0
	for round := range 20 {
		s.advance(100 * time.Millisecond)
		for i := range 20 {
			id := fleet.InstanceID(fmt.Sprintf("i%d", i+2))
			s.step(PeerMessage{From: id, Incarnation: 1, Message: &wire.StatusReport{Sequence: uint64(2 + round), NewestRevision: 500, FactsDigest: 42}})
			asked += len(s.sent(wire.KindFactsRequest))
		}
		if s.now < repairDelay {
			require.Zero(t, asked)
		}
	}
	require.Positive(t, asked)
	require.LessOrEqual(t, asked, 4)
}

// Guards against each watcher sending many simultaneous registrations to each instance, which delayed
// configurations by seconds, and against instances that don't receive them.
func TestManyFactsTravelAlongATree(t *testing.T) {
	s := newSession(t, 1)
	s.link(100)
	s.r.store.rank = 0
	var facts []replica.Fact
	for i := range 1200 {
		facts = append(facts, replica.Fact{Key: fmt.Sprintf("engines/new%d", i), Revision: uint64(500 + i), Value: []byte("ready")})
	}
	s.step(KeysChanged{Facts: facts, AtRevision: 1700})
	sent := s.sent(wire.KindStoreFacts)
	require.Len(t, sent, 3*fanout, "three parts of at most 500")
	reached := map[fleet.InstanceID]int{}
	for _, m := range sent {
		message := m.Message.(*wire.StoreFacts)
		require.Empty(t, message.Facts)
		require.Less(t, len(message.Batch), 12_000)
		for _, id := range append(message.RelayTo, m.To) {
			reached[id]++
		}
	}
	require.Len(t, reached, 100)
	other := newSession(t, 1)
	other.link(100)
	for _, m := range []int{0, fanout, 2 * fanout} {
		other.step(PeerMessage{From: "i2", Incarnation: 1, Message: sent[m].Message})
		require.NotEmpty(t, other.sent(wire.KindStoreFacts), "it is passed on")
	}
	require.Equal(t, s.r.replica.Digest(), other.r.replica.Digest())

	second := newSession(t, 1)
	second.link(100)
	second.r.store.rank = 1
	second.step(KeysChanged{Facts: facts[:700], AtRevision: 1200})
	require.Empty(t, second.sent(wire.KindStoreFacts))
	second.advance(backupTreeDelay)
	second.r.store.rank = 1
	second.step(KeysChanged{Facts: facts[700:701], AtRevision: 1201})
	require.Len(t, second.sent(wire.KindStoreFacts), 100+2*fanout, "one small fact goes to each, the others along trees")
}

// Guards against a repair that sends all facts of a large fleet for one that differs, and against a
// missed removal that is never repaired.
func TestRepairSendsOnlyWhatDiffers(t *testing.T) {
	behind, ahead := newSession(t, 300), newSession(t, 300)
	ahead.link(1)
	ahead.step(KeysChanged{Facts: []replica.Fact{
		{Key: "engines/e7", Revision: 900, Value: []byte("draining")}, {Key: "engines/e8", Revision: 901, Deleted: true},
	}, AtRevision: 901})
	request := &wire.FactsRequest{Buckets: behind.r.replica.BucketDigests()}
	ahead.step(PeerMessage{From: "i2", Incarnation: 1, Message: request})
	reply := ahead.sent(wire.KindStoreFacts)[0].Message.(*wire.StoreFacts)
	require.Less(t, len(reply.Facts), 40)
	behind.link(1)
	behind.step(PeerMessage{From: "i2", Incarnation: 1, Message: reply})
	require.Equal(t, ahead.r.replica.Digest(), behind.r.replica.Digest())
	require.Equal(t, 299, behind.r.registry.Len())
	ahead.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.FactsRequest{Buckets: behind.r.replica.BucketDigests()}})
	require.Empty(t, ahead.sent(wire.KindStoreFacts), "nothing differs any more")
}

// Guards against a restarted instance that sends its first list to the whole fleet.
func TestFirstListIsNotRelayed(t *testing.T) {
	s := &session{t: t, r: New(Config{Instance: "i1", StoreDecoder: fakeDecoder{}})}
	s.link(5)
	s.step(KeysListed{Facts: []replica.Fact{{Key: "engines/e1", Revision: 2, Value: []byte("ready")}}, AtRevision: 9})
	require.Empty(t, s.sent(wire.KindStoreFacts))
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e2", Revision: 10, Value: []byte("ready")}}, AtRevision: 10})
	require.Len(t, s.sent(wire.KindStoreFacts), 5)
}

// Guards against load of other instances that is ignored, or kept after their link has closed.
func TestLoadOfOthersCounts(t *testing.T) {
	s := newSession(t, 2)
	s.link(1)
	chat := func() fleet.EngineID {
		s.step(CallArrived{Call: Call{ID: 70, Host: "h", Path: "/chat/x", Prompt: 1, Arrived: s.now}})
		id := must[Send](s).Engine.ID
		s.step(AttemptEnded{Call: 70, Outcome: Completed})
		return id
	}
	first := chat()
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StatusReport{Sequence: 9, NewestRevision: s.r.replica.NewestRevision(), FactsDigest: s.r.replica.Digest(),
		Running: []wire.EngineCount{{Engine: fleet.TagOf(first), Count: 30}}}})
	for range 5 {
		require.NotEqual(t, first, chat())
	}
	s.step(PeerDown{Instance: "i2", Incarnation: 1})
	require.Equal(t, first, chat())
}

// Guards against heartbeats of engines that are relayed to every instance.
func TestHeartbeatsAreNotRelayed(t *testing.T) {
	s := newSession(t, 3)
	s.link(2)
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e1", Revision: 200, Value: []byte("ready")}}, AtRevision: 200})
	require.Empty(t, s.sent(wire.KindStoreFacts))
	s.step(KeysChanged{Facts: []replica.Fact{{Key: "engines/e1", Revision: 201, Value: []byte("draining")}}, AtRevision: 201})
	require.Len(t, s.sent(wire.KindStoreFacts), 2)
}

// Guards against prompts that are processed again because only the instance that sent them to another
// engine knows which engine has their cache.
func TestPeersKnowWhereAPromptWasRead(t *testing.T) {
	a, b := newSession(t, 9), newSession(t, 9)
	for _, s := range []*session{a, b} {
		s.link(1)
	}
	arrive := func(s *session, id CallID) Send {
		s.step(CallArrived{Call: Call{ID: id, Host: "h", Path: "/chat/x", Prompt: 1, Arrived: s.now}})
		return must[Send](s)
	}
	home := arrive(b, 60).Engine.ID
	b.step(AttemptEnded{Call: 60, Outcome: Completed})

	a.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StatusReport{Sequence: 9, NewestRevision: a.r.replica.NewestRevision(), FactsDigest: a.r.replica.Digest(),
		Running: []wire.EngineCount{{Engine: fleet.TagOf(home), Count: 8}}}})
	away := arrive(a, 61).Engine
	require.NotEqual(t, home, away.ID)
	a.step(ResponseStarted{Call: 61})
	a.advance(minStatusReportInterval)
	a.step(Tick{})
	report := a.sent(wire.KindStatusReport)[0].Message.(*wire.StatusReport)
	require.Equal(t, []wire.PromptLocation{{Prompt: 1, Engine: away.ID}}, report.Prompts)
	a.advance(statusReportInterval)
	a.step(Tick{})
	require.Empty(t, a.sent(wire.KindStatusReport)[0].Message.(*wire.StatusReport).Prompts, "reported once")

	report.Sequence, report.Running = 9, nil
	b.step(PeerMessage{From: "i2", Incarnation: 1, Message: report})
	next := arrive(b, 62)
	require.Equal(t, home, next.Engine.ID)
	require.Equal(t, away.Addr, next.FetchFrom)
}

// Guards against status reports that grow without bound in a surge of prompts.
func TestPromptsInAStatusReportAreBounded(t *testing.T) {
	s := newSession(t, 9)
	s.r.members.reportMovedPrompt(1, "e1")
	require.Empty(t, s.r.members.movedPrompts, "no peer is linked")
	s.link(1)
	for i := range 2 * maxPrompts {
		s.r.members.reportMovedPrompt(uint64(i), "e1")
	}
	require.Len(t, s.r.members.movedPrompts, maxPrompts)
}

// Guards against an instance that lost the store, is no longer a watcher, and suspends forever the
// removals that peers relay.
func TestRemovalsCountAgainWhenPeersReadTheStore(t *testing.T) {
	s := newSession(t, 2)
	s.step(StoreLost{Err: errors.New("reset")})
	s.link(10)
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreRead{FactsDigest: s.r.replica.Digest()}})
	s.advance(3 * time.Second)
	s.step(Tick{})
	s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StoreFacts{Facts: []wire.StoreFact{{Key: "engines/e0", Revision: 200, Deleted: true}}}})
	for range 10 {
		require.Equal(t, fleet.EngineID("e1"), s.call("/get/x").Engine.ID)
		s.endAttempt(Completed)
	}
}
