// Package simutil provides the code that the stand-ins share: values that are reported with a lag,
// JSON requests and responses, query parameters, loopback servers and free loopback addresses.
package simutil

import (
	"sort"
	"time"
)

// Lagged keeps the recent values of a variable, so that a stand-in can report the value of a given
// time ago. It is not safe for concurrent use.
type Lagged[T any] struct {
	history []stamped[T]
}

type stamped[T any] struct {
	at    time.Time
	value T
}

// Set records the value as of now. It drops values that readers with a lag of at most maxLag can
// no longer see.
func (l *Lagged[T]) Set(now time.Time, value T, maxLag time.Duration) {
	l.history = append(l.history, stamped[T]{now, value})
	// Dropping at least half of the values at once keeps the average cost of a Set constant.
	if first := l.index(now.Add(-maxLag)); first > len(l.history)/2 {
		l.history = append(l.history[:0], l.history[first:]...)
	}
}

// At returns the newest value recorded at or before at, or the oldest value kept if there is none.
// It returns the zero value if nothing is recorded.
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
