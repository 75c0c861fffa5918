package waitqueue

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// maxRefusals bounds the remembered refusals. One takes about 100 bytes.
const maxRefusals = 1024

// Refusals remembers which requests were refused until when, so that a repetition that comes too early is recognized.
// The zero value is empty. When it is full, the oldest refusal is forgotten.
type Refusals struct {
	until map[refusalKey]time.Duration
	// ring lists the keys by age from next on.
	ring []refusalKey
	next int
}

type refusalKey struct {
	customer    fleet.CustomerID
	fingerprint fleet.Fingerprint
}

// Add remembers that a client was told not to repeat a request before a time.
func (rs *Refusals) Add(customer fleet.CustomerID, fingerprint fleet.Fingerprint, until time.Duration) {
	key := refusalKey{customer, fingerprint}
	if rs.until == nil {
		rs.until = make(map[refusalKey]time.Duration)
	}
	if _, known := rs.until[key]; known {
		rs.until[key] = until
		return
	}
	rs.until[key] = until
	if len(rs.ring) < maxRefusals {
		rs.ring = append(rs.ring, key)
		return
	}
	delete(rs.until, rs.ring[rs.next])
	rs.ring[rs.next] = key
	rs.next = (rs.next + 1) % maxRefusals
}

// Early reports whether a request repeats a refused one sooner than its client was told to.
func (rs *Refusals) Early(now time.Duration, customer fleet.CustomerID, fingerprint fleet.Fingerprint) bool {
	return now < rs.until[refusalKey{customer, fingerprint}]
}
