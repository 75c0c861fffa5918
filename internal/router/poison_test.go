package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

const (
	classPart, subjectPart, badPart = fleet.Fingerprint(1), fleet.Fingerprint(2), fleet.Fingerprint(3)
)

// ask sends a request whose prompt has the given shared parts and reports whether it was sent.
func (s *session) ask(parts ...fleet.Fingerprint) (Send, bool) {
	s.last++
	s.step(CallArrived{Call: Call{
		ID: s.last, Host: "h", Path: "/plan/x", Prompt: fleet.ChatKey(s.last), Fingerprint: fleet.Fingerprint(1000 + s.last),
		PromptParts: parts, Arrived: s.now,
	}})
	return find[Send](s)
}

// crash ends the attempt of a request by a crash of its engine.
func (s *session) crash(call CallID) {
	s.step(AttemptEnded{Call: call, Outcome: Broken})
	s.step(EngineChecked{Engine: must[CheckEngine](s).Engine, Reachable: false})
	s.advance(time.Second)
	s.step(Tick{})
}

// answer sends a request with parts and lets its engine answer it.
func (s *session) answer(parts ...fleet.Fingerprint) bool {
	if _, sent := s.ask(parts...); !sent {
		return false
	}
	s.step(AttemptEnded{Call: s.last, Outcome: Completed, FirstByte: time.Millisecond})
	return true
}

// Guards against requests that crash engine after engine because no two of them are alike and only a
// part of their prompt is the cause.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	s := newSession(t, 12)
	require.True(t, s.answer(classPart, subjectPart))
	crashes := 0
	for range 10 {
		if _, sent := s.ask(classPart, subjectPart, badPart); !sent {
			refusal := must[Refuse](s)
			require.Equal(t, Refuse{Call: s.last, Refusal: NotRun, Code: "quarantined", RetryAfter: refusal.RetryAfter}, refusal)
			break
		}
		s.crash(s.last)
		crashes++
	}
	require.Equal(t, 3, crashes)
	require.True(t, s.answer(classPart, subjectPart), "harmless requests share the caller and the other parts")
}

// messageFleet holds routers that are linked to each other without the cost of opening each link. Status
// reports are not delivered.
type messageFleet struct {
	t       *testing.T
	ids     []fleet.InstanceID
	members map[fleet.InstanceID]*session
	now     time.Duration
	pending []delivery
	// stored holds the keys that instances have written to the store.
	stored map[string][]byte
	// bytes counts the sent messages' bytes, by sender.
	bytes map[fleet.InstanceID]int
	// onSend is called for each attempt that an instance sends; nil ignores them.
	onSend func(from fleet.InstanceID, send Send)
}

type delivery struct {
	from, to fleet.InstanceID
	message  wire.Message
}

func newMessageFleet(t *testing.T, n, engines int) *messageFleet {
	f := &messageFleet{t: t, members: map[fleet.InstanceID]*session{}, stored: map[string][]byte{}, bytes: map[fleet.InstanceID]int{}}
	for i := range n {
		f.ids = append(f.ids, fleet.InstanceID(fmt.Sprintf("i%03d", i)))
	}
	for _, id := range f.ids {
		f.add(id, engines)
	}
	for _, id := range f.ids[min(n, watcherCount):] {
		f.members[id].r.store.watching = false
	}
	return f
}

func (f *messageFleet) add(id fleet.InstanceID, engines int) {
	s := newNamedSession(f.t, id, engines)
	s.now = f.now
	// Requests of different instances differ, and so do their engines.
	s.last = CallID(fleet.Hash(string(id)) % 1_000_000)
	for _, peer := range f.ids {
		if peer != id {
			s.r.members.linked[peer] = &peerState{incarnation: 1, lastReportAt: time.Hour, lastStatusReport: &wire.StatusReport{}}
		}
	}
	s.r.rebuildGrid()
	f.members[id] = s
}

// arrive passes a caller's request to an instance.
func (f *messageFleet) arrive(id fleet.InstanceID) {
	s := f.members[id]
	s.last++
	f.step(id, CallArrived{Call: Call{ID: s.last, Host: "h", Path: "/chat/x", Prompt: fleet.ChatKey(s.last), Fingerprint: fleet.Fingerprint(s.last), Arrived: f.now}})
}

func (f *messageFleet) step(id fleet.InstanceID, ev Event) []Effect {
	s := f.members[id]
	s.now = f.now
	effects := s.step(ev)
	for _, e := range effects {
		switch e := e.(type) {
		case SendMessage:
			switch e.Message.Kind() {
			case wire.KindStrike, wire.KindCrashEvidence, wire.KindEngineLimits, wire.KindEngineTokenRequest, wire.KindEngineTokenReply:
				f.pending = append(f.pending, delivery{id, e.To, e.Message})
				data, err := wire.Append(nil, e.Message)
				require.NoError(f.t, err)
				f.bytes[id] += len(data)
			}
		case StoreKey:
			f.stored[e.Key] = e.Value
		case Send:
			if f.onSend != nil {
				f.onSend(id, e)
			}
		}
	}
	return effects
}

// deliver passes on all messages, which take one millisecond each.
func (f *messageFleet) deliver() {
	for len(f.pending) > 0 {
		f.now += time.Millisecond
		arriving := f.pending
		f.pending = nil
		for _, m := range arriving {
			if f.members[m.to] != nil {
				f.step(m.to, PeerMessage{From: m.from, Incarnation: 1, Message: m.message})
			}
		}
	}
}

// run passes time in steps of 50 ms.
func (f *messageFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.deliver()
		f.now += 50 * time.Millisecond
		for _, id := range f.ids {
			if s := f.members[id]; s != nil {
				s.now = f.now
				s.r.now = f.now
				s.r.effects = s.r.effects[:0]
				s.r.tickPoison()
				s.r.tickRateLimits()
				s.r.tickTokens()
				f.stepEffects(id, s)
			}
		}
	}
}

// stepEffects handles the effects that a direct call of the router has left.
func (f *messageFleet) stepEffects(id fleet.InstanceID, s *session) {
	for _, e := range s.r.effects {
		switch e := e.(type) {
		case SendToMany:
			data, err := wire.Append(nil, e.Message)
			require.NoError(f.t, err)
			for _, to := range e.To {
				f.pending = append(f.pending, delivery{id, to, e.Message})
				f.bytes[id] += len(data)
			}
		case StoreKey:
			f.stored[e.Key] = e.Value
		}
	}
}

// crashWith lets an engine crash under a request with parts that an instance received. It returns false
// if the instance refuses the request.
func (f *messageFleet) crashWith(id fleet.InstanceID, parts ...fleet.Fingerprint) bool {
	s := f.members[id]
	s.now = f.now
	send, sent := s.ask(parts...)
	if !sent {
		return false
	}
	f.step(id, AttemptEnded{Call: s.last, Outcome: Broken})
	f.step(id, EngineChecked{Engine: send.Engine.ID, Reachable: false})
	return true
}

func (f *messageFleet) refusedAt(id fleet.InstanceID, parts ...fleet.Fingerprint) bool {
	s := f.members[id]
	s.now = f.now
	_, sent := s.ask(parts...)
	return !sent
}

// Guards against a large fleet in which some instances learn only after more than a second that a prompt
// part crashes engines, or that spends its links on telling them.
func TestQuarantineReaches490InstancesInASecond(t *testing.T) {
	f := newMessageFleet(t, 490, 8)
	for i, id := range f.ids {
		if i%10 == 0 {
			f.members[id].answer(classPart, subjectPart)
		}
	}
	for i := range 3 {
		require.True(t, f.crashWith(f.ids[100*i], classPart, subjectPart, badPart))
		f.run(time.Second)
	}
	refusing := 0
	for _, id := range f.ids {
		if f.refusedAt(id, classPart, badPart) {
			refusing++
		}
		require.False(t, f.refusedAt(id, classPart, subjectPart), id)
	}
	require.Equal(t, len(f.ids), refusing)
	for id, sent := range f.bytes {
		require.Less(t, sent, 768<<10, "bytes sent by %s in three seconds", id)
	}
}

// Guards against an instance that forgets what crashes engines when it restarts, with peers that know it
// or with the store alone.
func TestQuarantineSurvivesRestarts(t *testing.T) {
	f := newMessageFleet(t, 5, 64)
	f.members["i000"].answer(classPart)
	for range 3 {
		require.True(t, f.crashWith("i003", classPart, badPart))
		f.run(time.Second)
	}
	require.Len(t, f.stored, 1)

	f.add("i004", 64)
	require.False(t, f.refusedAt("i004", badPart))
	f.step("i000", PeerUp{Instance: "i004", Incarnation: 1})
	f.run(100 * time.Millisecond)
	require.True(t, f.refusedAt("i004", badPart), "from a peer")

	all := newNamedSession(t, "i009", 8)
	for key, value := range f.stored {
		all.step(KeysChanged{Facts: []replica.Fact{{Key: key, Revision: 900, Value: value}}, AtRevision: 900})
		all.step(KeysChanged{Facts: []replica.Fact{{Key: key, Revision: 901, Deleted: true}}, AtRevision: 901})
	}
	_, sent := all.ask(badPart)
	require.False(t, sent, "from the store, also once the key's lease has expired")
	all.advance(2 * time.Minute)
	_, sent = all.ask(badPart)
	require.True(t, sent, "it lapses")
}

// Guards against evidence that is lost with the instance that collected it, and with the store.
func TestCrashesCountWhenInstancesAndTheStoreAreLost(t *testing.T) {
	f := newMessageFleet(t, 6, 64)
	for _, id := range f.ids {
		f.step(id, StoreLost{})
	}
	f.members["i000"].answer(classPart)
	for _, id := range []fleet.InstanceID{"i001", "i002", "i003"} {
		require.True(t, f.crashWith(id, classPart, badPart))
		f.run(time.Second)
		delete(f.members, id)
	}
	require.True(t, f.refusedAt("i005", badPart))
	require.False(t, f.refusedAt("i005", classPart))
	require.Empty(t, f.stored, "the store can't be written")
	// The store returns: one of the instances that read it writes the quarantine.
	f.step("i000", KeysChanged{AtRevision: 200})
	f.run(3 * time.Second)
	require.Len(t, f.stored, 1)
}

// Guards against a new instance that refuses a harmless part, because it knows the crashes but not the
// answers.
func TestNewInstanceLearnsAnswersToo(t *testing.T) {
	f := newMessageFleet(t, 3, 64)
	f.members["i001"].answer(subjectPart)
	for range 2 {
		f.crashWith("i000", classPart, subjectPart, badPart)
		f.members["i001"].answer(classPart)
		f.run(time.Second)
	}
	f.add("i002", 64)
	f.members["i002"].r.store.watching = true
	f.step("i000", PeerUp{Instance: "i002", Incarnation: 1})
	f.run(100 * time.Millisecond)
	f.crashWith("i002", subjectPart, badPart)
	f.run(time.Second)
	require.True(t, f.refusedAt("i002", badPart))
	require.False(t, f.refusedAt("i002", subjectPart))
}

// Guards against a quarantine that is renewed after its end and then missing in the store.
func TestRenewedQuarantineIsStoredAgain(t *testing.T) {
	f := newMessageFleet(t, 3, 64)
	f.members["i001"].answer(classPart)
	for range 3 {
		require.True(t, f.crashWith("i000", classPart, badPart))
		f.run(time.Second)
	}
	for key, value := range f.stored {
		for _, id := range f.ids {
			f.step(id, KeysChanged{Facts: []replica.Fact{{Key: key, Revision: 900, Value: value}}, AtRevision: 900})
			f.step(id, KeysChanged{Facts: []replica.Fact{{Key: key, Revision: 901, Deleted: true}}, AtRevision: 901})
		}
	}
	clear(f.stored)
	f.run(2*time.Minute + time.Second)
	require.Empty(t, f.stored, "an ended key does not return")
	require.True(t, f.crashWith("i000", classPart, badPart))
	f.run(4 * time.Second)
	require.Len(t, f.stored, 1)
	require.True(t, f.refusedAt("i002", badPart))
}
