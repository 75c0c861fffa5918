// Package simutil holds what the stand-ins share: lagged values, JSON answers, request
// parameters and a loopback server.
package simutil

import (
	"sort"
	"time"
)

// Lagged keeps the recent values of a variable, so that a stand-in can serve a value of
// some time ago. It is not safe for concurrent use.
type Lagged[T any] struct {
	history []stamped[T]
}

type stamped[T any] struct {
	at    time.Time
	value T
}

// Set records the value as of now. Values that no reader with a lag of at most keep can
// see are dropped.
func (l *Lagged[T]) Set(now time.Time, value T, keep time.Duration) {
	l.history = append(l.history, stamped[T]{now, value})
	// Dropping half at once keeps the cost of a value constant on average.
	if first := l.index(now.Add(-keep)); first > len(l.history)/2 {
		l.history = append(l.history[:0], l.history[first:]...)
	}
}

// At returns the newest value recorded at or before at, or the oldest value kept.
// It returns the zero value when nothing is recorded.
func (l *Lagged[T]) At(at time.Time) T {
	if len(l.history) == 0 {
		var zero T
		return zero
	}
	return l.history[l.index(at)].value
}

// index returns the index of the newest value at or before at, or 0.
func (l *Lagged[T]) index(at time.Time) int {
	later := sort.Search(len(l.history), func(i int) bool { return l.history[i].at.After(at) })
	return max(later-1, 0)
}
