package lease_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/lease"
)

// init fixes the seed of property tests, so that every run has the same verdict. Flags override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var config = lease.Config{
	Name: "orders", TTL: time.Second, Drift: 100 * time.Millisecond, LongestSend: 200 * time.Millisecond,
	RetryMin: 20 * time.Millisecond, RetryMax: 300 * time.Millisecond, CallTimeout: 400 * time.Millisecond,
}

func ExampleHolder() {
	cfg := config
	cfg.Self = "i1#1"
	h := lease.New(cfg, rand.New(rand.NewPCG(1, 2)))
	call := h.Step(0, lease.Want{Duty: true})[0].(lease.Acquire)
	h.Step(100*time.Millisecond, lease.Acquired{Call: call.Call, Fence: 4, TTL: call.TTL})
	fmt.Println(h.Valid(899*time.Millisecond), h.Valid(900*time.Millisecond), h.Fence(), h.ActAfter())
	// Output: true false 4 1.4s
}

// service is the model of the platform's leases.
type service struct {
	holder   string
	fence    uint64
	until    time.Duration
	released uint64
}

func (s *service) acquire(now time.Duration, a lease.Acquire) lease.Acquired {
	if s.holder != a.Holder && now < s.until {
		return lease.Acquired{Call: a.Call, Result: lease.Held}
	}
	if s.holder != a.Holder || now >= s.until {
		s.fence++
	}
	s.holder, s.until = a.Holder, now+a.TTL
	return lease.Acquired{Call: a.Call, Fence: s.fence, TTL: a.TTL, ReleasedFence: s.released}
}

func (s *service) release(now time.Duration, r lease.Release) {
	if s.holder == r.Holder && s.fence == r.Fence && now < s.until {
		s.until = now
		if r.Clean {
			s.released = r.Fence
		}
	}
}

// node is one instance with its own clock, which starts at an offset and runs fast or slow.
type node struct {
	h      *lease.Holder
	offset time.Duration
	// rate is the clock's error in parts per thousand. 90 is within the drift of 100 ms in 1 s.
	rate        int64
	pausedUntil time.Duration
	packets     []lease.Effect
	answers     []lease.Acquired
	// lastValid is the service time at which the node was last seen valid.
	lastValid time.Duration
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + now + now*time.Duration(n.rate)/1000
}

func (n *node) step(now time.Duration, e lease.Event) {
	for _, out := range n.h.Step(n.clock(now), e) {
		switch out.(type) {
		case lease.Acquire, lease.Release:
			n.packets = append(n.packets, out)
		}
	}
}

// carry lets the service take one request and the node one answer. Each may be lost, late or
// out of order.
func (n *node) carry(rng *rand.Rand, now time.Duration, s *service) {
	if len(n.packets) > 0 && rng.IntN(4) == 0 {
		i := rng.IntN(len(n.packets))
		switch p := n.packets[i].(type) {
		case lease.Acquire:
			n.answers = append(n.answers, s.acquire(now, p))
		case lease.Release:
			s.release(now, p)
		}
		n.packets = append(n.packets[:i:i], n.packets[i+1:]...)
	}
	if len(n.answers) > 0 && now >= n.pausedUntil && rng.IntN(6) == 0 {
		i := rng.IntN(len(n.answers))
		answer := n.answers[i]
		n.answers = append(n.answers[:i:i], n.answers[i+1:]...)
		if rng.IntN(8) > 0 {
			n.step(now, answer)
		}
	}
}

// fleet is a group of nodes that compete for one lease.
type fleet struct {
	*rapid.T
	rng           *rand.Rand
	service       service
	nodes         []*node
	last          int
	fence         uint64
	gains, direct int
}

func newFleet(t *rapid.T) *fleet {
	// Rapid favours small numbers, which hides rare timings. A generator seeded by it does not.
	f := &fleet{T: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), last: -1}
	for i := range 3 {
		cfg := config
		cfg.Self = fmt.Sprint("i", i)
		n := &node{h: lease.New(cfg, rand.New(rand.NewPCG(1, uint64(i)))), offset: time.Duration(i) * time.Hour,
			rate: f.rng.Int64N(181) - 90, lastValid: -time.Hour}
		n.step(0, lease.Want{Duty: true})
		f.nodes = append(f.nodes, n)
	}
	return f
}

// disturb pauses a node or changes its wish now and then.
func (f *fleet) disturb(now time.Duration) {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	switch draw := f.rng.IntN(300); {
	case draw < 8:
		n.pausedUntil = now + time.Duration(f.rng.IntN(3000))*time.Millisecond
	case draw < 9:
		n.step(now, lease.Want{Duty: false})
	case draw < 13:
		n.step(now, lease.Want{Duty: true})
	}
}

// check looks at every node's validity at one moment. A paused node counts as well, since it
// may resume between its check and the effect.
func (f *fleet) check(now time.Duration) {
	valid := 0
	for i, n := range f.nodes {
		if !n.h.Valid(n.clock(now)) {
			continue
		}
		valid++
		require.GreaterOrEqual(f, n.h.Fence(), f.fence)
		if i != f.last {
			f.last, f.fence = i, n.h.Fence()
			f.gains++
		}
		if n.h.ActAfter() <= n.clock(now) {
			f.direct++
			f.checkDirect(now, i)
		}
		n.lastValid = now
	}
	require.LessOrEqual(f, valid, 1, "two valid holders at %s", now)
}

func (f *fleet) checkDirect(now time.Duration, actor int) {
	for i, n := range f.nodes {
		require.True(f, i == actor || n.lastValid+config.LongestSend <= now, "predecessor's effects on the wire")
	}
}

// Guards against two holders that act at once: overlapping validity, a fencing number that does
// not rise, or effects on targets without fencing while those of the predecessor are on the wire.
func TestWindowsNeverOverlap(t *testing.T) {
	gains, direct := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
			f.disturb(now)
			for _, n := range f.nodes {
				n.carry(f.rng, now, &f.service)
				if now >= n.pausedUntil {
					n.step(now, lease.Tick{})
				}
			}
			f.check(now)
		}
		gains += f.gains
		direct += f.direct
	})
	t.Logf("%d gains, %d checks with direct effects", gains, direct)
	require.Greater(t, gains, 200)
	require.NotZero(t, direct)
}
