package claim

import (
	"math/rand/v2"
	"time"
)

// maxBatchBytes bounds the growth of the head by one batch.
const maxBatchBytes = 256 << 10

// maxContentTypeBytes bounds the recorded content type. Of an outcome with a longer one only the
// status is recorded.
const maxContentTypeBytes = 256

// maxHeadBytes is the head size above which new claims are answered Unavailable. It leaves room
// for a batch of outcomes, since the platform refuses values above 1 MB.
const maxHeadBytes = 512 << 10

// maxSealBytes bounds SealBytes, so that the records of a head of this size and of one more batch
// still fit into one segment.
const maxSealBytes = 256 << 10

// Partition is the state machine of one writer of a claim partition. It is not safe for
// concurrent use. Every input method returns the effects to carry out.
type Partition struct {
	cfg    Config
	rng    *rand.Rand
	wallMS int64

	// base is the cached head, or nil before the first read.
	base *head
	// confirmedBy is the number of the newest answered call that proved base to be current.
	confirmedBy uint64
	// headStale reports that the head must be read before any other call.
	headStale bool
	// confirmNeeded reports that an operation waits for a read or write that proves base current.
	confirmNeeded bool
	// writeUncertain reports that a swap that expects revision uncertainRevision may still take
	// effect.
	writeUncertain    bool
	uncertainRevision uint64

	ops           []*op
	pendingClaims map[claimID]*op
	// batch holds the staged changes of the first evaluatedOps operations.
	batch        *overlay
	evaluatedOps int

	// lastCall is the number of the last storage call, and lastSegment that of the last segment
	// that this writer wrote.
	lastCall     uint64
	inflight     *call
	segmentReads map[uint64]*segmentRead
	// indexes holds the indexes of the loaded segments.
	indexes     map[uint64]index
	lastSegment uint64
	// unlistedSegment is a stored segment that the next head write lists, or nil.
	unlistedSegment *sealedSegment

	retryAt      time.Duration
	failures     int
	failingSince time.Duration

	effects []Effect
}

// New returns a partition that has loaded nothing yet. The caller seeds rng, which provides the
// jitter of the backoff.
func New(cfg Config, rng *rand.Rand) *Partition {
	return &Partition{
		cfg:           cfg.withDefaults(),
		rng:           rng,
		pendingClaims: map[claimID]*op{},
		segmentReads:  map[uint64]*segmentRead{},
		indexes:       map[uint64]index{},
	}
}

// Preload loads the head and the segment indexes ahead of the first claim.
func (p *Partition) Preload(now time.Duration) []Effect {
	p.headStale = p.headStale || p.base == nil
	return p.advance(now)
}

// Claim asks for the right to run a call. Each nonce gets exactly one Reply.
func (p *Partition) Claim(now time.Duration, r Request) []Effect {
	id := claimID{r.Key, r.Nonce}
	if p.pendingClaims[id] != nil {
		return p.advance(now)
	}
	o := &op{kind: opClaim, claimID: id, request: r, arrived: now, lastCallBefore: p.lastCall, deadline: now + p.cfg.Deadline}
	if len(p.pendingClaims) >= p.cfg.MaxPending || p.failingFor(now) >= p.cfg.Deadline {
		o.deadline = now
	}
	p.pendingClaims[id] = o
	p.ops = append(p.ops, o)
	return p.advance(now)
}

// Finish records the outcome of the call that was granted under nonce. It is answered by Stored.
func (p *Partition) Finish(now time.Duration, k Key, nonce uint64, out Outcome) []Effect {
	if len(out.Body) > MaxBodyBytes || len(out.ContentType) > maxContentTypeBytes || out.StatusOnly {
		out = Outcome{Status: out.Status, StatusOnly: true}
	}
	return p.enqueueUpdate(now, &op{kind: opFinish, claimID: claimID{k, nonce}, outcome: out})
}

// Release gives up a claim whose call certainly did not run. It is answered by Stored.
func (p *Partition) Release(now time.Duration, k Key, nonce uint64) []Effect {
	return p.enqueueUpdate(now, &op{kind: opRelease, claimID: claimID{k, nonce}})
}

// MarkUnknown records that the call granted under nonce may have run. It is answered by Stored.
func (p *Partition) MarkUnknown(now time.Duration, k Key, nonce uint64) []Effect {
	return p.enqueueUpdate(now, &op{kind: opMarkUnknown, claimID: claimID{k, nonce}})
}

// InstanceGone marks the running claims of an instance as unknown, for the given incarnation and
// earlier ones. It has no reply.
func (p *Partition) InstanceGone(now time.Duration, h Holder) []Effect {
	return p.enqueueUpdate(now, &op{kind: opInstanceGone, goneHolder: h, internal: true})
}

// Tick advances time. The wall-clock time in milliseconds is stored in records and decides their
// retention. Tick must be called at NextTick, and often enough to keep the wall-clock time current.
func (p *Partition) Tick(now time.Duration, wallMS int64) []Effect {
	p.wallMS = wallMS
	p.timeoutCalls(now)
	return p.advance(now)
}

// Running returns the holders of the running claims in the cached head. The caller compares them
// with the live instances and calls InstanceGone for the others.
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

// Idle reports whether nothing is pending, so that the Partition may be discarded.
func (p *Partition) Idle() bool {
	return len(p.ops) == 0 && p.inflight == nil && len(p.segmentReads) == 0 && !p.writeUncertain
}

// NextTick returns the time at which Tick is needed next, and false if nothing is pending.
func (p *Partition) NextTick() (time.Duration, bool) {
	if p.Idle() && !p.headStale {
		return 0, false
	}
	next := time.Duration(1<<63 - 1)
	if p.inflight != nil {
		next = p.inflight.issued + p.cfg.CallTimeout
	} else if p.headStale || p.writeUncertain || p.confirmNeeded {
		next = p.retryAt
	}
	for _, f := range p.segmentReads {
		next = min(next, f.issued+p.cfg.CallTimeout)
	}
	return min(next, p.nextBatchOrDeadline()), true
}

// nextBatchOrDeadline returns the earliest batch time or deadline. Operations are in order of
// arrival, so the first staged claim and the first staged update decide the batch time.
func (p *Partition) nextBatchOrDeadline() time.Duration {
	next := time.Duration(1<<63 - 1)
	var claims, updates bool
	for _, o := range p.ops {
		if o.kind == opClaim {
			next = min(next, o.deadline)
		}
		if p.inflight != nil || !o.staged {
			continue
		}
		next = min(next, max(p.batchTime(o), p.retryAt))
		claims = claims || o.kind == opClaim
		updates = updates || o.kind != opClaim
		if claims && updates {
			break
		}
	}
	return next
}

// batchTime returns the time from which a staged operation makes its batch due.
func (p *Partition) batchTime(o *op) time.Duration {
	if o.kind == opClaim {
		return o.arrived + p.cfg.BatchDelay
	}
	return o.arrived + p.cfg.UpdateDelay
}

func (p *Partition) enqueueUpdate(now time.Duration, o *op) []Effect {
	o.arrived = now
	o.lastCallBefore = p.lastCall
	p.ops = append(p.ops, o)
	return p.advance(now)
}

// advance expires claims, evaluates new operations, starts the next storage call and returns the
// collected effects.
func (p *Partition) advance(now time.Duration) []Effect {
	p.expireClaims(now)
	if p.inflight == nil && now >= p.retryAt {
		p.startNextCall(now)
	}
	p.dropDoneOps()
	out := p.effects
	p.effects = nil
	return out
}

// startNextCall evaluates new operations and starts the storage call that is needed most.
func (p *Partition) startNextCall(now time.Duration) {
	if p.headStale || (p.base == nil && len(p.ops) > 0) {
		p.readHead(now)
		return
	}
	if p.base == nil || !p.loadIndexes(now) {
		return
	}
	p.evaluate(now)
	// A due batch is written before a read, since its swap confirms the head as well. If reads
	// went first, a steady flow of resends would delay all claims.
	switch {
	case p.batchDue(now):
		p.writeBatch(now)
	case p.confirmNeeded:
		p.readHead(now)
	}
}

// batchDue reports whether a staged operation has reached its batch time, or whether a write is
// needed to find out if a lost write took effect.
func (p *Partition) batchDue(now time.Duration) bool {
	if p.writeUncertain {
		return true
	}
	for _, o := range p.ops {
		if o.staged && now >= p.batchTime(o) {
			return true
		}
	}
	return false
}

// dropDoneOps removes completed operations.
func (p *Partition) dropDoneOps() {
	kept := p.ops[:0]
	evaluated := 0
	for i, o := range p.ops {
		if o.done {
			continue
		}
		if i < p.evaluatedOps {
			evaluated++
		}
		kept = append(kept, o)
	}
	clear(p.ops[len(kept):])
	p.ops = kept
	p.evaluatedOps = evaluated
}

// resetBatch discards the staged batch, so that every pending operation is evaluated again.
func (p *Partition) resetBatch() {
	p.batch = nil
	p.evaluatedOps = 0
	for _, o := range p.ops {
		o.staged, o.reply = false, nil
	}
}

// failingFor returns how long storage calls have been failing, or zero.
func (p *Partition) failingFor(now time.Duration) time.Duration {
	if p.failures == 0 {
		return 0
	}
	return now - p.failingSince
}
