package claim

import (
	"time"
)

type opKind uint8

const (
	opClaim opKind = iota + 1
	opFinish
	opRelease
	opMarkUnknown
	opInstanceGone
)

// claimID identifies one claim of a key.
type claimID struct {
	key   Key
	nonce uint64
}

// op is a pending operation: an input that is not fully handled.
type op struct {
	kind opKind
	claimID
	request    Request
	outcome    Outcome
	goneHolder Holder
	arrived    time.Duration
	deadline   time.Duration
	// lastCallBefore is the number of the last storage call issued before the arrival. Only a
	// later call proves that the cached head is current for this operation.
	lastCallBefore uint64
	// internal operations have no reply.
	internal bool
	// submitted reports that a swap included the claim, so its record may exist.
	submitted bool
	// staged reports that the operation is part of the batch. Its reply is sent when the batch is
	// stored.
	staged bool
	reply  *Reply
	done   bool
	// segmentRecords holds, by segment, the record for the key or nil. It covers the segments
	// that were read so far.
	segmentRecords map[uint64]*storedRecord
}

// evaluate applies operations to the staged batch in order of arrival. It answers those that
// need no write and skips those that wait for a read.
func (p *Partition) evaluate(now time.Duration) {
	if p.batch == nil {
		p.resetBatch()
		p.batch = newOverlay(p.base)
	}
	for p.evaluatedOps < len(p.ops) && p.batch.addedBytes < maxBatchBytes {
		o := p.ops[p.evaluatedOps]
		p.evaluatedOps++
		if o.done || o.staged {
			continue
		}
		p.evaluateOp(now, o)
	}
}

func (p *Partition) evaluateOp(now time.Duration, o *op) {
	if o.kind == opInstanceGone {
		p.evaluateInstanceGone(o)
		return
	}
	r, known := p.findRecord(now, o)
	if !known {
		return
	}
	if o.kind == opClaim {
		p.evaluateClaim(o, r)
		return
	}
	p.evaluateUpdate(o, r)
}

// findRecord returns the record in force for the operation's key, or nil. It returns false, and
// starts the read, while a segment must be read first.
func (p *Partition) findRecord(now time.Duration, o *op) (*storedRecord, bool) {
	if r := p.batch.get(o.key); r != nil {
		return p.nilIfExpired(r), true
	}
	for i := len(p.base.segments) - 1; i >= 0; i-- {
		segment := p.base.segments[i]
		if p.pastRetention(segment.LastMS) || !p.indexes[segment.ID].mayContain(o.key) {
			continue
		}
		r, loaded := o.segmentRecords[segment.ID]
		if !loaded {
			p.readSegment(now, segment.ID)
			return nil, false
		}
		if r != nil {
			return p.nilIfExpired(r), true
		}
	}
	return nil, true
}

// nilIfExpired returns r, or nil if r has expired.
func (p *Partition) nilIfExpired(r *storedRecord) *storedRecord {
	if p.recordExpired(r) {
		return nil
	}
	return r
}

// recordExpired reports whether a record may be deleted. Running claims never expire.
func (p *Partition) recordExpired(r *storedRecord) bool {
	return r.State != stateClaimed && p.pastRetention(r.AtMS)
}

// pastRetention reports whether a wall-clock time, in milliseconds, is longer ago than the
// retention period.
func (p *Partition) pastRetention(ms int64) bool {
	return p.wallMS > ms+p.cfg.Retention.Milliseconds()
}

func (p *Partition) evaluateClaim(o *op, r *storedRecord) {
	switch {
	case r == nil || (r.State == stateReleased && r.Nonce != o.nonce):
		p.stageClaim(o)
	case o.submitted && r.Nonce == o.nonce:
		p.evaluateOwnRecord(o, r)
	case r.State != stateDone && !p.confirmedSinceArrival(o):
		// The cached head may be outdated: the attempt may have finished or been released since.
		p.confirmNeeded = true
	default:
		p.answerWhenStored(o, existingReply(r, o.request))
	}
}

// evaluateOwnRecord handles a claim whose own record is in the head although the answer to the
// write was lost.
func (p *Partition) evaluateOwnRecord(o *op, r *storedRecord) {
	if r.State == stateClaimed {
		p.answer(o, Reply{Kind: Granted})
		return
	}
	// Another writer has changed the record's state because its holder seemed to be gone. This claim
	// was never granted, so it is answered Unavailable and released.
	p.answerUnavailable(o)
}

func (p *Partition) stageClaim(o *op) {
	if p.base.encodedBytes+p.batch.addedBytes > maxHeadBytes {
		p.answerUnavailable(o)
		return
	}
	request := o.request
	p.batch.put(record{
		Key: request.Key, State: stateClaimed, Fingerprint: uint64(request.Fingerprint), Nonce: request.Nonce, AtMS: p.wallMS,
		Instance: string(request.Holder.Instance), Incarnation: request.Holder.Incarnation, Attempt: string(request.Attempt),
	})
	p.stage(o, Reply{Kind: Granted})
}

// evaluateUpdate applies Finish, Release or MarkUnknown to the record with the same nonce.
func (p *Partition) evaluateUpdate(o *op, r *storedRecord) {
	if r != nil && r.Nonce == o.nonce {
		if next, changed := transition(o, r.record); changed {
			next.AtMS = p.wallMS
			p.batch.put(next)
			p.stage(o, Reply{Kind: Stored})
			return
		}
		p.answerWhenStored(o, Reply{Kind: Stored})
		return
	}
	// Without a record the update changes nothing, unless the cached head is outdated or the
	// claim's write may still take effect.
	switch {
	case p.writeUncertain:
		p.stage(o, Reply{Kind: Stored})
	case !p.confirmedSinceArrival(o):
		p.confirmNeeded = true
	default:
		p.answerWhenStored(o, Reply{Kind: Stored})
	}
}

// transition returns the record after an update, and false if the update does not change it.
func transition(o *op, r record) (record, bool) {
	switch {
	case o.kind == opFinish && r.State != stateDone:
		r.State = stateDone
		r.Instance, r.Incarnation, r.Attempt = "", 0, ""
		r.Status, r.ContentType = o.outcome.Status, o.outcome.ContentType
		r.Body, r.StatusOnly = o.outcome.Body, o.outcome.StatusOnly
		return r, true
	case o.kind == opRelease && (r.State == stateClaimed || r.State == stateUnknown):
		r.State = stateReleased
		return r, true
	case o.kind == opMarkUnknown && r.State == stateClaimed:
		r.State = stateUnknown
		return r, true
	}
	return r, false
}

// evaluateInstanceGone marks the running claims of a departed instance as unknown.
func (p *Partition) evaluateInstanceGone(o *op) {
	changed := false
	mark := func(k Key) {
		r := p.batch.get(k)
		if r.State != stateClaimed || r.Instance != string(o.goneHolder.Instance) || r.Incarnation > o.goneHolder.Incarnation {
			return
		}
		next := r.record
		next.State, next.AtMS = stateUnknown, p.wallMS
		p.batch.put(next)
		changed = true
	}
	for _, r := range p.base.records {
		mark(r.Key)
	}
	for _, k := range p.batch.added {
		mark(k)
	}
	switch {
	case changed || p.writeUncertain:
		p.stage(o, Reply{})
	case !p.confirmedSinceArrival(o):
		p.confirmNeeded = true
	default:
		o.done = true
	}
}

// confirmedSinceArrival reports whether a call issued after the operation arrived has proved base
// to be current.
func (p *Partition) confirmedSinceArrival(o *op) bool { return p.confirmedBy > o.lastCallBefore }

// existingReply answers a claim for a key whose record is in force.
func existingReply(r *storedRecord, request Request) Reply {
	switch {
	case r.Fingerprint != uint64(request.Fingerprint):
		return Reply{Kind: Mismatch}
	case r.State == stateDone:
		return Reply{Kind: Recorded, Outcome: r.outcome()}
	case r.State == stateClaimed:
		return Reply{Kind: Running, Holder: r.holder(), Attempt: attemptID(r), HolderNonce: r.Nonce}
	}
	return Reply{Kind: Unknown}
}

// stage adds an operation to the batch with the reply that is sent once the batch is stored.
func (p *Partition) stage(o *op, reply Reply) {
	o.staged = true
	o.reply = &reply
}

// answerWhenStored answers at once, or after the batch is stored if the batch changes the key.
func (p *Partition) answerWhenStored(o *op, reply Reply) {
	if _, changed := p.batch.changed[o.key]; changed {
		p.stage(o, reply)
		return
	}
	p.answer(o, reply)
}

// answer completes an operation and sends its reply, unless the operation is internal.
func (p *Partition) answer(o *op, reply Reply) {
	if o.done {
		return
	}
	o.done = true
	if o.kind == opClaim {
		delete(p.pendingClaims, o.claimID)
	}
	if o.internal {
		return
	}
	reply.Key, reply.Nonce = o.key, o.nonce
	p.effects = append(p.effects, reply)
}

// answerUnavailable answers a claim with Unavailable and queues the release of a record that may
// exist.
func (p *Partition) answerUnavailable(o *op) {
	p.answer(o, Reply{Kind: Unavailable, MayBeStored: o.submitted})
	if o.submitted {
		p.ops = append(p.ops, &op{kind: opRelease, claimID: o.claimID, arrived: o.deadline, lastCallBefore: p.lastCall, internal: true})
	}
}

// expireClaims answers claims whose deadline has passed. If the cached head has a record for the
// key, the answer comes from it rather than Unavailable, because it reports an earlier attempt.
func (p *Partition) expireClaims(now time.Duration) {
	stagedExpired := false
	for _, o := range p.ops {
		if o.kind != opClaim || o.done || now < o.deadline {
			continue
		}
		stagedExpired = stagedExpired || o.staged
		if reply, ok := p.replyFromCachedHead(o); ok {
			p.answer(o, reply)
			continue
		}
		p.answerUnavailable(o)
	}
	if stagedExpired && p.inflight == nil {
		p.resetBatch()
	}
}

// replyFromCachedHead returns the answer to a claim from the cached head, which may be outdated,
// and false if that head cannot answer it.
func (p *Partition) replyFromCachedHead(o *op) (Reply, bool) {
	if p.base == nil || o.submitted {
		return Reply{}, false
	}
	r := p.base.byKey[o.key]
	if r == nil || r.State == stateReleased || p.recordExpired(r) {
		return Reply{}, false
	}
	return existingReply(r, o.request), true
}
