package claim

import (
	"slices"
)

// head is the decoded head value of a partition at one revision.
type head struct {
	revision     uint64
	records      []*storedRecord
	byKey        map[Key]*storedRecord
	segments     []segmentRef
	encodedBytes int
}

func newHead(revision uint64, records []*storedRecord, refs []segmentRef) *head {
	h := &head{revision: revision, records: records, segments: refs, byKey: make(map[Key]*storedRecord, len(records))}
	h.encodedBytes = headOverheadBytes + len(refs)*segmentRefBytes
	for _, r := range records {
		h.byKey[r.Key] = r
		h.encodedBytes += len(r.raw)
	}
	return h
}

// headOverheadBytes is an upper bound of the encoded map, version and array headers.
const headOverheadBytes = 32

// overlay is a head together with the changes of a batch that is not stored yet.
type overlay struct {
	base    *head
	changed map[Key]*storedRecord
	added   []Key
	// addedBytes is the growth of the head's encoded records in bytes.
	addedBytes int
}

func newOverlay(base *head) *overlay {
	return &overlay{base: base, changed: map[Key]*storedRecord{}}
}

func (o *overlay) get(k Key) *storedRecord {
	if r, ok := o.changed[k]; ok {
		return r
	}
	return o.base.byKey[k]
}

func (o *overlay) put(r record) {
	next := encodeRecord(r)
	previous := o.get(r.Key)
	o.addedBytes += len(next.raw)
	if previous == nil {
		o.added = append(o.added, r.Key)
	} else {
		o.addedBytes -= len(previous.raw)
	}
	o.changed[r.Key] = next
}

// merge returns the head's records with the batch applied, in stable order. Unchanged records
// that drop selects are left out.
func (o *overlay) merge(drop func(*storedRecord) bool) []*storedRecord {
	out := make([]*storedRecord, 0, len(o.base.records)+len(o.added))
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

func newIndex(records []*storedRecord) index {
	x := make(index, len(records))
	for i, r := range records {
		x[i] = keyPrefix(r.Key)
	}
	slices.Sort(x)
	return x
}

// mayContain reports whether the segment may contain the key. Different keys with the same first
// 8 bytes give false positives.
func (x index) mayContain(k Key) bool {
	_, found := slices.BinarySearch(x, keyPrefix(k))
	return found
}
