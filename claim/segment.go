package claim

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// sealSegment starts the write of a segment with the head's finished records, if the head is
// over SealBytes and they make up at least half of that.
func (p *Partition) sealSegment(now time.Duration) bool {
	if p.base.bytes <= p.cfg.SealBytes {
		return false
	}
	var records []*stored
	s := &seal{revision: p.base.revision, records: map[*stored]bool{}}
	size := 0
	for _, r := range p.base.records {
		if r.State == stateClaimed || p.expired(r) {
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
	p.inflight = &call{id: p.nextCall(), kind: callSegment, issued: now, seal: s}
	p.out = append(p.out, Swap{
		Call: p.inflight.id, Key: SegmentKey(p.cfg.Partition, s.ID), Value: encodeDocument(records, nil),
	})
	return true
}

// segmentID returns an identifier that no other writer and no earlier write uses.
func (p *Partition) segmentID() uint64 {
	p.segments++
	w := p.cfg.Writer
	return fleet.Hash("segment", string(w.Instance), strconv.FormatUint(w.Incarnation, 16),
		strconv.Itoa(p.cfg.Partition), strconv.FormatUint(p.segments, 16))
}

// segmentWritten handles the answer to a segment write. A segment whose write did not succeed
// for certain is never listed; the next try uses a new identifier.
func (p *Partition) segmentWritten(now time.Duration, c *call, err ErrKind) {
	if err != OK {
		p.failed(now)
		return
	}
	p.sealed = c.seal
}

// indexAll reports whether every listed segment is indexed, and reads those that are not.
func (p *Partition) indexAll(now time.Duration) bool {
	complete := true
	for _, s := range p.base.refs {
		if p.expiredAt(s.LastMS) || p.indexes[s.ID] != nil {
			continue
		}
		complete = false
		p.fetch(now, s.ID)
	}
	return complete
}

// fetch reads a segment unless it is being read or too many reads are in flight.
func (p *Partition) fetch(now time.Duration, id uint64) {
	if len(p.fetches) >= maxFetches {
		return
	}
	for _, f := range p.fetches {
		if f.segment == id {
			return
		}
	}
	call := p.nextCall()
	p.fetches[call] = &fetch{segment: id, issued: now}
	p.out = append(p.out, Read{Call: call, Key: SegmentKey(p.cfg.Partition, id)})
}

// fetched indexes a segment and hands its records to the operations that ask for their keys.
// A listed segment that is absent or unreadable counts as unavailable: nothing that it may
// hold can be granted.
func (p *Partition) fetched(now time.Duration, id uint64, e Entry, err ErrKind) {
	if err != OK {
		p.failed(now)
		return
	}
	records, _, bad := decodeDocument(e.Value)
	if bad != nil {
		p.failed(now)
		return
	}
	if p.indexes[id] == nil {
		p.indexes[id] = newIndex(records)
	}
	p.recovered()
	p.lookUp(id, records)
	if p.inflight == nil {
		p.restage()
	}
}

func (p *Partition) lookUp(id uint64, records []*stored) {
	byKey := make(map[Key]*stored, len(records))
	for _, r := range records {
		byKey[r.Key] = r
	}
	for _, o := range p.ops {
		if o.kind == opGone || !p.indexes[id].mayHold(o.key) {
			continue
		}
		if o.looked == nil {
			o.looked = map[uint64]*stored{}
		}
		o.looked[id] = byKey[o.key]
	}
}

func (p *Partition) liveRefs() []segmentRef {
	live := make([]segmentRef, 0, len(p.base.refs)+1)
	for _, s := range p.base.refs {
		if !p.expiredAt(s.LastMS) {
			live = append(live, s)
		}
	}
	return live
}

// trimIndexes forgets segments that the head no longer lists.
func (p *Partition) trimIndexes() {
	if len(p.indexes) <= len(p.base.refs) {
		return
	}
	listed := make(map[uint64]bool, len(p.base.refs))
	for _, s := range p.base.refs {
		listed[s.ID] = true
	}
	for id := range p.indexes {
		if !listed[id] {
			delete(p.indexes, id)
		}
	}
}

func short(k Key) uint64 { return binary.BigEndian.Uint64(k[:8]) }
