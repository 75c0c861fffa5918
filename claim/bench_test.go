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

// loadDriver runs one partition against a store that answers at once. The outcomes of a batch are
// written together with the claims of the next one.
type loadDriver struct {
	p            *claim.Partition
	rng          *rand.Rand
	store        memoryStore
	now          time.Duration
	running      []claim.Key
	granted      []claim.Key
	writtenBytes int
	swaps        int
	largestValue int
	bodyBytes    int
}

func newLoadDriver(sealBytes int) *loadDriver {
	l := &loadDriver{store: memoryStore{}, bodyBytes: 200, rng: rand.New(rand.NewPCG(1, 2))}
	l.p = claim.New(claim.Config{SealBytes: sealBytes, Writer: claim.Holder{Instance: "w"}}, l.rng)
	return l
}

func (l *loadDriver) carryOut(effects []claim.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claim.Read:
			entry, result := l.store.read(e.Key)
			l.carryOut(l.p.ReadDone(l.now, e.Call, entry, result))
		case claim.Swap:
			l.writtenBytes += len(e.Value)
			l.swaps++
			l.largestValue = max(l.largestValue, len(e.Value))
			revision, result := l.store.swap(e)
			l.carryOut(l.p.SwapDone(l.now, e.Call, revision, result))
		case claim.Reply:
			if e.Kind == claim.Granted {
				l.granted = append(l.granted, e.Key)
			}
		}
	}
}

// finish ends the granted calls.
func (l *loadDriver) finish() {
	l.running, l.granted = l.granted, l.running[:0]
	for _, k := range l.running {
		l.carryOut(l.p.Finish(l.now, k, 1, claim.Outcome{Status: 201, ContentType: "application/json", Body: make([]byte, l.bodyBytes)}))
	}
}

// batch claims n new calls and stores them together with the pending outcomes.
func (l *loadDriver) batch(n int) {
	for range n {
		var k claim.Key
		binary.BigEndian.PutUint64(k[:], l.rng.Uint64())
		binary.BigEndian.PutUint64(k[8:], l.rng.Uint64())
		l.carryOut(l.p.Claim(l.now, claim.Request{Key: k, Fingerprint: 77, Nonce: 1, Attempt: "01HZX3V7Q9J8W2M4N6",
			Holder: claim.Holder{Instance: "osaka-2-17", Incarnation: 1 << 40}}))
	}
	l.now += 20 * time.Millisecond
	l.carryOut(l.p.Tick(l.now, l.now.Milliseconds()))
}

// Guards against a stored value above the platform's limit of 1 MB when many running calls finish
// with large bodies.
func TestValuesStayBelowLimit(t *testing.T) {
	l := newLoadDriver(1 << 20)
	l.bodyBytes = claim.MaxBodyBytes
	for range 3 {
		l.batch(4000)
	}
	l.finish()
	for range 300 {
		l.batch(0)
	}
	require.True(t, l.p.Idle())
	require.Less(t, l.largestValue, 1<<20)
}

// BenchmarkClaims measures one claim with its outcome on one core, and the bytes and writes per
// claim, by batch size and head size.
func BenchmarkClaims(b *testing.B) {
	for _, seal := range []int{8 << 10, 16 << 10, 64 << 10} {
		for _, n := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("seal=%dK/batch=%d", seal>>10, n), func(b *testing.B) {
				l := newLoadDriver(seal)
				claims := 0
				for b.Loop() {
					l.finish()
					l.batch(n)
					claims += n
				}
				b.ReportMetric(float64(claims)/b.Elapsed().Seconds(), "claims/s")
				b.ReportMetric(float64(l.writtenBytes)/float64(claims), "writtenB/claim")
				b.ReportMetric(float64(l.swaps)/float64(claims), "writes/claim")
			})
		}
	}
}

// BenchmarkSealedMemory measures the heap per sealed claim of a partition that has loaded
// 100,000 of them.
func BenchmarkSealedMemory(b *testing.B) {
	const claims = 100_000
	l := newLoadDriver(64 << 10)
	for range claims / 128 {
		l.finish()
		l.batch(128)
	}
	for b.Loop() {
		before := heapBytes()
		loaded := newLoadDriver(64 << 10)
		loaded.store = l.store
		loaded.carryOut(loaded.p.Preload(0))
		b.ReportMetric(float64(heapBytes()-before)/claims, "B/claim")
		runtime.KeepAlive(loaded)
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
