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

// init fixes the seed of property tests, so that every run has the same verdict. Flags override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func key(i int) claim.Key { return claim.Key{0, byte(i), 1} }

// memory is the compare-and-swap model of the key-value service.
type memory map[string]claim.Entry

func (m memory) read(k string) (claim.Entry, claim.ErrKind) {
	if e, ok := m[k]; ok {
		return e, claim.OK
	}
	return claim.Entry{}, claim.NotFound
}

func (m memory) swap(s claim.Swap) (uint64, claim.ErrKind) {
	if m[s.Key].Revision != s.Expect {
		return 0, claim.Conflict
	}
	m[s.Key] = claim.Entry{Value: s.Value, Revision: s.Expect + 1}
	return s.Expect + 1, claim.OK
}

type packet struct {
	writer *writer
	swap   *claim.Swap
	read   *claim.Read
	answer func() []claim.Effect
}

type writer struct{ p *claim.Partition }

// attempt is what the requesting instance knows of one nonce.
type attempt struct {
	key              int
	writer           *writer
	answered         bool
	granted, refused bool
	// releasable is set once the attempt provably never runs; end is the update sent after the grant.
	releasable, stored, orphaned bool
	end                          claim.ReplyKind
}

// world runs several writers of one partition against the model, with faults chosen by rapid.
type world struct {
	*rapid.T
	store    memory
	writers  []*writer
	network  []packet
	attempts map[uint64]*attempt
	holder   map[int]uint64
	now      time.Duration
	nonce    uint64
	lives    uint64
	counts   map[claim.ReplyKind]int
	// final and finalHolder describe the newest reply.
	final       claim.ReplyKind
	finalHolder uint64
	auditing    bool
}

func newWorld(t *rapid.T, counts map[claim.ReplyKind]int) *world {
	w := &world{T: t, counts: counts, store: memory{}, attempts: map[uint64]*attempt{}, holder: map[int]uint64{}}
	for range rapid.IntRange(2, 3).Draw(t, "writers") {
		w.writers = append(w.writers, &writer{w.partition()})
	}
	return w
}

func (w *world) partition() *claim.Partition {
	w.lives++
	cfg := claim.Config{Writer: claim.Holder{Instance: "w", Incarnation: w.lives}, SealBytes: 500}
	return claim.New(cfg, rand.New(rand.NewPCG(1, w.lives)))
}

func (w *world) pick() *writer { return rapid.SampledFrom(w.writers).Draw(w.T, "writer") }

func (w *world) take(from *writer, effects []claim.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claim.Read:
			w.network = append(w.network, packet{writer: from, read: &e})
		case claim.Swap:
			require.Less(w, len(e.Value), 1<<20)
			w.network = append(w.network, packet{writer: from, swap: &e})
		case claim.Reply:
			w.reply(e)
		}
	}
}

func (w *world) reply(r claim.Reply) {
	a := w.attempts[r.Nonce]
	a.answered = a.answered || r.Kind != claim.Stored
	w.counts[r.Kind]++
	w.final, w.finalHolder = r.Kind, r.HolderNonce
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
		if other := w.attempts[r.HolderNonce]; other.releasable && !w.auditing {
			w.release(r.HolderNonce)
		}
	case claim.Recorded:
		require.Equal(w, a.key, r.Outcome.Status, "outcome of another call")
	case claim.Mismatch:
		require.Fail(w, "mismatch without another fingerprint")
	}
}

func (w *world) granted(nonce uint64, a *attempt) {
	require.False(w, a.refused, "granted after Unavailable")
	require.False(w, a.granted, "granted twice")
	if previous, ok := w.holder[a.key]; ok {
		require.True(w, w.attempts[previous].releasable, "key granted while nonce %d may have run", previous)
	}
	a.granted = true
	w.holder[a.key] = nonce
}

func (w *world) release(nonce uint64) {
	to := w.pick()
	w.take(to, to.p.Release(w.now, key(w.attempts[nonce].key), nonce))
}

func (w *world) claim(k int) {
	w.nonce++
	a := &attempt{key: k, writer: w.pick()}
	w.attempts[w.nonce] = a
	w.take(a.writer, a.writer.p.Claim(w.now, claim.Request{
		Key: key(a.key), Nonce: w.nonce, Attempt: fleet.AttemptID(fmt.Sprint(w.nonce)),
		Holder: claim.Holder{Instance: fleet.InstanceID(fmt.Sprint("i", w.nonce%2)), Incarnation: 1},
	}))
}

// end lets the attempt in force of a key finish, fail before its start, or end unknown.
func (w *world) end() {
	k := rapid.IntRange(0, 9).Draw(w.T, "key")
	a := w.attempts[w.holder[k]]
	if a == nil || a.end != 0 {
		return
	}
	a.end = rapid.SampledFrom([]claim.ReplyKind{claim.Recorded, claim.Granted, claim.Unknown}).Draw(w.T, "end")
	to := w.pick()
	switch a.end {
	case claim.Recorded:
		w.take(to, to.p.Finish(w.now, key(k), w.holder[k], claim.Outcome{Status: k, Body: make([]byte, 100)}))
	case claim.Granted:
		a.releasable = true
		w.take(to, to.p.Release(w.now, key(k), w.holder[k]))
	default:
		w.take(to, to.p.MarkUnknown(w.now, key(k), w.holder[k]))
	}
}

// deliver moves one packet, in any order. Faults: 0 none, 1 refused, 2 answer lost after the
// effect, 3 answer lost and the write stays on the way.
func (w *world) deliver(faults bool) {
	if len(w.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.network)-1).Draw(w.T, "packet")
	n := w.network[i]
	w.network = append(w.network[:i:i], w.network[i+1:]...)
	if n.answer != nil {
		w.take(n.writer, n.answer())
		return
	}
	fault := 0
	if faults {
		fault = rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 2, 3}).Draw(w.T, "fault")
	}
	w.serve(n, fault)
}

func (w *world) serve(n packet, fault int) {
	var answer func() []claim.Effect
	if n.read != nil {
		entry, kind := w.store.read(n.read.Key)
		if fault != 0 {
			entry, kind = claim.Entry{}, claim.Failed
		}
		answer = func() []claim.Effect { return n.writer.p.Loaded(w.now, n.read.Call, entry, kind) }
	} else {
		if fault == 3 {
			w.network = append(w.network, packet{writer: n.writer, swap: n.swap})
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
	w.network = append(w.network, packet{writer: n.writer, answer: answer})
}

func (w *world) tick(step time.Duration) {
	w.now += step
	for _, to := range w.writers {
		w.take(to, to.p.Tick(w.now, 1000))
	}
}

// restart replaces a writer. Claims that it had not answered are given up by their instance.
func (w *world) restart() {
	old := w.pick()
	for _, a := range w.attempts {
		a.orphaned = a.orphaned || a.writer == old
		if a.writer == old && !a.answered {
			a.refused, a.releasable = true, true
		}
	}
	for i := range w.writers {
		if w.writers[i] == old {
			w.writers[i] = &writer{w.partition()}
		}
	}
	// Writes of the old life may still arrive, but its answers reach nobody.
	kept := w.network[:0]
	for _, n := range w.network {
		if n.writer == old && n.answer != nil {
			continue
		}
		if n.writer == old {
			n.writer = &writer{w.partition()}
		}
		kept = append(kept, n)
	}
	w.network = kept
}

func (w *world) step() {
	switch action := rapid.IntRange(0, 79).Draw(w.T, "action"); {
	case action < 12:
		w.claim(rapid.IntRange(0, 9).Draw(w.T, "key"))
	case action < 16:
		w.end()
	case action < 56:
		w.deliver(true)
	case action < 78:
		w.tick(rapid.SampledFrom([]time.Duration{1, 10, 20, 20, 20, 200, 200, 1000}).Draw(w.T, "ms") * time.Millisecond)
	case action < 79:
		w.restart()
	default:
		to := w.pick()
		w.take(to, to.p.InstanceGone(w.now, claim.Holder{Instance: "i0", Incarnation: 1}))
	}
}

// settle runs without faults until nothing waits. It fails if a writer stays stuck.
func (w *world) settle() {
	for range 60 {
		for len(w.network) > 0 {
			w.deliver(false)
		}
		w.tick(50 * time.Millisecond)
	}
	for _, to := range w.writers {
		require.True(w, to.p.Idle(), "writer is stuck")
	}
}

// audit claims every key once more. Guards against a refused claim that a living writer leaves
// behind, and against a stored update that has no effect.
func (w *world) audit() {
	w.writers = []*writer{{w.partition()}}
	w.auditing = true
	for k := range 10 {
		w.final = 0
		previous := w.attempts[w.holder[k]]
		w.claim(k)
		w.settle()
		if w.final == claim.Running {
			other := w.attempts[w.finalHolder]
			require.True(w, other.granted || other.orphaned, "refused claim %d stays", w.finalHolder)
		}
		if previous != nil && previous.end != 0 && previous.stored && w.final != claim.Running {
			require.Equal(w, previous.end, w.final, "key %d", k)
		}
	}
}

// Guards against a second run: more than one grant of a key without a release, or a grant after
// Unavailable, under lost and late writes, outages, conflicts, restarts and reordering.
func TestAtMostOneGrant(t *testing.T) {
	counts := map[claim.ReplyKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, counts)
		for range 300 {
			w.step()
		}
		w.settle()
		w.audit()
	})
	t.Log(counts)
	for kind := claim.Granted; kind <= claim.Stored; kind++ {
		require.True(t, counts[kind] > 0 || kind == claim.Mismatch, "%s never happened", kind)
	}
}
