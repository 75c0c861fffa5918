package claim

import (
	"fmt"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// maxFetches bounds concurrent segment reads, so that a takeover does not use up the
// key-value service's read rate.
const maxFetches = 4

type callKind uint8

const (
	callRead callKind = iota + 1
	callSwap
	callSegment
)

// call is the one head read, head write or segment write in flight.
type call struct {
	id     uint64
	kind   callKind
	issued time.Duration
	// next is the head that a swap stores, and ops are the operations it carries.
	next *head
	ops  []*op
	seal *seal
}

// fetch is a segment read in flight.
type fetch struct {
	segment uint64
	issued  time.Duration
}

// seal is a segment written from the records of the head at a revision.
type seal struct {
	segmentRef
	revision uint64
	records  map[*stored]bool
	index    index
}

func attemptID(r *stored) fleet.AttemptID { return fleet.AttemptID(r.Attempt) }

// SegmentKey returns the storage key of a segment.
func SegmentKey(partition int, id uint64) string {
	return fmt.Sprintf("claims/%02d/segment/%016x", partition, id)
}

func (p *Partition) nextCall() uint64 {
	p.calls++
	return p.calls
}

func (p *Partition) readHead(now time.Duration) {
	p.inflight = &call{id: p.nextCall(), kind: callRead, issued: now}
	p.out = append(p.out, Read{Call: p.inflight.id, Key: HeadKey(p.cfg.Partition)})
}

// Loaded feeds back the answer to a Read. Answers to calls that were given up are dropped.
func (p *Partition) Loaded(now time.Duration, id uint64, e Entry, err ErrKind) []Effect {
	if f, ok := p.fetches[id]; ok {
		delete(p.fetches, id)
		p.fetched(now, f.segment, e, err)
		return p.advance(now)
	}
	if p.inflight == nil || p.inflight.id != id || p.inflight.kind != callRead {
		return nil
	}
	p.inflight = nil
	p.headLoaded(now, id, e, err)
	return p.advance(now)
}

func (p *Partition) headLoaded(now time.Duration, id uint64, e Entry, err ErrKind) {
	if err == NotFound {
		e, err = Entry{}, OK
	}
	// A revision below the known one is an old or lost value and must not be built upon.
	if err != OK || (p.base != nil && e.Revision < p.base.revision) {
		p.failed(now)
		return
	}
	next := p.base
	if next == nil || next.revision != e.Revision {
		decoded, ok := decodeHead(e)
		if !ok {
			p.failed(now)
			return
		}
		next = decoded
	}
	p.stale = false
	p.adopt(next, id)
}

func decodeHead(e Entry) (*head, bool) {
	if e.Revision == 0 {
		return newHead(0, nil, nil), true
	}
	records, refs, err := decodeDocument(e.Value)
	if err != nil {
		return nil, false
	}
	return newHead(e.Revision, records, refs), true
}

// adopt makes next the base, confirmed by the call id.
func (p *Partition) adopt(next *head, id uint64) {
	p.base = next
	p.confirmed = id
	p.verify = false
	p.recovered()
	if p.unsettled && next.revision > p.unsettledAt {
		p.unsettled = false
	}
	if p.sealed != nil && p.sealed.revision != next.revision {
		p.sealed = nil
	}
	p.restage()
	p.trimIndexes()
}

// write stores the staged batch, after a segment if the head has grown too large.
func (p *Partition) write(now time.Duration) {
	if p.sealed == nil && p.sealSegment(now) {
		return
	}
	refs := p.liveRefs()
	drop := p.expired
	if p.sealed != nil {
		refs = append(refs, p.sealed.segmentRef)
		sealed := p.sealed.records
		drop = func(r *stored) bool { return sealed[r] || p.expired(r) }
	}
	records := p.work.merge(drop)
	c := &call{id: p.nextCall(), kind: callSwap, issued: now, next: newHead(0, records, refs), seal: p.sealed}
	for _, o := range p.ops {
		if o.staged && !o.done {
			o.submitted = o.submitted || o.kind == opClaim
			c.ops = append(c.ops, o)
		}
	}
	p.inflight = c
	p.out = append(p.out, Swap{
		Call: c.id, Key: HeadKey(p.cfg.Partition), Value: encodeDocument(records, refs), Expect: p.base.revision,
	})
}

// Swapped feeds back the answer to a Swap, with the new revision if it took effect. Answers to
// calls that were given up are dropped.
func (p *Partition) Swapped(now time.Duration, id, revision uint64, err ErrKind) []Effect {
	c := p.inflight
	if c == nil || c.id != id || c.kind == callRead {
		return nil
	}
	p.inflight = nil
	if c.kind == callSegment {
		p.segmentWritten(now, c, err)
	} else {
		p.headWritten(now, c, revision, err)
	}
	return p.advance(now)
}

func (p *Partition) headWritten(now time.Duration, c *call, revision uint64, err ErrKind) {
	switch err {
	case OK:
		p.committed(c, revision)
	case Conflict:
		p.stale = true
		p.restage()
	case Lost:
		p.unsettled, p.unsettledAt = true, p.base.revision
		p.failed(now)
	default:
		p.failed(now)
	}
}

func (p *Partition) committed(c *call, revision uint64) {
	c.next.revision = revision
	if c.seal != nil {
		p.indexes[c.seal.ID] = c.seal.index
	}
	for _, o := range c.ops {
		if !o.done {
			p.answer(o, *o.reply)
		}
	}
	p.adopt(c.next, c.id)
}

// recovered ends the backoff once the head and all segments are known.
func (p *Partition) recovered() {
	for _, s := range p.base.refs {
		if p.indexes[s.ID] == nil && !p.expiredAt(s.LastMS) {
			return
		}
	}
	p.failures = 0
}

// failed schedules a read of the head, with jitter between half of the backoff and all of it.
// The read also finds out when the service is back, without waiting for a claim.
func (p *Partition) failed(now time.Duration) {
	if p.failures == 0 {
		p.downSince = now
	}
	backoff := min(p.cfg.BackoffMin<<min(p.failures, 16), p.cfg.BackoffMax)
	p.failures++
	p.retryAt = now + backoff/2 + time.Duration(p.rng.Int64N(int64(backoff/2)+1))
	p.stale = true
	if p.inflight == nil {
		p.restage()
	}
}

// timeoutCalls treats calls without an answer as lost.
func (p *Partition) timeoutCalls(now time.Duration) {
	if c := p.inflight; c != nil && now >= c.issued+p.cfg.CallTimeout {
		p.inflight = nil
		p.timeoutCall(now, c)
	}
	for id, f := range p.fetches {
		if now >= f.issued+p.cfg.CallTimeout {
			delete(p.fetches, id)
			p.failed(now)
		}
	}
}

func (p *Partition) timeoutCall(now time.Duration, c *call) {
	switch c.kind {
	case callRead:
		p.failed(now)
	case callSegment:
		p.segmentWritten(now, c, Lost)
	default:
		p.headWritten(now, c, 0, Lost)
	}
}
