package claim_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/claim"
)

// load drives one partition with a store that answers at once. Outcomes of a batch are written
// together with the claims of the next one.
type load struct {
	p       *claim.Partition
	rng     *rand.Rand
	store   memory
	now     time.Duration
	running []claim.Key
	granted []claim.Key
	written int
	swaps   int
	largest int
	body    int
}

func newLoad(sealBytes int) *load {
	l := &load{store: memory{}, body: 200, rng: rand.New(rand.NewPCG(1, 2))}
	l.p = claim.New(claim.Config{SealBytes: sealBytes, Writer: claim.Holder{Instance: "w"}}, l.rng)
	return l
}

func (l *load) do(effects []claim.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claim.Read:
			entry, kind := l.store.read(e.Key)
			l.do(l.p.Loaded(l.now, e.Call, entry, kind))
		case claim.Swap:
			l.written += len(e.Value)
			l.swaps++
			l.largest = max(l.largest, len(e.Value))
			revision, kind := l.store.swap(e)
			l.do(l.p.Swapped(l.now, e.Call, revision, kind))
		case claim.Reply:
			if e.Kind == claim.Granted {
				l.granted = append(l.granted, e.Key)
			}
		}
	}
}

// finish ends the granted calls.
func (l *load) finish() {
	l.running, l.granted = l.granted, l.running[:0]
	for _, k := range l.running {
		l.do(l.p.Finish(l.now, k, 1, claim.Outcome{Status: 201, ContentType: "application/json", Body: make([]byte, l.body)}))
	}
}

// batch claims n new calls and stores them with the outcomes that wait.
func (l *load) batch(n int) {
	for range n {
		var k claim.Key
		binary.BigEndian.PutUint64(k[:], l.rng.Uint64())
		binary.BigEndian.PutUint64(k[8:], l.rng.Uint64())
		l.do(l.p.Claim(l.now, claim.Request{Key: k, Fingerprint: 77, Nonce: 1, Attempt: "01HZX3V7Q9J8W2M4N6",
			Holder: claim.Holder{Instance: "osaka-2-17", Incarnation: 1 << 40}}))
	}
	l.now += 20 * time.Millisecond
	l.do(l.p.Tick(l.now, l.now.Milliseconds()))
}

// Guards against a value above the platform's 1 MB when many running calls end with large bodies.
func TestValuesStayBelowLimit(t *testing.T) {
	l := newLoad(1 << 20)
	l.body = claim.MaxBodyBytes
	for range 3 {
		l.batch(4000)
	}
	l.finish()
	for range 300 {
		l.batch(0)
	}
	require.True(t, l.p.Idle())
	require.Less(t, l.largest, 1<<20)
}

// BenchmarkClaims measures one claim with its outcome on one core, and the bytes and writes per
// claim, by batch size and head size.
func BenchmarkClaims(b *testing.B) {
	for _, seal := range []int{8 << 10, 16 << 10, 64 << 10} {
		for _, n := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("seal=%dK/batch=%d", seal>>10, n), func(b *testing.B) {
				l := newLoad(seal)
				claims := 0
				for b.Loop() {
					l.finish()
					l.batch(n)
					claims += n
				}
				b.ReportMetric(float64(claims)/b.Elapsed().Seconds(), "claims/s")
				b.ReportMetric(float64(l.written)/float64(claims), "writtenB/claim")
				b.ReportMetric(float64(l.swaps)/float64(claims), "writes/claim")
			})
		}
	}
}

// BenchmarkSealedMemory measures the heap per sealed claim of a partition that has loaded
// 100,000 of them.
func BenchmarkSealedMemory(b *testing.B) {
	const claims = 100_000
	l := newLoad(64 << 10)
	for range claims / 128 {
		l.finish()
		l.batch(128)
	}
	for b.Loop() {
		before := heap()
		loaded := newLoad(64 << 10)
		loaded.store = l.store
		loaded.do(loaded.p.Warm(0))
		b.ReportMetric(float64(heap()-before)/claims, "B/claim")
		runtime.KeepAlive(loaded)
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
