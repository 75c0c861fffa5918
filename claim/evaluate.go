package claim

import (
	"time"
)

type opKind uint8

const (
	opClaim opKind = iota + 1
	opFinish
	opRelease
	opUnknown
	opGone
)

// ref identifies one claim of a key.
type ref struct {
	key   Key
	nonce uint64
}

// op is a pending input.
type op struct {
	kind opKind
	ref
	request  Request
	outcome  Outcome
	gone     Holder
	arrived  time.Duration
	deadline time.Duration
	// after is the number of the last call issued before the arrival. The head is fresh for this
	// operation once a later call confirmed it.
	after uint64
	// internal operations have no reply.
	internal bool
	// submitted reports that a swap carried the claim, so that its record may exist.
	submitted bool
	// staged operations are part of the batch and send reply when the batch is stored.
	staged bool
	reply  *Reply
	done   bool
	// looked holds the record, or nil, that each segment read so far has for the key.
	looked map[uint64]*stored
}

// evaluate applies operations to the staged batch in order of arrival. It answers those that
// need no write and leaves those that wait for a read.
func (p *Partition) evaluate(now time.Duration) {
	if p.work == nil {
		p.restage()
		p.work = newOverlay(p.base)
	}
	for p.evaluated < len(p.ops) && p.work.delta < maxBatchBytes {
		o := p.ops[p.evaluated]
		p.evaluated++
		if o.done || o.staged {
			continue
		}
		p.evaluateOne(now, o)
	}
}

func (p *Partition) evaluateOne(now time.Duration, o *op) {
	if o.kind == opGone {
		p.evaluateGone(o)
		return
	}
	r, known := p.find(now, o)
	if !known {
		return
	}
	if o.kind == opClaim {
		p.evaluateClaim(o, r)
		return
	}
	p.evaluateUpdate(o, r)
}

// find returns the record in force for the operation's key, or nil. It returns false while a
// segment must be read first.
func (p *Partition) find(now time.Duration, o *op) (*stored, bool) {
	if r := p.work.get(o.key); r != nil {
		return p.unexpired(r), true
	}
	for i := len(p.base.refs) - 1; i >= 0; i-- {
		segment := p.base.refs[i]
		if p.expiredAt(segment.LastMS) || !p.indexes[segment.ID].mayHold(o.key) {
			continue
		}
		r, looked := o.looked[segment.ID]
		if !looked {
			p.fetch(now, segment.ID)
			return nil, false
		}
		if r != nil {
			return p.unexpired(r), true
		}
	}
	return nil, true
}

func (p *Partition) unexpired(r *stored) *stored {
	if p.expired(r) {
		return nil
	}
	return r
}

// expired reports whether a record may be forgotten. Running claims never expire.
func (p *Partition) expired(r *stored) bool {
	return r.State != stateClaimed && p.expiredAt(r.AtMS)
}

func (p *Partition) expiredAt(ms int64) bool {
	return p.wallMS > ms+p.cfg.Retention.Milliseconds()
}

func (p *Partition) evaluateClaim(o *op, r *stored) {
	switch {
	case r == nil || (r.State == stateReleased && r.Nonce != o.nonce):
		p.stageClaim(o)
	case o.submitted && r.Nonce == o.nonce:
		p.evaluateOwn(o, r)
	case r.State != stateDone && !p.fresh(o):
		// The cached head may be old: the attempt may have finished or been released since.
		p.verify = true
	default:
		p.answerWhenStored(o, existingReply(r, o.request))
	}
}

// evaluateOwn handles a claim whose record is stored although the answer to the write was lost.
func (p *Partition) evaluateOwn(o *op, r *stored) {
	if r.State == stateClaimed {
		p.answer(o, Reply{Kind: Granted})
		return
	}
	// Another writer took the record for abandoned. This claim was never granted, so that it
	// is refused and released.
	p.refuse(o)
}

func (p *Partition) stageClaim(o *op) {
	if p.base.bytes+p.work.delta > maxHeadBytes {
		p.refuse(o)
		return
	}
	q := o.request
	p.work.put(record{
		Key: q.Key, State: stateClaimed, Fingerprint: uint64(q.Fingerprint), Nonce: q.Nonce, AtMS: p.wallMS,
		Instance: string(q.Holder.Instance), Incarnation: q.Holder.Incarnation, Attempt: string(q.Attempt),
	})
	p.stage(o, Reply{Kind: Granted})
}

// evaluateUpdate applies Finish, Release or MarkUnknown to the record with the same nonce.
func (p *Partition) evaluateUpdate(o *op, r *stored) {
	if r != nil && r.Nonce == o.nonce {
		if next, changed := transition(o, r.record); changed {
			next.AtMS = p.wallMS
			p.work.put(next)
			p.stage(o, Reply{Kind: Stored})
			return
		}
		p.answerWhenStored(o, Reply{Kind: Stored})
		return
	}
	// Without a record the update has nothing to do, unless the head is old or the claim's
	// write may still take effect.
	switch {
	case p.unsettled:
		p.stage(o, Reply{Kind: Stored})
	case !p.fresh(o):
		p.verify = true
	default:
		p.answerWhenStored(o, Reply{Kind: Stored})
	}
}

// transition returns the record after an update, and false if it stays as it is.
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
	case o.kind == opUnknown && r.State == stateClaimed:
		r.State = stateUnknown
		return r, true
	}
	return r, false
}

func (p *Partition) evaluateGone(o *op) {
	changed := false
	mark := func(k Key) {
		r := p.work.get(k)
		if r.State != stateClaimed || r.Instance != string(o.gone.Instance) || r.Incarnation > o.gone.Incarnation {
			return
		}
		next := r.record
		next.State, next.AtMS = stateUnknown, p.wallMS
		p.work.put(next)
		changed = true
	}
	for _, r := range p.base.records {
		mark(r.Key)
	}
	for _, k := range p.work.added {
		mark(k)
	}
	switch {
	case changed || p.unsettled:
		p.stage(o, Reply{})
	case !p.fresh(o):
		p.verify = true
	default:
		o.done = true
	}
}

// fresh reports whether base was confirmed by a call issued after the operation arrived.
func (p *Partition) fresh(o *op) bool { return p.confirmed > o.after }

// existingReply answers a claim for a key whose record is in force.
func existingReply(r *stored, q Request) Reply {
	switch {
	case r.Fingerprint != uint64(q.Fingerprint):
		return Reply{Kind: Mismatch}
	case r.State == stateDone:
		return Reply{Kind: Recorded, Outcome: r.outcome()}
	case r.State == stateClaimed:
		return Reply{Kind: Running, Holder: r.holder(), Attempt: attemptID(r), HolderNonce: r.Nonce}
	}
	return Reply{Kind: Unknown}
}

func (p *Partition) stage(o *op, reply Reply) {
	o.staged = true
	o.reply = &reply
}

// answerWhenStored answers at once, or with the batch if the batch changes the key.
func (p *Partition) answerWhenStored(o *op, reply Reply) {
	if _, changed := p.work.changed[o.key]; changed {
		p.stage(o, reply)
		return
	}
	p.answer(o, reply)
}

func (p *Partition) answer(o *op, reply Reply) {
	if o.done {
		return
	}
	o.done = true
	if o.kind == opClaim {
		delete(p.pending, o.ref)
	}
	if o.internal {
		return
	}
	reply.Key, reply.Nonce = o.key, o.nonce
	p.out = append(p.out, reply)
}

// refuse answers a claim as Unavailable and releases a record that may exist.
func (p *Partition) refuse(o *op) {
	p.answer(o, Reply{Kind: Unavailable, Unsettled: o.submitted})
	if o.submitted {
		p.ops = append(p.ops, &op{kind: opRelease, ref: o.ref, arrived: o.deadline, after: p.calls, internal: true})
	}
}

// expire answers claims whose deadline has passed. A record in the cached head is a better
// answer than Unavailable, because it tells of an earlier attempt.
func (p *Partition) expire(now time.Duration) {
	late := false
	for _, o := range p.ops {
		if o.kind != opClaim || o.done || now < o.deadline {
			continue
		}
		late = late || o.staged
		if reply, ok := p.cached(o); ok {
			p.answer(o, reply)
			continue
		}
		p.refuse(o)
	}
	if late && p.inflight == nil {
		p.restage()
	}
}

// cached answers a claim from the cached head, which may be old.
func (p *Partition) cached(o *op) (Reply, bool) {
	if p.base == nil || o.submitted {
		return Reply{}, false
	}
	r := p.base.byKey[o.key]
	if r == nil || r.State == stateReleased || p.expired(r) {
		return Reply{}, false
	}
	return existingReply(r, o.request), true
}
