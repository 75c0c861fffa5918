package claim_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/claim"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// init fixes the seed of property tests, so that every run gives the same result. Flags override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func key(i int) claim.Key { return claim.Key{0, byte(i), 1} }

// memoryStore is an in-memory model of the key-value service with compare-and-swap.
type memoryStore map[string]claim.Entry

func (m memoryStore) read(k string) (claim.Entry, claim.CallResult) {
	if e, ok := m[k]; ok {
		return e, claim.OK
	}
	return claim.Entry{}, claim.NotFound
}

func (m memoryStore) swap(s claim.Swap) (uint64, claim.CallResult) {
	if m[s.Key].Revision != s.Expect {
		return 0, claim.Conflict
	}
	m[s.Key] = claim.Entry{Value: s.Value, Revision: s.Expect + 1}
	return s.Expect + 1, claim.OK
}

// message is a request to the store, or the answer to one, that has not arrived yet.
type message struct {
	writer *writer
	swap   *claim.Swap
	read   *claim.Read
	answer func() []claim.Effect
}

type writer struct{ p *claim.Partition }

// attempt is the requesting instance's knowledge of one nonce.
type attempt struct {
	key              int
	writer           *writer
	answered         bool
	granted, refused bool
	// releasable is set once the attempt certainly never runs, and writerLost once the writer that
	// got the claim was replaced. stored is set once the update after the grant is stored;
	// expectedReply is what a later claim of the key must then get.
	releasable, stored, writerLost bool
	expectedReply                  claim.ReplyKind
}

// simulation runs several writers of one partition against a memoryStore, with faults chosen by
// rapid.
type simulation struct {
	*rapid.T
	store        memoryStore
	writers      []*writer
	messages     []message
	attempts     map[uint64]*attempt
	grantedNonce map[int]uint64
	now          time.Duration
	nonce        uint64
	incarnations uint64
	counts       map[claim.ReplyKind]int
	// lastReply and lastHolder are the kind and the HolderNonce of the newest reply.
	lastReply        claim.ReplyKind
	lastHolder       uint64
	claimingEveryKey bool
}

func newSimulation(t *rapid.T, counts map[claim.ReplyKind]int) *simulation {
	s := &simulation{T: t, counts: counts, store: memoryStore{}, attempts: map[uint64]*attempt{}, grantedNonce: map[int]uint64{}}
	for range rapid.IntRange(2, 3).Draw(t, "writers") {
		s.writers = append(s.writers, &writer{s.newPartition()})
	}
	return s
}

func (s *simulation) newPartition() *claim.Partition {
	s.incarnations++
	cfg := claim.Config{Writer: claim.Holder{Instance: "w", Incarnation: s.incarnations}, SealBytes: 500}
	return claim.New(cfg, rand.New(rand.NewPCG(1, s.incarnations)))
}

func (s *simulation) pickWriter() *writer { return rapid.SampledFrom(s.writers).Draw(s.T, "writer") }

func (s *simulation) collect(from *writer, effects []claim.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claim.Read:
			s.messages = append(s.messages, message{writer: from, read: &e})
		case claim.Swap:
			require.Less(s, len(e.Value), 1<<20)
			s.messages = append(s.messages, message{writer: from, swap: &e})
		case claim.Reply:
			s.reply(e)
		}
	}
}

func (s *simulation) reply(r claim.Reply) {
	a := s.attempts[r.Nonce]
	a.answered = a.answered || r.Kind != claim.Stored
	s.counts[r.Kind]++
	s.lastReply, s.lastHolder = r.Kind, r.HolderNonce
	switch r.Kind {
	case claim.Granted:
		s.granted(r.Nonce, a)
	case claim.Unavailable:
		require.False(s, a.granted, "refused after the grant")
		a.refused, a.releasable = true, true
	case claim.Stored:
		a.stored = true
	case claim.Running:
		require.NotEqual(s, r.Nonce, r.HolderNonce, "claim waits for itself")
		if other := s.attempts[r.HolderNonce]; other.releasable && !s.claimingEveryKey {
			s.release(r.HolderNonce)
		}
	case claim.Recorded:
		require.Equal(s, a.key, r.Outcome.Status, "outcome of another call")
	case claim.Mismatch:
		require.Fail(s, "mismatch without another fingerprint")
	}
}

func (s *simulation) granted(nonce uint64, a *attempt) {
	require.False(s, a.refused, "granted after Unavailable")
	require.False(s, a.granted, "granted twice")
	if previous, ok := s.grantedNonce[a.key]; ok {
		require.True(s, s.attempts[previous].releasable, "key granted while nonce %d may have run", previous)
	}
	a.granted = true
	s.grantedNonce[a.key] = nonce
}

func (s *simulation) release(nonce uint64) {
	to := s.pickWriter()
	s.collect(to, to.p.Release(s.now, key(s.attempts[nonce].key), nonce))
}

func (s *simulation) claim(k int) {
	s.nonce++
	a := &attempt{key: k, writer: s.pickWriter()}
	s.attempts[s.nonce] = a
	s.collect(a.writer, a.writer.p.Claim(s.now, claim.Request{
		Key: key(a.key), Nonce: s.nonce, Attempt: fleet.AttemptID(fmt.Sprint(s.nonce)),
		Holder: claim.Holder{Instance: fleet.InstanceID(fmt.Sprint("i", s.nonce%2)), Incarnation: 1},
	}))
}

// endAttempt makes the attempt that holds a key finish, fail before its start, or end unknown.
func (s *simulation) endAttempt() {
	k := rapid.IntRange(0, 9).Draw(s.T, "key")
	a := s.attempts[s.grantedNonce[k]]
	if a == nil || a.expectedReply != 0 {
		return
	}
	a.expectedReply = rapid.SampledFrom([]claim.ReplyKind{claim.Recorded, claim.Granted, claim.Unknown}).Draw(s.T, "end")
	to := s.pickWriter()
	switch a.expectedReply {
	case claim.Recorded:
		s.collect(to, to.p.Finish(s.now, key(k), s.grantedNonce[k], claim.Outcome{Status: k, Body: make([]byte, 100)}))
	case claim.Granted:
		a.releasable = true
		s.collect(to, to.p.Release(s.now, key(k), s.grantedNonce[k]))
	default:
		s.collect(to, to.p.MarkUnknown(s.now, key(k), s.grantedNonce[k]))
	}
}

// deliver handles one message, chosen at random. Faults: 0 none, 1 refused, 2 answer lost after
// the write took effect, 3 answer lost and the write still in flight.
func (s *simulation) deliver(faults bool) {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(s.T, "packet")
	m := s.messages[i]
	s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
	if m.answer != nil {
		s.collect(m.writer, m.answer())
		return
	}
	fault := 0
	if faults {
		fault = rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 2, 3}).Draw(s.T, "fault")
	}
	s.serveRequest(m, fault)
}

func (s *simulation) serveRequest(m message, fault int) {
	var answer func() []claim.Effect
	if m.read != nil {
		entry, result := s.store.read(m.read.Key)
		if fault != 0 {
			entry, result = claim.Entry{}, claim.Failed
		}
		answer = func() []claim.Effect { return m.writer.p.ReadDone(s.now, m.read.Call, entry, result) }
	} else {
		if fault == 3 {
			s.messages = append(s.messages, message{writer: m.writer, swap: m.swap})
		}
		revision, result := uint64(0), claim.Failed
		if fault == 0 || fault == 2 {
			revision, result = s.store.swap(*m.swap)
		}
		if fault >= 2 {
			revision, result = 0, claim.Lost
		}
		answer = func() []claim.Effect { return m.writer.p.SwapDone(s.now, m.swap.Call, revision, result) }
	}
	s.messages = append(s.messages, message{writer: m.writer, answer: answer})
}

func (s *simulation) advanceTime(step time.Duration) {
	s.now += step
	for _, to := range s.writers {
		s.collect(to, to.p.Tick(s.now, 1000))
	}
}

// restart replaces a writer. The requesting instance gives up the claims that it had not answered.
func (s *simulation) restart() {
	old := s.pickWriter()
	for _, a := range s.attempts {
		a.writerLost = a.writerLost || a.writer == old
		if a.writer == old && !a.answered {
			a.refused, a.releasable = true, true
		}
	}
	for i := range s.writers {
		if s.writers[i] == old {
			s.writers[i] = &writer{s.newPartition()}
		}
	}
	// Writes of the replaced writer may still reach the store, but the answers to it are dropped.
	kept := s.messages[:0]
	for _, m := range s.messages {
		if m.writer == old && m.answer != nil {
			continue
		}
		if m.writer == old {
			m.writer = &writer{s.newPartition()}
		}
		kept = append(kept, m)
	}
	s.messages = kept
}

func (s *simulation) randomStep() {
	switch action := rapid.IntRange(0, 79).Draw(s.T, "action"); {
	case action < 12:
		s.claim(rapid.IntRange(0, 9).Draw(s.T, "key"))
	case action < 16:
		s.endAttempt()
	case action < 56:
		s.deliver(true)
	case action < 78:
		s.advanceTime(rapid.SampledFrom([]time.Duration{1, 10, 20, 20, 20, 200, 200, 1000}).Draw(s.T, "ms") * time.Millisecond)
	case action < 79:
		s.restart()
	default:
		to := s.pickWriter()
		s.collect(to, to.p.InstanceGone(s.now, claim.Holder{Instance: "i0", Incarnation: 1}))
	}
}

// runUntilIdle runs without faults until nothing is pending. It fails if a writer does not become
// idle.
func (s *simulation) runUntilIdle() {
	for range 60 {
		for len(s.messages) > 0 {
			s.deliver(false)
		}
		s.advanceTime(50 * time.Millisecond)
	}
	for _, to := range s.writers {
		require.True(s, to.p.Idle(), "writer is stuck")
	}
}

// claimEveryKey claims every key once more. It fails if the record of a refused claim remains
// although its writer was not replaced, or if a stored update has no effect.
func (s *simulation) claimEveryKey() {
	s.writers = []*writer{{s.newPartition()}}
	s.claimingEveryKey = true
	for k := range 10 {
		s.lastReply = 0
		previous := s.attempts[s.grantedNonce[k]]
		s.claim(k)
		s.runUntilIdle()
		if s.lastReply == claim.Running {
			other := s.attempts[s.lastHolder]
			require.True(s, other.granted || other.writerLost, "refused claim %d stays", s.lastHolder)
		}
		if previous != nil && previous.expectedReply != 0 && previous.stored && s.lastReply != claim.Running {
			require.Equal(s, previous.expectedReply, s.lastReply, "key %d", k)
		}
	}
}

// Guards against running a call twice: more than one grant of a key without a release, or a grant
// after Unavailable, under lost and late writes, outages, conflicts, restarts and reordering.
func TestAtMostOneGrant(t *testing.T) {
	counts := map[claim.ReplyKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, counts)
		for range 300 {
			s.randomStep()
		}
		s.runUntilIdle()
		s.claimEveryKey()
	})
	t.Log(counts)
	for kind := claim.Granted; kind <= claim.Stored; kind++ {
		require.True(t, counts[kind] > 0 || kind == claim.Mismatch, "%s never happened", kind)
	}
}
