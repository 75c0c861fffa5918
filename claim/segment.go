package claim

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// sealSegment starts the write of a segment with the head's finished records and reports whether
// it did. It does so when the head is larger than SealBytes and these records have at least half
// of SealBytes.
func (p *Partition) sealSegment(now time.Duration) bool {
	if p.base.encodedBytes <= p.cfg.SealBytes {
		return false
	}
	var records []*storedRecord
	s := &sealedSegment{revision: p.base.revision, records: map[*storedRecord]bool{}}
	size := 0
	for _, r := range p.base.records {
		if r.State == stateClaimed || p.recordExpired(r) {
			continue
		}
		records = append(records, r)
		s.records[r] = true
		s.LastMS = max(s.LastMS, r.AtMS)
		size += len(r.raw)
	}
	if size < p.cfg.SealBytes/2 {
		return false
	}
	s.ID = p.segmentID()
	s.index = newIndex(records)
	p.inflight = &call{id: p.nextCall(), kind: callSegment, issued: now, segment: s}
	p.effects = append(p.effects, Swap{
		Call: p.inflight.id, Key: SegmentKey(p.cfg.Partition, s.ID), Value: encodeDocument(records, nil),
	})
	return true
}

// segmentID returns an identifier that no other writer and no earlier write uses.
func (p *Partition) segmentID() uint64 {
	p.lastSegment++
	w := p.cfg.Writer
	return fleet.Hash("segment", string(w.Instance), strconv.FormatUint(w.Incarnation, 16),
		strconv.Itoa(p.cfg.Partition), strconv.FormatUint(p.lastSegment, 16))
}

// segmentWritten handles the answer to a segment write. Unless the write is known to have
// succeeded, the segment is never listed in the head, and the next try uses a new identifier.
func (p *Partition) segmentWritten(now time.Duration, c *call, result CallResult) {
	if result != OK {
		p.backOff(now)
		return
	}
	p.unlistedSegment = c.segment
}

// loadIndexes reports whether every listed segment is indexed, and starts reads of those that
// are not.
func (p *Partition) loadIndexes(now time.Duration) bool {
	complete := true
	for _, s := range p.base.segments {
		if p.pastRetention(s.LastMS) || p.indexes[s.ID] != nil {
			continue
		}
		complete = false
		p.readSegment(now, s.ID)
	}
	return complete
}

// readSegment starts the read of a segment, unless it is being read already or maxSegmentReads
// reads are in flight.
func (p *Partition) readSegment(now time.Duration, id uint64) {
	if len(p.segmentReads) >= maxSegmentReads {
		return
	}
	for _, f := range p.segmentReads {
		if f.segment == id {
			return
		}
	}
	call := p.nextCall()
	p.segmentReads[call] = &segmentRead{segment: id, issued: now}
	p.effects = append(p.effects, Read{Call: call, Key: SegmentKey(p.cfg.Partition, id)})
}

// segmentReadDone indexes a segment and stores its records for the operations on their keys. A
// listed segment that is absent or unreadable counts as a failed read: no key that it may
// contain can be granted until it is read.
func (p *Partition) segmentReadDone(now time.Duration, id uint64, e Entry, result CallResult) {
	if result != OK {
		p.backOff(now)
		return
	}
	records, _, decodeErr := decodeDocument(e.Value)
	if decodeErr != nil {
		p.backOff(now)
		return
	}
	if p.indexes[id] == nil {
		p.indexes[id] = newIndex(records)
	}
	p.endBackoffWhenLoaded()
	p.setSegmentRecords(id, records)
	if p.inflight == nil {
		p.resetBatch()
	}
}

// setSegmentRecords stores in each pending operation whose key the segment may contain the record
// that the segment has for it, or nil.
func (p *Partition) setSegmentRecords(id uint64, records []*storedRecord) {
	byKey := make(map[Key]*storedRecord, len(records))
	for _, r := range records {
		byKey[r.Key] = r
	}
	for _, o := range p.ops {
		if o.kind == opInstanceGone || !p.indexes[id].mayContain(o.key) {
			continue
		}
		if o.segmentRecords == nil {
			o.segmentRecords = map[uint64]*storedRecord{}
		}
		o.segmentRecords[id] = byKey[o.key]
	}
}

// unexpiredSegments returns the listed segments that are within the retention period. The slice has
// room for one more.
func (p *Partition) unexpiredSegments() []segmentRef {
	live := make([]segmentRef, 0, len(p.base.segments)+1)
	for _, s := range p.base.segments {
		if !p.pastRetention(s.LastMS) {
			live = append(live, s)
		}
	}
	return live
}

// dropUnlistedIndexes deletes the indexes of segments that the head no longer lists.
func (p *Partition) dropUnlistedIndexes() {
	if len(p.indexes) <= len(p.base.segments) {
		return
	}
	listed := make(map[uint64]bool, len(p.base.segments))
	for _, s := range p.base.segments {
		listed[s.ID] = true
	}
	for id := range p.indexes {
		if !listed[id] {
			delete(p.indexes, id)
		}
	}
}

// keyPrefix returns the first 8 bytes of a key, which the index of a segment holds.
func keyPrefix(k Key) uint64 { return binary.BigEndian.Uint64(k[:8]) }
