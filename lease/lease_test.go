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

// init fixes the seed of the property tests, so that every run has the same result. Flags override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var config = lease.Config{
	Name: "orders", TTL: time.Second, Drift: 100 * time.Millisecond, MaxSendTime: 200 * time.Millisecond,
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

// service models the platform's lease service.
type service struct {
	holder   string
	fence    uint64
	expires  time.Duration
	released uint64
}

func (s *service) acquire(now time.Duration, a lease.Acquire) lease.Acquired {
	if s.holder != a.Holder && now < s.expires {
		return lease.Acquired{Call: a.Call, Result: lease.Held}
	}
	if s.holder != a.Holder || now >= s.expires {
		s.fence++
	}
	s.holder, s.expires = a.Holder, now+a.TTL
	return lease.Acquired{Call: a.Call, Fence: s.fence, TTL: a.TTL, ReleasedFence: s.released}
}

func (s *service) release(now time.Duration, r lease.Release) {
	if s.holder == r.Holder && s.fence == r.Fence && now < s.expires {
		s.expires = now
		if r.Clean {
			s.released = r.Fence
		}
	}
}

// node is one instance with its own clock, which starts at an offset and is fast or slow.
type node struct {
	holder *lease.Holder
	offset time.Duration
	// clockError is the clock's error in parts per thousand. 90 is within the drift of 100 ms in 1 s.
	clockError  int64
	pausedUntil time.Duration
	requests    []lease.Effect
	answers     []lease.Acquired
	// lastValid is the service time at which the node was last seen valid.
	lastValid time.Duration
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + now + now*time.Duration(n.clockError)/1000
}

func (n *node) step(now time.Duration, e lease.Event) {
	for _, out := range n.holder.Step(n.clock(now), e) {
		switch out.(type) {
		case lease.Acquire, lease.Release:
			n.requests = append(n.requests, out)
		}
	}
}

// deliver delivers at most one request to the service and one answer to the node. Each may be lost,
// late or out of order.
func (n *node) deliver(rng *rand.Rand, now time.Duration, s *service) {
	if len(n.requests) > 0 && rng.IntN(4) == 0 {
		i := rng.IntN(len(n.requests))
		switch p := n.requests[i].(type) {
		case lease.Acquire:
			n.answers = append(n.answers, s.acquire(now, p))
		case lease.Release:
			s.release(now, p)
		}
		n.requests = append(n.requests[:i:i], n.requests[i+1:]...)
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

// cluster is a group of nodes that compete for one lease.
type cluster struct {
	*rapid.T
	rng                 *rand.Rand
	service             service
	nodes               []*node
	lastHolder          int
	lastFence           uint64
	gains, directChecks int
}

func newCluster(t *rapid.T) *cluster {
	// Rapid prefers small numbers, which makes rare timings unlikely. A generator that rapid only seeds
	// does not.
	c := &cluster{T: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), lastHolder: -1}
	for i := range 3 {
		cfg := config
		cfg.Self = fmt.Sprint("i", i)
		n := &node{holder: lease.New(cfg, rand.New(rand.NewPCG(1, uint64(i)))), offset: time.Duration(i) * time.Hour,
			clockError: c.rng.Int64N(181) - 90, lastValid: -time.Hour}
		n.step(0, lease.Want{Duty: true})
		c.nodes = append(c.nodes, n)
	}
	return c
}

// injectFault occasionally pauses a node or changes whether it wants the duty.
func (c *cluster) injectFault(now time.Duration) {
	n := c.nodes[c.rng.IntN(len(c.nodes))]
	switch draw := c.rng.IntN(300); {
	case draw < 8:
		n.pausedUntil = now + time.Duration(c.rng.IntN(3000))*time.Millisecond
	case draw < 9:
		n.step(now, lease.Want{Duty: false})
	case draw < 13:
		n.step(now, lease.Want{Duty: true})
	}
}

// check checks at one moment that at most one node is valid and that fencing numbers do not fall. A
// paused node counts as well, since it may resume between its check of Valid and the action.
func (c *cluster) check(now time.Duration) {
	valid := 0
	for i, n := range c.nodes {
		if !n.holder.Valid(n.clock(now)) {
			continue
		}
		valid++
		require.GreaterOrEqual(c, n.holder.Fence(), c.lastFence)
		if i != c.lastHolder {
			c.lastHolder, c.lastFence = i, n.holder.Fence()
			c.gains++
		}
		if n.holder.ActAfter() <= n.clock(now) {
			c.directChecks++
			c.checkDirect(now, i)
		}
		n.lastValid = now
	}
	require.LessOrEqual(c, valid, 1, "two valid holders at %s", now)
}

// checkDirect checks that when a node may act on targets without fencing, no action of another node
// can still be in transit.
func (c *cluster) checkDirect(now time.Duration, actor int) {
	for i, n := range c.nodes {
		require.True(c, i == actor || n.lastValid+config.MaxSendTime <= now, "actions of the previous holder in transit")
	}
}

// Guards against two holders that act at the same time: overlapping validity, a fencing number that
// falls, or actions on targets without fencing while those of the previous holder are still in transit.
func TestWindowsNeverOverlap(t *testing.T) {
	gains, direct := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
			c.injectFault(now)
			for _, n := range c.nodes {
				n.deliver(c.rng, now, &c.service)
				if now >= n.pausedUntil {
					n.step(now, lease.Tick{})
				}
			}
			c.check(now)
		}
		gains += c.gains
		direct += c.directChecks
	})
	t.Logf("%d gains, %d checks with direct actions", gains, direct)
	require.Greater(t, gains, 200)
	require.NotZero(t, direct)
}
