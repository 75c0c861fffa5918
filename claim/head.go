package claim

import (
	"slices"
)

// head is the decoded head value at a revision.
type head struct {
	revision uint64
	records  []*stored
	byKey    map[Key]*stored
	refs     []segmentRef
	bytes    int
}

func newHead(revision uint64, records []*stored, refs []segmentRef) *head {
	h := &head{revision: revision, records: records, refs: refs, byKey: make(map[Key]*stored, len(records))}
	h.bytes = headOverheadBytes + len(refs)*segmentRefBytes
	for _, r := range records {
		h.byKey[r.Key] = r
		h.bytes += len(r.raw)
	}
	return h
}

// headOverheadBytes covers the encoded map, version and array headers.
const headOverheadBytes = 32

// overlay is a head with the changes of a batch that is not stored yet.
type overlay struct {
	base    *head
	changed map[Key]*stored
	added   []Key
	// delta is the growth of the head's records in bytes.
	delta int
}

func newOverlay(base *head) *overlay {
	return &overlay{base: base, changed: map[Key]*stored{}}
}

func (o *overlay) get(k Key) *stored {
	if r, ok := o.changed[k]; ok {
		return r
	}
	return o.base.byKey[k]
}

func (o *overlay) put(r record) {
	next := encodeRecord(r)
	previous := o.get(r.Key)
	o.delta += len(next.raw)
	if previous == nil {
		o.added = append(o.added, r.Key)
	} else {
		o.delta -= len(previous.raw)
	}
	o.changed[r.Key] = next
}

// merge returns the records of the batch in stable order without those that drop selects.
func (o *overlay) merge(drop func(*stored) bool) []*stored {
	out := make([]*stored, 0, len(o.base.records)+len(o.added))
	for _, r := range o.base.records {
		if changed, ok := o.changed[r.Key]; ok {
			out = append(out, changed)
		} else if !drop(r) {
			out = append(out, r)
		}
	}
	for _, k := range o.added {
		out = append(out, o.changed[k])
	}
	return out
}

// index holds the sorted first 8 bytes of the keys of a segment.
type index []uint64

func newIndex(records []*stored) index {
	x := make(index, len(records))
	for i, r := range records {
		x[i] = short(r.Key)
	}
	slices.Sort(x)
	return x
}

// mayHold reports whether the segment may hold the key.
func (x index) mayHold(k Key) bool {
	_, found := slices.BinarySearch(x, short(k))
	return found
}
