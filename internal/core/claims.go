package core

import (
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/claim"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// claimDeadline is the time after which a claim that is not stored is refused.
	claimDeadline = time.Second
	// claimTimeout is the time to wait for the owner's reply; it leaves room for the owner's own deadline.
	claimTimeout = claimDeadline + 500*time.Millisecond
	// claimSealBytes is the head size at which finished claims move to a segment. At low load
	// each claim writes the whole head: 4.6 KB with this size and 32 KB with the package's
	// default of 64 KiB, which alone would exceed the control budget at a few calls a second.
	claimSealBytes = 8 << 10
	// joinInterval is the time between looks at a call that runs elsewhere.
	joinInterval = 200 * time.Millisecond
	// finishRetry is the time after which an unconfirmed end of a claim is sent again.
	finishRetry = time.Second
	// holderPatience is the time since start before an instance that was never heard is taken for gone.
	holderPatience = 30 * time.Second
)

// requestClaim is the claim of a request at its entry.
type requestClaim struct {
	key   claim.Key
	id    uint64
	nonce uint64
	owner fleet.InstanceID
	// held tells that the claim was granted and its end is not yet reported.
	held bool
}

// pendingEnd is the end of a claim that waits for its confirmation.
type pendingEnd struct {
	key     claim.Key
	nonce   uint64
	end     wire.ClaimEnd
	outcome *wire.Outcome
	owner   fleet.InstanceID
	sent    time.Duration
}

// claimant is the instance that waits for a reply of a partition.
type claimant struct {
	instance fleet.InstanceID
	id       uint64
}

type claimRef struct {
	key   claim.Key
	nonce uint64
}

// claimState is the state of the claim role, both as entry and as writer of partitions.
type claimState struct {
	lastID    uint64
	waiting   map[uint64]*request
	ends      map[uint64]*pendingEnd
	writers   map[int]*claim.Partition
	claimants map[claimRef]claimant
	nextCheck time.Duration
}

func (s *claimState) init() {
	s.waiting = make(map[uint64]*request)
	s.ends = make(map[uint64]*pendingEnd)
	s.writers = make(map[int]*claim.Partition)
	s.claimants = make(map[claimRef]claimant)
}

// reachableOwner returns the owner of a partition, or this instance when the owner has no link:
// any instance may write a partition.
func (c *Core) reachableOwner(partition int) fleet.InstanceID {
	owner := c.claimOwner(partition)
	if owner != c.cfg.Instance && !c.isLinked(owner) {
		return c.cfg.Instance
	}
	return owner
}

// startClaim asks for the right to run a non-idempotent call.
func (c *Core) startClaim(r *request) {
	if c.mono() >= r.waitLimit {
		c.fail(r, FailureUnknown, CodeOutcomeUnknown, "a call with the same key still runs", overloadRetryAfter)
		return
	}
	c.claims.lastID++
	key := claim.KeyOf(r.call.Customer, r.call.Service, r.call.IdempotencyKey)
	r.claim = requestClaim{
		key:   key,
		id:    c.claims.lastID,
		nonce: c.rng.Uint64(),
		owner: c.reachableOwner(claim.PartitionOf(key)),
	}
	r.stage = stageClaim
	c.claims.waiting[r.claim.id] = r
	c.setTimer(r, c.mono()+claimTimeout)
	c.send(r.claim.owner, &wire.ClaimRequest{
		ID:          r.claim.id,
		Key:         key[:],
		Fingerprint: r.call.Fingerprint,
		Attempt:     c.attemptID(r.claim.id),
		Nonce:       r.claim.nonce,
	})
}

// claimReplied handles the owner's answer at the entry.
func (c *Core) claimReplied(_ fleet.InstanceID, m *wire.ClaimReply) {
	if m.Status == wire.ClaimStored {
		delete(c.claims.ends, m.ID)
		return
	}
	r := c.claims.waiting[m.ID]
	if r == nil || r.claim.id != m.ID || r.stage != stageClaim {
		c.count(CounterLateReplies, 1)
		return
	}
	delete(c.claims.waiting, m.ID)
	c.stopTimer(r)
	switch m.Status {
	case wire.ClaimGranted:
		c.count(CounterClaimsGranted, 1)
		r.claim.held = true
		c.startAdmission(r)
	case wire.ClaimRecorded:
		c.replay(r, m.Outcome)
	case wire.ClaimRunning:
		c.pause(r, c.jitter(joinInterval), thenClaim)
	case wire.ClaimUnknown:
		c.fail(r, FailureUnknown, CodeOutcomeUnknown, "an earlier call with this key may have run; its outcome was not recorded", 0)
	case wire.ClaimMismatch:
		c.fail(r, FailureNotRun, CodeKeyReused, "the idempotency key was used with another request", 0)
	case wire.ClaimUnavailable:
		if m.Unsettled {
			c.reportEnd(r.claim, wire.ClaimEndReleased, nil)
		}
		c.claimUnavailable(r)
	}
}

func (c *Core) replay(r *request, outcome *wire.Outcome) {
	if outcome == nil {
		c.fail(r, FailureUnknown, CodeOutcomeUnknown, "the recorded outcome could not be read", overloadRetryAfter)
		return
	}
	c.count(CounterClaimsReplayed, 1)
	c.emit(ReplayOutcome{Request: r.id, Outcome: *outcome})
	c.finish(r, "replayed")
}

// claimTimedOut gives up on a claim. A late grant is given back by its nonce.
func (c *Core) claimTimedOut(r *request) {
	delete(c.claims.waiting, r.claim.id)
	c.reportEnd(r.claim, wire.ClaimEndReleased, nil)
	c.claimUnavailable(r)
}

// claimUnavailable refuses a call that can't be claimed, unless every engine of the
// service checks idempotency keys itself.
func (c *Core) claimUnavailable(r *request) {
	c.count(CounterClaimsUnavailable, 1)
	if !c.checksKeys(r.call.Service) {
		c.fail(r, FailureNotRun, CodeClaimsDown, "the call can't be claimed at present", overloadRetryAfter)
		return
	}
	c.startAdmission(r)
}

// checksKeys reports whether every engine of a service recognizes the idempotency keys of all of them.
func (c *Core) checksKeys(id fleet.ServiceID) bool {
	pool := c.pools[id]
	if pool == nil {
		return false
	}
	for _, engine := range pool.engines {
		if !engine.ChecksIdempotencyKeys {
			return false
		}
	}
	return true
}

// endClaim reports the end of a request's claim without an outcome.
func (c *Core) endClaim(r *request, end wire.ClaimEnd) {
	if r.stage == stageClaim {
		delete(c.claims.waiting, r.claim.id)
		c.reportEnd(r.claim, wire.ClaimEndReleased, nil)
		return
	}
	if r.claim.held {
		r.claim.held = false
		c.reportEnd(r.claim, end, nil)
	}
}

// recordOutcome reports the outcome of a completed call.
func (c *Core) recordOutcome(r *request, outcome *wire.Outcome) {
	if !r.claim.held {
		return
	}
	r.claim.held = false
	end := wire.ClaimEndDone
	if outcome == nil {
		end = wire.ClaimEndUnknown
	}
	c.reportEnd(r.claim, end, outcome)
}

func (c *Core) reportEnd(rc requestClaim, end wire.ClaimEnd, outcome *wire.Outcome) {
	c.claims.lastID++
	pending := &pendingEnd{key: rc.key, nonce: rc.nonce, end: end, outcome: outcome, owner: rc.owner}
	c.claims.ends[c.claims.lastID] = pending
	c.sendEnd(c.claims.lastID, pending)
}

func (c *Core) sendEnd(id uint64, p *pendingEnd) {
	if p.owner != c.cfg.Instance && !c.isLinked(p.owner) {
		p.owner = c.reachableOwner(claim.PartitionOf(p.key))
	}
	p.sent = c.mono()
	c.send(p.owner, &wire.ClaimFinish{ID: id, Key: p.key[:], Nonce: p.nonce, End: p.end, Outcome: p.outcome})
}

func (c *Core) tickClaims() {
	for _, partition := range c.ownPartitions() {
		w := c.claims.writers[partition]
		if at, ok := w.NextTick(); ok && c.mono() >= at {
			c.claimEffects(partition, w.Tick(c.mono(), c.now.Wall.UnixMilli()))
		}
	}
	if c.mono() < c.claims.nextCheck {
		return
	}
	c.claims.nextCheck = c.mono() + c.jitter(finishRetry)
	c.repeatEnds()
	c.checkHolders()
}

// repeatEnds sends unconfirmed ends again.
func (c *Core) repeatEnds() {
	ids := make([]uint64, 0, len(c.claims.ends))
	for id, p := range c.claims.ends {
		if c.mono()-p.sent >= finishRetry {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		c.sendEnd(id, c.claims.ends[id])
	}
}
