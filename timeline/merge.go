package timeline

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
)

// Merge returns the events of all lists in one order and without duplicates. An event
// comes after the earlier events of its incarnation and after its cause, if the cause is
// in the lists; beyond that, events are ordered by HLC, instance, incarnation and
// sequence. The result does not depend on the order of the lists. Causes that form a
// cycle, which only faulty input has, are ignored where needed.
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

// dedupe returns all events ordered by incarnation and sequence, one of each.
func dedupe(lists [][]Event) []Event {
	events := slices.Concat(lists...)
	slices.SortStableFunc(events, func(a, b Event) int {
		return compareRefs(&a, &b)
	})
	return slices.CompactFunc(events, func(a, b Event) bool { return a.Ref() == b.Ref() })
}

func compareRefs(a, b *Event) int {
	if c := strings.Compare(string(a.Instance), string(b.Instance)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// graph holds which events must precede which.
type graph struct {
	events []Event // ordered by compareRefs
	done   []bool
	// caused tells that the event waits for its cause; effects lists the waiting events.
	caused  []bool
	effects map[int][]int
	// ready holds events that wait for nothing; waiting holds events that wait only for
	// their cause, one per incarnation at most.
	ready, waiting queue
}

func newGraph(events []Event) *graph {
	g := &graph{
		events:  events,
		done:    make([]bool, len(events)),
		caused:  make([]bool, len(events)),
		effects: map[int][]int{},
	}
	g.ready.events, g.waiting.events = events, events
	g.linkCauses()
	for i := range events {
		if g.isFirst(i) {
			g.offer(i)
		}
	}
	return g
}

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
			g.caused[i] = true
			g.effects[cause] = append(g.effects[cause], i)
		}
	}
}

// isFirst tells whether an event is the first of its incarnation.
func (g *graph) isFirst(i int) bool {
	if i == 0 {
		return true
	}
	a, b := &g.events[i-1], &g.events[i]
	return a.Instance != b.Instance || a.Incarnation != b.Incarnation
}

// offer queues an event whose predecessor in its incarnation is done.
func (g *graph) offer(i int) {
	if g.caused[i] {
		heap.Push(&g.waiting, i)
		return
	}
	heap.Push(&g.ready, i)
}

// next returns the next event in order.
func (g *graph) next() (int, bool) {
	i, ok := g.pop(&g.ready)
	if !ok {
		// Causes form a cycle: the earliest event is taken before its cause.
		i, ok = g.pop(&g.waiting)
	}
	if !ok {
		return 0, false
	}
	g.finish(i)
	return i, true
}

// pop returns the earliest event of a queue that is not done.
func (g *graph) pop(q *queue) (int, bool) {
	for q.Len() > 0 {
		if i := heap.Pop(q).(int); !g.done[i] {
			return i, true
		}
	}
	return 0, false
}

func (g *graph) finish(i int) {
	g.done[i] = true
	for _, effect := range g.effects[i] {
		g.caused[effect] = false
		if g.isFirst(effect) || g.done[effect-1] {
			heap.Push(&g.ready, effect)
		}
	}
	if next := i + 1; next < len(g.events) && !g.isFirst(next) {
		g.offer(next)
	}
}

// queue is a heap of event indexes, earliest first.
type queue struct {
	events []Event
	heap   []int
}

func (q *queue) Len() int      { return len(q.heap) }
func (q *queue) Swap(a, b int) { q.heap[a], q.heap[b] = q.heap[b], q.heap[a] }
func (q *queue) Push(x any)    { q.heap = append(q.heap, x.(int)) }

func (q *queue) Less(a, b int) bool {
	x, y := q.heap[a], q.heap[b]
	if q.events[x].HLC != q.events[y].HLC {
		return q.events[x].HLC < q.events[y].HLC
	}
	return x < y // the order of compareRefs
}

func (q *queue) Pop() any {
	last := len(q.heap) - 1
	i := q.heap[last]
	q.heap = q.heap[:last]
	return i
}
