package router

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/versions"
)

// newVersionedSession returns a session with one engine of each version given, and a record of all of them. The ids are
// e0, e1 and so on.
func newVersionedSession(t *testing.T, engines ...fleet.EngineVersion) *session {
	s := newSession(t, 0)
	recorded := slices.Compact(slices.Sorted(slices.Values(engines)))
	facts := []replica.Fact{{Key: versionsKey("s"), Revision: 101, Value: fmt.Appendf(nil, `{"usable":["%s"]}`, joinVersions(recorded))}}
	for i, v := range engines {
		facts = append(facts, replica.Fact{Key: fmt.Sprintf("engines/e%d", i), Revision: uint64(102 + i), Value: []byte("ready#" + string(v))})
	}
	s.step(KeysChanged{Facts: facts, AtRevision: 150})
	return s
}

func joinVersions(list []fleet.EngineVersion) string {
	text := ""
	for _, v := range list {
		text = strings.TrimPrefix(text+`","`+string(v), `","`)
	}
	return text
}

func (s *session) removeVersion(v fleet.EngineVersion) {
	var facts []replica.Fact
	for _, e := range s.r.registry.Service("s") {
		if e.Version == v {
			facts = append(facts, replica.Fact{Key: "engines/" + string(e.ID), Revision: 300, Deleted: true})
		}
	}
	s.step(KeysChanged{Facts: facts, AtRevision: 300})
}

// callAt sends requests until one runs at a version, and ends the others. The id of a request is that of its call.
func (s *session) callAt(path string, v fleet.EngineVersion) Send {
	for range 100 {
		s.last++
		s.step(CallArrived{Call: Call{ID: s.last, RequestID: fmt.Sprint(s.last), Host: "h", Path: path, Prompt: fleet.ChatKey(s.last), Arrived: s.now}})
		if send := must[Send](s); send.Engine.Version == v {
			return send
		}
		s.endAttempt(CallerLeft)
	}
	s.t.Fatalf("no request runs at %s", v)
	return Send{}
}

// takeUp requests the rest of a stream.
func (s *session) takeUp(stream versions.StreamKey) {
	s.last++
	s.step(CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/chat/x", Prompt: fleet.ChatKey(s.last), Resumes: true, Stream: stream, Arrived: s.now}})
}

func (s *session) requireNotSent() {
	s.t.Helper()
	_, sent := find[Send](s)
	require.False(s.t, sent)
}

// Guards against one answer with events of two versions, and against a request that is refused although any version may
// still begin it.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for range 20 {
		s := newVersionedSession(t, "v1", "v1", "v2", "v2", "v2")
		first := s.callAt("/chat/x", "v1")
		s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
		second := must[Send](s)
		require.Equal(t, fleet.EngineVersion("v1"), second.Engine.Version)
		require.NotEqual(t, first.Engine.ID, second.Engine.ID)
	}
	s := newVersionedSession(t, "v1", "v2")
	s.callAt("/chat/x", "v1")
	s.step(AttemptEnded{Call: s.last, Outcome: Broken})
	require.Equal(t, fleet.EngineVersion("v2"), must[Send](s).Engine.Version, "its caller has no event")
	s.step(AttemptEnded{Call: s.last, Outcome: CallerLeft})

	s.callAt("/chat/x", "v1")
	s.step(FirstEventReceived{Call: s.last})
	s.step(AttemptStalled{Call: s.last, Engine: "e0", Delivered: true})
	_, ended := find[EndStalledAttempt](s)
	require.False(t, ended, "no other engine can go on")
	s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
	s.requireNotSent()
	require.Equal(t, MayHaveRun, must[Refuse](s).Refusal)

	s = newVersionedSession(t, "v1", "v1", "v2")
	s.callAt("/chat/x", "v1")
	s.removeVersion("v1")
	s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
	s.requireNotSent()
	require.Equal(t, Refuse{Call: s.last, Refusal: MayHaveRun, Code: "stream_version_gone"}, must[Refuse](s))
}

// Guards against the rest of a stream from another version than the one that began it, and against a refusal although the
// version is known.
func TestRestOfAKnownStream(t *testing.T) {
	s := newVersionedSession(t, "v1", "v2", "v2", "v2")
	s.callAt("/chat/x", "v1")
	stream := versions.KeyOf(fmt.Sprint(s.last))
	s.step(FirstEventReceived{Call: s.last})
	s.step(AttemptEnded{Call: s.last, Outcome: Interrupted, Delivered: true})
	for range 10 {
		s.takeUp(stream)
		require.Equal(t, fleet.EngineVersion("v1"), must[Send](s).Engine.Version)
		s.step(AttemptEnded{Call: s.last, Outcome: Broken, Delivered: true})
		s.requireNotSent()
		s.step(EngineChecked{Engine: "e0", Reachable: true})
		s.advance(500 * time.Millisecond)
		s.step(Tick{})
	}
	s.removeVersion("v1")
	s.takeUp(stream)
	require.Equal(t, Refuse{Call: s.last, Refusal: NotRun, Code: "stream_version_gone"}, must[Refuse](s))

	s = newVersionedSession(t, "v1", "v1")
	s.takeUp(stream)
	require.Equal(t, fleet.EngineVersion("v1"), must[Send](s).Engine.Version, "no other version is open")
}

// Guards against the rest of a stream from a version that did not begin it when no instance knows its origin, and against
// callers that are told to try again in vain, or wait although all have answered.
func TestRestOfAnUnknownStream(t *testing.T) {
	known := &wire.StreamOriginReply{Known: true, Service: "s", Version: "v1"}
	unknown, unread := &wire.StreamOriginReply{ReadStore: true}, &wire.StreamOriginReply{}
	for name, c := range map[string]struct {
		replies []*wire.StreamOriginReply
		loaded  error
		sent    bool
		retry   time.Duration
	}{
		"nobody knows it":               {replies: []*wire.StreamOriginReply{unknown, unknown, unread}},
		"the store was not read":        {replies: []*wire.StreamOriginReply{unread, unread, unread}, loaded: errAway, retry: unknownOriginRetryAfter},
		"one reply is missing":          {replies: []*wire.StreamOriginReply{unread, unread, nil}, loaded: errAway, retry: unknownOriginRetryAfter},
		"the last one knows it":         {replies: []*wire.StreamOriginReply{unknown, unread, known}, sent: true},
		"the first knows it, one hangs": {replies: []*wire.StreamOriginReply{known, nil, unread}, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			for stream := range versions.StreamKey(versions.Partitions) {
				s := newVersionedSession(t, "v1", "v2", "v2", "v2")
				s.link(4)
				s.takeUp(versions.Partitions + stream)
				s.requireNotSent()
				asked := s.sent(wire.KindStreamOriginRequest)
				load, own := find[LoadOrigins](s)
				for i, m := range asked {
					s.out = nil
					if reply := c.replies[i]; reply != nil {
						answer := *reply
						answer.ID = m.Message.(*wire.StreamOriginRequest).ID
						s.step(PeerMessage{From: m.To, Incarnation: 1, Message: &answer})
					}
					if len(s.out) > 0 {
						break
					}
				}
				if _, decided := find[Refuse](s); own && !decided && len(s.out) == 0 {
					s.step(OriginsLoaded{Partition: load.Partition, Err: c.loaded})
				}
				if slices.Contains(c.replies[:len(asked)], nil) && !c.sent {
					s.requireNotSent()
					s.advance(originTimeout)
					s.step(Tick{})
				}
				send, sent := find[Send](s)
				if c.sent && slices.Contains(c.replies[:len(asked)], known) {
					require.True(t, sent)
					require.Equal(t, fleet.EngineVersion("v1"), send.Engine.Version)
					continue
				}
				s.requireNotSent()
				refuse := must[Refuse](s)
				require.Equal(t, "stream_version_unknown", refuse.Code)
				require.Equal(t, NotRun, refuse.Refusal)
				require.Equal(t, c.retry, refuse.RetryAfter)
				require.Empty(t, s.r.streams.searches)
			}
		})
	}
}

// Guards against origins that are lost with a failed write, and against several writes at a time.
func TestFailedOriginsAreWrittenAgain(t *testing.T) {
	s := newVersionedSession(t, "v1", "v2")
	begin := func(attempt string) {
		s.last++
		s.step(CallArrived{Call: Call{ID: s.last, RequestID: attempt, Host: "h", Path: "/chat/x", Arrived: s.now}})
		s.step(FirstEventReceived{Call: s.last, Engine: must[Send](s).Engine.ID})
	}
	written := func() (streams []uint64) {
		store, _ := find[StoreOrigins](s)
		for _, v := range store.Values {
			messages, err := wire.Decode(v.Value)
			require.NoError(t, err)
			for _, m := range messages {
				streams = append(streams, m.(*wire.StreamOrigins).Streams...)
			}
		}
		return streams
	}
	s.advance(time.Second)
	begin("a")
	require.Equal(t, []uint64{uint64(versions.KeyOf("a"))}, written())
	begin("b")
	s.advance(time.Second)
	s.step(Tick{})
	require.Empty(t, written(), "a write is under way")
	s.step(OriginsStored{Err: errors.New("refused")})
	s.step(Tick{})
	require.ElementsMatch(t, []uint64{uint64(versions.KeyOf("a")), uint64(versions.KeyOf("b"))}, written())
	s.step(OriginsStored{})
	s.advance(time.Second)
	s.step(Tick{})
	require.Empty(t, written())
}

// Guards against a restarted keeper that answers for its partition before it has read the store, and against one read for
// each question.
func TestRestartedKeeperReadsTheStore(t *testing.T) {
	s := newVersionedSession(t, "v1", "v2")
	s.link(1)
	ask := func(id uint64) []SendMessage {
		s.step(PeerMessage{From: "i2", Incarnation: 1, Message: &wire.StreamOriginRequest{ID: id, Stream: 8}})
		return s.sent(wire.KindStreamOriginReply)
	}
	require.Empty(t, ask(1))
	load := must[LoadOrigins](s)
	require.Empty(t, ask(2))
	_, again := find[LoadOrigins](s)
	require.False(t, again)
	value, err := wire.Append(nil, &wire.StreamOrigins{Service: "s", Version: "v2", Streams: []uint64{8}})
	require.NoError(t, err)
	s.step(OriginsLoaded{Partition: load.Partition, Values: [][]byte{[]byte("odd"), value}})
	require.Equal(t, &wire.StreamOriginReply{ID: 1, Known: true, ReadStore: true, Service: "s", Version: "v2"}, s.sent(wire.KindStreamOriginReply)[0].Message)
	require.Equal(t, uint64(3), ask(3)[0].Message.(*wire.StreamOriginReply).ID)
}

// Guards against origins that every instance copies with the facts of the store.
func TestOriginsAreNoFacts(t *testing.T) {
	s := newVersionedSession(t, "v1")
	fact := replica.Fact{Key: OriginsPrefix + "3/w-1", Revision: 400, Value: []byte("x")}
	s.step(KeysChanged{Facts: []replica.Fact{fact}, AtRevision: 400})
	s.step(KeysListed{Facts: append(s.r.replica.All(), fact), AtRevision: 400})
	_, copied := s.r.replica.Get(fact.Key)
	require.False(t, copied)
	require.Equal(t, 1, s.r.registry.Len())
}
