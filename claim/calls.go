package claim

import (
	"fmt"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// maxSegmentReads bounds concurrent segment reads, so that a takeover does not exhaust the
// key-value service's read rate.
const maxSegmentReads = 4

type callKind uint8

const (
	callRead callKind = iota + 1
	callSwap
	callSegment
)

// call is a head read, head write or segment write in flight. There is at most one at a time.
type call struct {
	id     uint64
	kind   callKind
	issued time.Duration
	// next is the head that a swap stores, and ops are the operations that it includes.
	next    *head
	ops     []*op
	segment *sealedSegment
}

// segmentRead is a segment read in flight.
type segmentRead struct {
	segment uint64
	issued  time.Duration
}

// sealedSegment is a segment made of finished records of the head at one revision.
type sealedSegment struct {
	segmentRef
	revision uint64
	records  map[*storedRecord]bool
	index    index
}

func attemptID(r *storedRecord) fleet.AttemptID { return fleet.AttemptID(r.Attempt) }

// SegmentKey returns the storage key of a segment.
func SegmentKey(partition int, id uint64) string {
	return fmt.Sprintf("claims/%02d/segment/%016x", partition, id)
}

func (p *Partition) nextCall() uint64 {
	p.lastCall++
	return p.lastCall
}

func (p *Partition) readHead(now time.Duration) {
	p.inflight = &call{id: p.nextCall(), kind: callRead, issued: now}
	p.effects = append(p.effects, Read{Call: p.inflight.id, Key: HeadKey(p.cfg.Partition)})
}

// ReadDone takes the answer to a Read. Answers to calls that have timed out are dropped.
func (p *Partition) ReadDone(now time.Duration, id uint64, e Entry, result CallResult) []Effect {
	if f, ok := p.segmentReads[id]; ok {
		delete(p.segmentReads, id)
		p.segmentReadDone(now, f.segment, e, result)
		return p.advance(now)
	}
	if p.inflight == nil || p.inflight.id != id || p.inflight.kind != callRead {
		return nil
	}
	p.inflight = nil
	p.headReadDone(now, id, e, result)
	return p.advance(now)
}

func (p *Partition) headReadDone(now time.Duration, id uint64, e Entry, result CallResult) {
	if result == NotFound {
		e, result = Entry{}, OK
	}
	// A revision below the known one is a stale read or a loss of data in the key-value service,
	// and must not be the base of a write.
	if result != OK || (p.base != nil && e.Revision < p.base.revision) {
		p.backOff(now)
		return
	}
	next := p.base
	if next == nil || next.revision != e.Revision {
		decoded, ok := decodeHead(e)
		if !ok {
			p.backOff(now)
			return
		}
		next = decoded
	}
	p.headStale = false
	p.setBase(next, id)
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

// setBase makes next the base, which the call id has proved to be current.
func (p *Partition) setBase(next *head, id uint64) {
	p.base = next
	p.confirmedBy = id
	p.confirmNeeded = false
	p.endBackoffWhenLoaded()
	if p.writeUncertain && next.revision > p.uncertainRevision {
		p.writeUncertain = false
	}
	if p.unlistedSegment != nil && p.unlistedSegment.revision != next.revision {
		p.unlistedSegment = nil
	}
	p.resetBatch()
	p.dropUnlistedIndexes()
}

// writeBatch starts the write of the staged batch. If the head has grown too large, it starts the
// write of a segment instead, and the batch follows.
func (p *Partition) writeBatch(now time.Duration) {
	if p.unlistedSegment == nil && p.sealSegment(now) {
		return
	}
	refs := p.unexpiredSegments()
	drop := p.recordExpired
	if p.unlistedSegment != nil {
		refs = append(refs, p.unlistedSegment.segmentRef)
		sealed := p.unlistedSegment.records
		drop = func(r *storedRecord) bool { return sealed[r] || p.recordExpired(r) }
	}
	records := p.batch.merge(drop)
	c := &call{id: p.nextCall(), kind: callSwap, issued: now, next: newHead(0, records, refs), segment: p.unlistedSegment}
	for _, o := range p.ops {
		if o.staged && !o.done {
			o.submitted = o.submitted || o.kind == opClaim
			c.ops = append(c.ops, o)
		}
	}
	p.inflight = c
	p.effects = append(p.effects, Swap{
		Call: c.id, Key: HeadKey(p.cfg.Partition), Value: encodeDocument(records, refs), Expect: p.base.revision,
	})
}

// SwapDone takes the answer to a Swap, with the new revision if the swap took effect. Answers to
// calls that have timed out are dropped.
func (p *Partition) SwapDone(now time.Duration, id, revision uint64, result CallResult) []Effect {
	c := p.inflight
	if c == nil || c.id != id || c.kind == callRead {
		return nil
	}
	p.inflight = nil
	if c.kind == callSegment {
		p.segmentWritten(now, c, result)
	} else {
		p.headWritten(now, c, revision, result)
	}
	return p.advance(now)
}

func (p *Partition) headWritten(now time.Duration, c *call, revision uint64, result CallResult) {
	switch result {
	case OK:
		p.batchStored(c, revision)
	case Conflict:
		p.headStale = true
		p.resetBatch()
	case Lost:
		p.writeUncertain, p.uncertainRevision = true, p.base.revision
		p.backOff(now)
	default:
		p.backOff(now)
	}
}

// batchStored answers the operations of a head write that succeeded and makes its head the base.
func (p *Partition) batchStored(c *call, revision uint64) {
	c.next.revision = revision
	if c.segment != nil {
		p.indexes[c.segment.ID] = c.segment.index
	}
	for _, o := range c.ops {
		if !o.done {
			p.answer(o, *o.reply)
		}
	}
	p.setBase(c.next, c.id)
}

// endBackoffWhenLoaded resets the backoff once the head and all segments are loaded.
func (p *Partition) endBackoffWhenLoaded() {
	for _, s := range p.base.segments {
		if p.indexes[s.ID] == nil && !p.pastRetention(s.LastMS) {
			return
		}
	}
	p.failures = 0
}

// backOff handles a failed call: it schedules a read of the head after a random wait between half
// of the backoff and all of it. The read detects that the key-value service is available again
// even when no claim arrives.
func (p *Partition) backOff(now time.Duration) {
	if p.failures == 0 {
		p.failingSince = now
	}
	backoff := min(p.cfg.BackoffMin<<min(p.failures, 16), p.cfg.BackoffMax)
	p.failures++
	p.retryAt = now + backoff/2 + time.Duration(p.rng.Int64N(int64(backoff/2)+1))
	p.headStale = true
	if p.inflight == nil {
		p.resetBatch()
	}
}

// timeoutCalls treats calls without an answer within CallTimeout as lost.
func (p *Partition) timeoutCalls(now time.Duration) {
	if c := p.inflight; c != nil && now >= c.issued+p.cfg.CallTimeout {
		p.inflight = nil
		p.timeoutCall(now, c)
	}
	for id, f := range p.segmentReads {
		if now >= f.issued+p.cfg.CallTimeout {
			delete(p.segmentReads, id)
			p.backOff(now)
		}
	}
}

func (p *Partition) timeoutCall(now time.Duration, c *call) {
	switch c.kind {
	case callRead:
		p.backOff(now)
	case callSegment:
		p.segmentWritten(now, c, Lost)
	default:
		p.headWritten(now, c, 0, Lost)
	}
}
