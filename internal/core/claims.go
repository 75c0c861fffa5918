package core

import (
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/claim"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// claimDeadline is the time after which the owner refuses a claim that is not stored.
	claimDeadline = time.Second
	// claimTimeout is the entry's time limit of the owner's reply. It exceeds the owner's own deadline.
	claimTimeout = claimDeadline + 500*time.Millisecond
	// claimSealBytes is the size of a partition's head at which finished claims move to a
	// segment. At low load each claim writes the whole head: 4.6 KB with this size and 32 KB
	// with the default of 64 KiB, which alone would exceed the control budget at a few calls
	// a second.
	claimSealBytes = 8 << 10
	// runningCallCheckInterval is the time between claims of a request while another call with
	// the same key runs.
	runningCallCheckInterval = 200 * time.Millisecond
	// claimEndRetryInterval is the time after which an unconfirmed end of a claim is sent again.
	claimEndRetryInterval = time.Second
	// unknownHolderGracePeriod is the time after the start of this process before a claim's
	// holder that is not in the membership view counts as gone.
	unknownHolderGracePeriod = 30 * time.Second
)

// requestClaim is the entry's state of a request's claim.
type requestClaim struct {
	key   claim.Key
	id    uint64
	nonce uint64
	owner fleet.InstanceID
	// held is set while the claim is granted and its end has not been reported.
	held bool
}

// unconfirmedClaimEnd is the reported end of a claim that the owner has not confirmed as stored.
type unconfirmedClaimEnd struct {
	key     claim.Key
	nonce   uint64
	end     wire.ClaimEnd
	outcome *wire.Outcome
	owner   fleet.InstanceID
	sent    time.Duration
}

// claimant is an instance that waits for a partition's reply, with the id of its message.
type claimant struct {
	instance fleet.InstanceID
	id       uint64
}

// claimRef identifies one claim: the nonce distinguishes claims of the same key.
type claimRef struct {
	key   claim.Key
	nonce uint64
}

// claimState is the state of claims, both as entry and as writer of partitions.
type claimState struct {
	lastID uint64
	// waiting holds the requests of this entry that wait for the reply to a claim, by message id.
	waiting         map[uint64]*request
	unconfirmedEnds map[uint64]*unconfirmedClaimEnd
	// writers holds the state machines of the partitions that this instance writes.
	writers        map[int]*claim.Partition
	claimants      map[claimRef]claimant
	nextClaimCheck time.Duration
}

func (s *claimState) init() {
	s.waiting = make(map[uint64]*request)
	s.unconfirmedEnds = make(map[uint64]*unconfirmedClaimEnd)
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

// startClaim claims the idempotency key of a non-idempotent call before it runs.
func (c *Core) startClaim(r *request) {
	if c.mono() >= r.waitLimit {
		c.failRequest(r, FailureUnknown, CodeOutcomeUnknown, "another call with the same idempotency key is still running", overloadRetryAfter)
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

// claimReplied handles the owner's reply to a claim or to the end of one.
func (c *Core) claimReplied(_ fleet.InstanceID, m *wire.ClaimReply) {
	if m.Status == wire.ClaimStored {
		delete(c.claims.unconfirmedEnds, m.ID)
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
		c.replayOutcome(r, m.Outcome)
	case wire.ClaimRunning:
		c.pauseRequest(r, c.jitter(runningCallCheckInterval), thenClaim)
	case wire.ClaimUnknown:
		c.failRequest(r, FailureUnknown, CodeOutcomeUnknown, "an earlier call with this key may have run; its outcome was not recorded", 0)
	case wire.ClaimMismatch:
		c.failRequest(r, FailureNotRun, CodeKeyReused, "the idempotency key was used with another request", 0)
	case wire.ClaimUnavailable:
		if m.MayBeStored {
			c.reportClaimEnd(r.claim, wire.ClaimEndReleased, nil)
		}
		c.claimUnavailable(r)
	}
}

// replayOutcome answers a request with the recorded outcome of an earlier call.
func (c *Core) replayOutcome(r *request, outcome *wire.Outcome) {
	if outcome == nil {
		c.failRequest(r, FailureUnknown, CodeOutcomeUnknown, "the recorded outcome could not be read", overloadRetryAfter)
		return
	}
	c.count(CounterClaimsReplayed, 1)
	c.emit(ReplayOutcome{Request: r.id, Outcome: *outcome})
	c.endRequest(r, "replayed")
}

// claimTimedOut handles a missing reply to a claim. It releases the claim by its nonce, in
// case it has been or will be granted.
func (c *Core) claimTimedOut(r *request) {
	delete(c.claims.waiting, r.claim.id)
	c.reportClaimEnd(r.claim, wire.ClaimEndReleased, nil)
	c.claimUnavailable(r)
}

// claimUnavailable refuses a call that can't be claimed, unless every engine of the
// service checks idempotency keys itself.
func (c *Core) claimUnavailable(r *request) {
	c.count(CounterClaimsUnavailable, 1)
	if !c.checksIdempotencyKeys(r.call.Service) {
		c.failRequest(r, FailureNotRun, CodeClaimsUnavailable, "the idempotency key could not be claimed; claims are unavailable at the moment", overloadRetryAfter)
		return
	}
	c.startAdmission(r)
}

// checksIdempotencyKeys reports whether every engine of a service recognizes the idempotency
// keys of calls that ran on any of them.
func (c *Core) checksIdempotencyKeys(id fleet.ServiceID) bool {
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

// endClaim reports the end of a request's claim without an outcome. A claim that has not been
// answered is released.
func (c *Core) endClaim(r *request, end wire.ClaimEnd) {
	if r.stage == stageClaim {
		delete(c.claims.waiting, r.claim.id)
		c.reportClaimEnd(r.claim, wire.ClaimEndReleased, nil)
		return
	}
	if r.claim.held {
		r.claim.held = false
		c.reportClaimEnd(r.claim, end, nil)
	}
}

// recordOutcome reports the outcome of a completed call to the claim's owner. Without an
// outcome the claim ends as unknown.
func (c *Core) recordOutcome(r *request, outcome *wire.Outcome) {
	if !r.claim.held {
		return
	}
	r.claim.held = false
	end := wire.ClaimEndDone
	if outcome == nil {
		end = wire.ClaimEndUnknown
	}
	c.reportClaimEnd(r.claim, end, outcome)
}

// reportClaimEnd sends the end of a claim and keeps it until the owner confirms it.
func (c *Core) reportClaimEnd(rc requestClaim, end wire.ClaimEnd, outcome *wire.Outcome) {
	c.claims.lastID++
	pending := &unconfirmedClaimEnd{key: rc.key, nonce: rc.nonce, end: end, outcome: outcome, owner: rc.owner}
	c.claims.unconfirmedEnds[c.claims.lastID] = pending
	c.sendClaimEnd(c.claims.lastID, pending)
}

func (c *Core) sendClaimEnd(id uint64, p *unconfirmedClaimEnd) {
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
			c.applyClaimEffects(partition, w.Tick(c.mono(), c.now.Wall.UnixMilli()))
		}
	}
	if c.mono() < c.claims.nextClaimCheck {
		return
	}
	c.claims.nextClaimCheck = c.mono() + c.jitter(claimEndRetryInterval)
	c.resendClaimEnds()
	c.checkClaimHolders()
}

// resendClaimEnds sends unconfirmed ends again after the retry interval.
func (c *Core) resendClaimEnds() {
	ids := make([]uint64, 0, len(c.claims.unconfirmedEnds))
	for id, p := range c.claims.unconfirmedEnds {
		if c.mono()-p.sent >= claimEndRetryInterval {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		c.sendClaimEnd(id, c.claims.unconfirmedEnds[id])
	}
}
