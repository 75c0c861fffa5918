package waitqueue

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// meterHalfLife is the half-life of the count of turns. Surges last about eight seconds.
	meterHalfLife = time.Second
	// meterMinCount is the number of turns from which their rate is known.
	meterMinCount = 3
)

// Meter measures a rate over the last seconds. The zero value has measured nothing.
type Meter struct {
	// count decays with meterHalfLife; total does not.
	count   float64
	total   int
	began   time.Duration
	counted time.Duration
}

// Add counts one event.
func (m *Meter) Add(now time.Duration) {
	if m.total == 0 {
		m.began = now
	}
	m.count = m.decayed(now) + 1
	m.counted = now
	m.total++
}

func (m *Meter) decayed(now time.Duration) float64 {
	return m.count * math.Exp2(-float64(now-m.counted)/float64(meterHalfLife))
}

// Rate returns the events a second, or false while too few were counted.
func (m *Meter) Rate(now time.Duration) (float64, bool) {
	measured := 1 - math.Exp2(-float64(now-m.began)/float64(meterHalfLife))
	if m.total < meterMinCount || measured < 0.1 {
		return 0, false
	}
	return m.decayed(now) * math.Ln2 / meterHalfLife.Seconds() / measured, true
}

// CountTurn counts a turn that a group was given, whether a request used it or not.
func (q *Queue) CountTurn(now time.Duration, name fleet.ServiceID) { q.group(name).rate.Add(now) }

// minTurnRate bounds an expected wait while hardly any turns are given.
const minTurnRate = 0.1

// Expectation is what the queue expects for a request.
type Expectation struct {
	// Ahead is the number of requests that are served before it.
	Ahead int
	// Rate is the turns a second. Known reports whether it was measured; Wait is 0 otherwise.
	Rate  float64
	Known bool
	Wait  time.Duration
}

// Expect returns the expected wait of a request.
func (q *Queue) Expect(now time.Duration, r Request) Expectation {
	return q.ExpectBehind(now, r.Group, q.Ahead(now, r))
}

// ExpectBehind returns the expected wait behind a number of requests of a group.
func (q *Queue) ExpectBehind(now time.Duration, name fleet.ServiceID, ahead int) Expectation {
	e := Expectation{Ahead: ahead}
	if e.Rate, e.Known = q.group(name).rate.Rate(now); e.Known {
		e.Wait = time.Duration(float64(ahead) / max(e.Rate, minTurnRate) * float64(time.Second))
	}
	return e
}
