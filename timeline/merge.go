package timeline

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
)

// Merge returns the events of all lists in one order and without duplicates. An event
// comes after the earlier events of its incarnation and after its cause, if the cause is
// in the lists. Events that this leaves unordered are ordered by HLC, instance, incarnation and
// sequence. The result does not depend on the order of the lists. Only in faulty input can causes
// form a cycle; they are then ignored as far as needed to return all events.
func Merge(lists [][]Event) []Event {
	g := newGraph(dedupe(lists))
	merged := make([]Event, 0, len(g.events))
	for {
		i, ok := g.next()
		if !ok {
			return merged
		}
		merged = append(merged, g.events[i])
	}
}

// dedupe returns all events without duplicates, ordered by instance, incarnation and sequence.
func dedupe(lists [][]Event) []Event {
	events := slices.Concat(lists...)
	slices.SortStableFunc(events, func(a, b Event) int {
		return compareRefs(&a, &b)
	})
	return slices.CompactFunc(events, func(a, b Event) bool { return a.Ref() == b.Ref() })
}

// compareRefs orders events by instance, incarnation and sequence.
func compareRefs(a, b *Event) int {
	if c := strings.Compare(string(a.Instance), string(b.Instance)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// graph holds the events and the order between them that their incarnations and causes require.
type graph struct {
	events  []Event // ordered by compareRefs
	emitted []bool
	// awaitsCause is set for events that wait for their cause. effects maps a cause to the events
	// that wait for it. Both, like emitted, use indexes into events.
	awaitsCause []bool
	effects     map[int][]int
	// ready holds events that wait for no other. awaitingCause holds events that wait only for
	// their cause, at most one per incarnation.
	ready, awaitingCause eventQueue
}

func newGraph(events []Event) *graph {
	g := &graph{
		events:      events,
		emitted:     make([]bool, len(events)),
		awaitsCause: make([]bool, len(events)),
		effects:     map[int][]int{},
	}
	g.ready.events, g.awaitingCause.events = events, events
	g.linkCauses()
	for i := range events {
		if g.isFirstOfIncarnation(i) {
			g.enqueue(i)
		}
	}
	return g
}

// linkCauses records which events wait for a cause that is among the events.
func (g *graph) linkCauses() {
	index := make(map[Ref]int, len(g.events))
	for i := range g.events {
		index[g.events[i].Ref()] = i
	}
	for i := range g.events {
		if g.events[i].Cause == nil {
			continue
		}
		if cause, known := index[*g.events[i].Cause]; known && cause != i {
			g.awaitsCause[i] = true
			g.effects[cause] = append(g.effects[cause], i)
		}
	}
}

// isFirstOfIncarnation reports whether an event is the first of its incarnation.
func (g *graph) isFirstOfIncarnation(i int) bool {
	if i == 0 {
		return true
	}
	a, b := &g.events[i-1], &g.events[i]
	return a.Instance != b.Instance || a.Incarnation != b.Incarnation
}

// enqueue queues an event whose predecessor in its incarnation has been returned.
func (g *graph) enqueue(i int) {
	if g.awaitsCause[i] {
		heap.Push(&g.awaitingCause, i)
		return
	}
	heap.Push(&g.ready, i)
}

// next returns the index of the next event in order, or false if none is left.
func (g *graph) next() (int, bool) {
	i, ok := g.pop(&g.ready)
	if !ok {
		// The causes form a cycle, so the earliest event is returned before its cause.
		i, ok = g.pop(&g.awaitingCause)
	}
	if !ok {
		return 0, false
	}
	g.markEmitted(i)
	return i, true
}

// pop returns the earliest event of a queue that has not been returned yet.
func (g *graph) pop(q *eventQueue) (int, bool) {
	for q.Len() > 0 {
		if i := heap.Pop(q).(int); !g.emitted[i] {
			return i, true
		}
	}
	return 0, false
}

// markEmitted marks an event as returned and queues the events that waited for it.
func (g *graph) markEmitted(i int) {
	g.emitted[i] = true
	for _, effect := range g.effects[i] {
		g.awaitsCause[effect] = false
		if g.isFirstOfIncarnation(effect) || g.emitted[effect-1] {
			heap.Push(&g.ready, effect)
		}
	}
	if next := i + 1; next < len(g.events) && !g.isFirstOfIncarnation(next) {
		g.enqueue(next)
	}
}

// eventQueue is a heap of event indexes, earliest event first.
type eventQueue struct {
	events []Event
	heap   []int
}

func (q *eventQueue) Len() int      { return len(q.heap) }
func (q *eventQueue) Swap(a, b int) { q.heap[a], q.heap[b] = q.heap[b], q.heap[a] }
func (q *eventQueue) Push(x any)    { q.heap = append(q.heap, x.(int)) }

func (q *eventQueue) Less(a, b int) bool {
	x, y := q.heap[a], q.heap[b]
	if q.events[x].HLC != q.events[y].HLC {
		return q.events[x].HLC < q.events[y].HLC
	}
	return x < y // the order of compareRefs
}

func (q *eventQueue) Pop() any {
	last := len(q.heap) - 1
	i := q.heap[last]
	q.heap = q.heap[:last]
	return i
}
