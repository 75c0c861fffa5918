// Package virtualtime runs scheduled actions in virtual time.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with the actions that are due later. It is ready for use at time zero.
type Clock struct {
	now     time.Duration
	actions actionQueue
	seq     uint64
}

// Now returns the virtual time since the start of the clock.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules an action to run after a delay.
func (c *Clock) After(d time.Duration, action func()) {
	c.seq++
	heap.Push(&c.actions, scheduledAction{at: c.now + d, seq: c.seq, action: action})
}

// Run advances virtual time by d and runs the actions that fall due.
func (c *Clock) Run(d time.Duration) {
	end := c.now + d
	for len(c.actions) > 0 && c.actions[0].at <= end {
		next := heap.Pop(&c.actions).(scheduledAction)
		c.now = next.at
		next.action()
	}
	c.now = end
}

// scheduledAction is an action due at a virtual time. Actions due at the same time run in the
// order of seq, in which they were scheduled.
type scheduledAction struct {
	at     time.Duration
	seq    uint64
	action func()
}

// actionQueue is a heap of actions; the one due first is at the top.
type actionQueue []scheduledAction

func (q actionQueue) Len() int { return len(q) }

func (q actionQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *actionQueue) Push(x any) { *q = append(*q, x.(scheduledAction)) }

func (q *actionQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
