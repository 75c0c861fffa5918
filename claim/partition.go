package claim

import (
	"math/rand/v2"
	"time"
)

// maxBatchBytes bounds the growth of the head by one batch.
const maxBatchBytes = 256 << 10

// maxContentTypeBytes bounds the recorded content type. An outcome with a longer one keeps only its status.
const maxContentTypeBytes = 256

// maxHeadBytes is the head size above which new claims are refused. A batch of outcomes may
// follow on top, and the platform refuses values above 1 MB.
const maxHeadBytes = 512 << 10

// maxSealBytes bounds SealBytes, so that a batch on top still fits into one segment.
const maxSealBytes = 256 << 10

// Partition is the state machine of one writer of a claim partition. It is not safe for
// concurrent use. Every method returns the effects to carry out.
type Partition struct {
	cfg    Config
	rng    *rand.Rand
	wallMS int64

	base *head
	// confirmed is the number of the newest answered call that proved base to be current.
	confirmed uint64
	// stale reports that the head must be read before anything else.
	stale bool
	// verify reports that an operation needs base to be confirmed by a read or a write.
	verify bool
	// unsettled reports that a swap expecting revision unsettledAt may still take effect.
	unsettled   bool
	unsettledAt uint64

	ops     []*op
	pending map[ref]*op
	// work holds the staged changes of the first evaluated operations.
	work      *overlay
	evaluated int

	calls    uint64
	inflight *call
	fetches  map[uint64]*fetch
	indexes  map[uint64]index
	segments uint64
	sealed   *seal

	retryAt   time.Duration
	failures  int
	downSince time.Duration

	out []Effect
}

// New returns a partition that has loaded nothing yet. The source rng provides the jitter of
// backoff; it must be seeded by the caller.
func New(cfg Config, rng *rand.Rand) *Partition {
	return &Partition{
		cfg:     cfg.withDefaults(),
		rng:     rng,
		pending: map[ref]*op{},
		fetches: map[uint64]*fetch{},
		indexes: map[uint64]index{},
	}
}

// Warm loads the head and the segment indexes ahead of the first claim.
func (p *Partition) Warm(now time.Duration) []Effect {
	p.stale = p.stale || p.base == nil
	return p.advance(now)
}

// Claim asks for the right to run a call. Exactly one Reply answers each nonce.
func (p *Partition) Claim(now time.Duration, r Request) []Effect {
	id := ref{r.Key, r.Nonce}
	if p.pending[id] != nil {
		return p.advance(now)
	}
	o := &op{kind: opClaim, ref: id, request: r, arrived: now, after: p.calls, deadline: now + p.cfg.Deadline}
	if len(p.pending) >= p.cfg.MaxPending || p.downFor(now) >= p.cfg.Deadline {
		o.deadline = now
	}
	p.pending[id] = o
	p.ops = append(p.ops, o)
	return p.advance(now)
}

// Finish records the outcome of the call that was granted under nonce. It is answered by Stored.
func (p *Partition) Finish(now time.Duration, k Key, nonce uint64, out Outcome) []Effect {
	if len(out.Body) > MaxBodyBytes || len(out.ContentType) > maxContentTypeBytes || out.StatusOnly {
		out = Outcome{Status: out.Status, StatusOnly: true}
	}
	return p.update(now, &op{kind: opFinish, ref: ref{k, nonce}, outcome: out})
}

// Release gives up a claim whose call provably did not run. It is answered by Stored.
func (p *Partition) Release(now time.Duration, k Key, nonce uint64) []Effect {
	return p.update(now, &op{kind: opRelease, ref: ref{k, nonce}})
}

// MarkUnknown records that the call granted under nonce may have run. It is answered by Stored.
func (p *Partition) MarkUnknown(now time.Duration, k Key, nonce uint64) []Effect {
	return p.update(now, &op{kind: opUnknown, ref: ref{k, nonce}})
}

// InstanceGone marks the running claims of an instance as unknown, up to and including an
// incarnation. It has no reply.
func (p *Partition) InstanceGone(now time.Duration, h Holder) []Effect {
	return p.update(now, &op{kind: opGone, gone: h, internal: true})
}

// Tick advances time. The wall-clock time in milliseconds stamps records and drives retention.
// Tick must be called at NextTick, and often enough to keep the wall-clock time current.
func (p *Partition) Tick(now time.Duration, wallMS int64) []Effect {
	p.wallMS = wallMS
	p.timeoutCalls(now)
	return p.advance(now)
}

// Running returns the holders of running claims, as far as loaded. The caller compares them with
// the live instances and reports the others by InstanceGone.
func (p *Partition) Running() []Holder {
	if p.base == nil {
		return nil
	}
	var holders []Holder
	seen := map[Holder]bool{}
	for _, r := range p.base.records {
		if h := r.holder(); r.State == stateClaimed && !seen[h] {
			seen[h] = true
			holders = append(holders, h)
		}
	}
	return holders
}

// Idle reports whether nothing is pending, so that the partition may be dropped.
func (p *Partition) Idle() bool {
	return len(p.ops) == 0 && p.inflight == nil && len(p.fetches) == 0 && !p.unsettled
}

// NextTick returns the time at which Tick is needed next, and false if nothing waits.
func (p *Partition) NextTick() (time.Duration, bool) {
	if p.Idle() && !p.stale {
		return 0, false
	}
	next := time.Duration(1<<63 - 1)
	if p.inflight != nil {
		next = p.inflight.issued + p.cfg.CallTimeout
	} else if p.stale || p.unsettled || p.verify {
		next = p.retryAt
	}
	for _, f := range p.fetches {
		next = min(next, f.issued+p.cfg.CallTimeout)
	}
	return min(next, p.nextDue()), true
}

// nextDue returns the earliest batch time or deadline. Operations are in order of arrival, so
// that the first of each class decides.
func (p *Partition) nextDue() time.Duration {
	next := time.Duration(1<<63 - 1)
	var claims, updates bool
	for _, o := range p.ops {
		if o.kind == opClaim {
			next = min(next, o.deadline)
		}
		if p.inflight != nil || !o.staged {
			continue
		}
		next = min(next, max(p.due(o), p.retryAt))
		claims = claims || o.kind == opClaim
		updates = updates || o.kind != opClaim
		if claims && updates {
			break
		}
	}
	return next
}

func (p *Partition) due(o *op) time.Duration {
	if o.kind == opClaim {
		return o.arrived + p.cfg.BatchEvery
	}
	return o.arrived + p.cfg.Linger
}

func (p *Partition) update(now time.Duration, o *op) []Effect {
	o.arrived = now
	o.after = p.calls
	p.ops = append(p.ops, o)
	return p.advance(now)
}

// advance expires claims, evaluates what is new, starts the next storage call and returns the
// collected effects.
func (p *Partition) advance(now time.Duration) []Effect {
	p.expire(now)
	if p.inflight == nil && now >= p.retryAt {
		p.step(now)
	}
	p.compact()
	out := p.out
	p.out = nil
	return out
}

func (p *Partition) step(now time.Duration) {
	if p.stale || (p.base == nil && len(p.ops) > 0) {
		p.readHead(now)
		return
	}
	if p.base == nil || !p.indexAll(now) {
		return
	}
	p.evaluate(now)
	// A due batch goes before a read, since its swap confirms the head as well. Otherwise a
	// steady flow of resends would hold up all claims.
	switch {
	case p.batchDue(now):
		p.write(now)
	case p.verify:
		p.readHead(now)
	}
}

// batchDue reports whether a staged operation has waited long enough, or whether a lost write
// must be settled.
func (p *Partition) batchDue(now time.Duration) bool {
	if p.unsettled {
		return true
	}
	for _, o := range p.ops {
		if o.staged && now >= p.due(o) {
			return true
		}
	}
	return false
}

// compact drops answered operations.
func (p *Partition) compact() {
	kept := p.ops[:0]
	evaluated := 0
	for i, o := range p.ops {
		if o.done {
			continue
		}
		if i < p.evaluated {
			evaluated++
		}
		kept = append(kept, o)
	}
	clear(p.ops[len(kept):])
	p.ops = kept
	p.evaluated = evaluated
}

// restage discards the staged batch, so that every pending operation is evaluated again.
func (p *Partition) restage() {
	p.work = nil
	p.evaluated = 0
	for _, o := range p.ops {
		o.staged, o.reply = false, nil
	}
}

func (p *Partition) downFor(now time.Duration) time.Duration {
	if p.failures == 0 {
		return 0
	}
	return now - p.downSince
}
