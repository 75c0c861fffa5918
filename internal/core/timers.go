package core

import (
	"container/heap"
	"time"
)

// timerQueue orders requests by the times at which they are due. Entries are not removed when
// a request's timer is changed or stopped; the request's dueAt decides whether a due entry is
// still valid.
type timerQueue struct {
	entries timerHeap
	ids     []RequestID
}

type timerEntry struct {
	at time.Duration
	id RequestID
}

func (q *timerQueue) add(at time.Duration, id RequestID) {
	heap.Push(&q.entries, timerEntry{at: at, id: id})
}

// due removes and returns the requests that are due, in order of time. The slice is valid
// until the next call.
func (q *timerQueue) due(now time.Duration) []RequestID {
	q.ids = q.ids[:0]
	for len(q.entries) > 0 && q.entries[0].at <= now {
		entry := heap.Pop(&q.entries).(timerEntry)
		q.ids = append(q.ids, entry.id)
	}
	return q.ids
}

type timerHeap []timerEntry

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].id < h[j].id
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timerEntry)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
