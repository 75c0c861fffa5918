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
	w := &simulation{T: t, counts: counts, store: memoryStore{}, attempts: map[uint64]*attempt{}, grantedNonce: map[int]uint64{}}
	for range rapid.IntRange(2, 3).Draw(t, "writers") {
		w.writers = append(w.writers, &writer{w.newPartition()})
	}
	return w
}

func (w *simulation) newPartition() *claim.Partition {
	w.incarnations++
	cfg := claim.Config{Writer: claim.Holder{Instance: "w", Incarnation: w.incarnations}, SealBytes: 500}
	return claim.New(cfg, rand.New(rand.NewPCG(1, w.incarnations)))
}

func (w *simulation) pickWriter() *writer { return rapid.SampledFrom(w.writers).Draw(w.T, "writer") }

func (w *simulation) collect(from *writer, effects []claim.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claim.Read:
			w.messages = append(w.messages, message{writer: from, read: &e})
		case claim.Swap:
			require.Less(w, len(e.Value), 1<<20)
			w.messages = append(w.messages, message{writer: from, swap: &e})
		case claim.Reply:
			w.reply(e)
		}
	}
}

func (w *simulation) reply(r claim.Reply) {
	a := w.attempts[r.Nonce]
	a.answered = a.answered || r.Kind != claim.Stored
	w.counts[r.Kind]++
	w.lastReply, w.lastHolder = r.Kind, r.HolderNonce
	switch r.Kind {
	case claim.Granted:
		w.granted(r.Nonce, a)
	case claim.Unavailable:
		require.False(w, a.granted, "refused after the grant")
		a.refused, a.releasable = true, true
	case claim.Stored:
		a.stored = true
	case claim.Running:
		require.NotEqual(w, r.Nonce, r.HolderNonce, "claim waits for itself")
		if other := w.attempts[r.HolderNonce]; other.releasable && !w.claimingEveryKey {
			w.release(r.HolderNonce)
		}
	case claim.Recorded:
		require.Equal(w, a.key, r.Outcome.Status, "outcome of another call")
	case claim.Mismatch:
		require.Fail(w, "mismatch without another fingerprint")
	}
}

func (w *simulation) granted(nonce uint64, a *attempt) {
	require.False(w, a.refused, "granted after Unavailable")
	require.False(w, a.granted, "granted twice")
	if previous, ok := w.grantedNonce[a.key]; ok {
		require.True(w, w.attempts[previous].releasable, "key granted while nonce %d may have run", previous)
	}
	a.granted = true
	w.grantedNonce[a.key] = nonce
}

func (w *simulation) release(nonce uint64) {
	to := w.pickWriter()
	w.collect(to, to.p.Release(w.now, key(w.attempts[nonce].key), nonce))
}

func (w *simulation) claim(k int) {
	w.nonce++
	a := &attempt{key: k, writer: w.pickWriter()}
	w.attempts[w.nonce] = a
	w.collect(a.writer, a.writer.p.Claim(w.now, claim.Request{
		Key: key(a.key), Nonce: w.nonce, Attempt: fleet.AttemptID(fmt.Sprint(w.nonce)),
		Holder: claim.Holder{Instance: fleet.InstanceID(fmt.Sprint("i", w.nonce%2)), Incarnation: 1},
	}))
}

// endAttempt makes the attempt that holds a key finish, fail before its start, or end unknown.
func (w *simulation) endAttempt() {
	k := rapid.IntRange(0, 9).Draw(w.T, "key")
	a := w.attempts[w.grantedNonce[k]]
	if a == nil || a.expectedReply != 0 {
		return
	}
	a.expectedReply = rapid.SampledFrom([]claim.ReplyKind{claim.Recorded, claim.Granted, claim.Unknown}).Draw(w.T, "end")
	to := w.pickWriter()
	switch a.expectedReply {
	case claim.Recorded:
		w.collect(to, to.p.Finish(w.now, key(k), w.grantedNonce[k], claim.Outcome{Status: k, Body: make([]byte, 100)}))
	case claim.Granted:
		a.releasable = true
		w.collect(to, to.p.Release(w.now, key(k), w.grantedNonce[k]))
	default:
		w.collect(to, to.p.MarkUnknown(w.now, key(k), w.grantedNonce[k]))
	}
}

// deliver handles one message, chosen at random. Faults: 0 none, 1 refused, 2 answer lost after
// the write took effect, 3 answer lost and the write still in flight.
func (w *simulation) deliver(faults bool) {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(w.T, "packet")
	n := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	if n.answer != nil {
		w.collect(n.writer, n.answer())
		return
	}
	fault := 0
	if faults {
		fault = rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 2, 3}).Draw(w.T, "fault")
	}
	w.serveRequest(n, fault)
}

func (w *simulation) serveRequest(n message, fault int) {
	var answer func() []claim.Effect
	if n.read != nil {
		entry, kind := w.store.read(n.read.Key)
		if fault != 0 {
			entry, kind = claim.Entry{}, claim.Failed
		}
		answer = func() []claim.Effect { return n.writer.p.Loaded(w.now, n.read.Call, entry, kind) }
	} else {
		if fault == 3 {
			w.messages = append(w.messages, message{writer: n.writer, swap: n.swap})
		}
		revision, kind := uint64(0), claim.Failed
		if fault == 0 || fault == 2 {
			revision, kind = w.store.swap(*n.swap)
		}
		if fault >= 2 {
			revision, kind = 0, claim.Lost
		}
		answer = func() []claim.Effect { return n.writer.p.Swapped(w.now, n.swap.Call, revision, kind) }
	}
	w.messages = append(w.messages, message{writer: n.writer, answer: answer})
}

func (w *simulation) advanceTime(step time.Duration) {
	w.now += step
	for _, to := range w.writers {
		w.collect(to, to.p.Tick(w.now, 1000))
	}
}

// restart replaces a writer. The requesting instance gives up the claims that it had not answered.
func (w *simulation) restart() {
	old := w.pickWriter()
	for _, a := range w.attempts {
		a.writerLost = a.writerLost || a.writer == old
		if a.writer == old && !a.answered {
			a.refused, a.releasable = true, true
		}
	}
	for i := range w.writers {
		if w.writers[i] == old {
			w.writers[i] = &writer{w.newPartition()}
		}
	}
	// Writes of the replaced writer may still reach the store, but the answers to it are dropped.
	kept := w.messages[:0]
	for _, n := range w.messages {
		if n.writer == old && n.answer != nil {
			continue
		}
		if n.writer == old {
			n.writer = &writer{w.newPartition()}
		}
		kept = append(kept, n)
	}
	w.messages = kept
}

func (w *simulation) randomStep() {
	switch action := rapid.IntRange(0, 79).Draw(w.T, "action"); {
	case action < 12:
		w.claim(rapid.IntRange(0, 9).Draw(w.T, "key"))
	case action < 16:
		w.endAttempt()
	case action < 56:
		w.deliver(true)
	case action < 78:
		w.advanceTime(rapid.SampledFrom([]time.Duration{1, 10, 20, 20, 20, 200, 200, 1000}).Draw(w.T, "ms") * time.Millisecond)
	case action < 79:
		w.restart()
	default:
		to := w.pickWriter()
		w.collect(to, to.p.InstanceGone(w.now, claim.Holder{Instance: "i0", Incarnation: 1}))
	}
}

// runUntilIdle runs without faults until nothing is pending. It fails if a writer does not become
// idle.
func (w *simulation) runUntilIdle() {
	for range 60 {
		for len(w.messages) > 0 {
			w.deliver(false)
		}
		w.advanceTime(50 * time.Millisecond)
	}
	for _, to := range w.writers {
		require.True(w, to.p.Idle(), "writer is stuck")
	}
}

// claimEveryKey claims every key once more. It fails if the record of a refused claim remains
// although its writer was not replaced, or if a stored update has no effect.
func (w *simulation) claimEveryKey() {
	w.writers = []*writer{{w.newPartition()}}
	w.claimingEveryKey = true
	for k := range 10 {
		w.lastReply = 0
		previous := w.attempts[w.grantedNonce[k]]
		w.claim(k)
		w.runUntilIdle()
		if w.lastReply == claim.Running {
			other := w.attempts[w.lastHolder]
			require.True(w, other.granted || other.writerLost, "refused claim %d stays", w.lastHolder)
		}
		if previous != nil && previous.expectedReply != 0 && previous.stored && w.lastReply != claim.Running {
			require.Equal(w, previous.expectedReply, w.lastReply, "key %d", k)
		}
	}
}

// Guards against running a call twice: more than one grant of a key without a release, or a grant
// after Unavailable, under lost and late writes, outages, conflicts, restarts and reordering.
func TestAtMostOneGrant(t *testing.T) {
	counts := map[claim.ReplyKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, counts)
		for range 300 {
			w.randomStep()
		}
		w.runUntilIdle()
		w.claimEveryKey()
	})
	t.Log(counts)
	for kind := claim.Granted; kind <= claim.Stored; kind++ {
		require.True(t, counts[kind] > 0 || kind == claim.Mismatch, "%s never happened", kind)
	}
}
