package placement

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// firstPause is the time without new work after an engine could not be reached. It is about
	// the time in which a process restarts.
	firstPause = 500 * time.Millisecond
	// maxPause bounds the pauses, which double with each failure in a row. Engines are back
	// within a few seconds.
	maxPause = 4 * time.Second
	// evidenceHalfLife is the time in which counts of answers lose half of their weight.
	evidenceHalfLife = 4 * time.Second
	// failureDeviations is how far, in standard deviations, an engine's failures must lie above
	// those of its pool before it is paused.
	failureDeviations = 3.0
	// minFailures is the least weight of failures that pauses an engine.
	minFailures = 2.5
	// speedWeight is the weight of one answer in an engine's mean latency.
	speedWeight = 0.15
	// maxPausedShare is the most of a pool that is paused for failures of requests. When more
	// engines fail, the cause lies elsewhere.
	maxPausedShare = 0.5
)

// Failure tells how an engine failed a request.
type Failure uint8

// Failures of an engine.
const (
	// Unreachable: no connection could be opened.
	Unreachable Failure = iota + 1
	// Broke: the connection ended before the answer did.
	Broke
	// Silent: no answer within the time that the request had.
	Silent
	// Errored: the engine answered with a failure of its own.
	Errored
	// Shed: the engine rejected the request because it is full.
	Shed
)

// String returns the failure's name as used in logs and metrics.
func (f Failure) String() string {
	return [...]string{"none", "unreachable", "broke", "silent", "errored", "shed"}[f]
}

// health is the evidence about one engine.
type health struct {
	// until is when the present pause ends; inRow counts the pauses without a success between.
	until time.Duration
	inRow int
	// answers and failures are decayed counts.
	answers, failures float64
	at                time.Duration
	// latency is the mean time to the first byte relative to the pool's usual one; 0 is unknown.
	latency float64
	samples int
}

func (h *health) admits(now time.Duration, proven bool) bool {
	if now < h.until {
		return false
	}
	// A request that can't be sent twice leaves the first try after a pause to others.
	return !proven || h.inRow == 0
}

func (h *health) slowness() float64 {
	if h.samples < 3 || h.latency <= 1 {
		return 1
	}
	return h.latency
}

func (h *health) decay(now time.Duration) {
	f := math.Exp2(-float64(now-h.at) / float64(evidenceHalfLife))
	h.answers *= f
	h.failures *= f
	h.at = now
}

func (h *health) pause(now time.Duration, d time.Duration) {
	for range h.inRow {
		d = min(2*d, maxPause)
	}
	h.inRow++
	h.until = now + d
}

// Succeeded notes a whole answer. Expected is the usual time to the first byte of such requests,
// or 0 if it is not known.
func (p *Pool) Succeeded(now time.Duration, id fleet.EngineID, latency, expected time.Duration) {
	m := p.members[id]
	if m == nil {
		return
	}
	h := &m.health
	h.decay(now)
	h.answers++
	h.inRow = 0
	if expected <= 0 {
		return
	}
	ratio := min(float64(latency)/float64(expected), 10)
	if h.samples == 0 {
		h.latency = ratio
	}
	h.samples++
	h.latency += speedWeight * (ratio - h.latency)
}

// Failed notes a failure. Usual is the share of such requests that fail at any engine. It reports
// whether the engine is paused for it.
func (p *Pool) Failed(now time.Duration, id fleet.EngineID, f Failure, usual float64) bool {
	m := p.members[id]
	if m == nil {
		return false
	}
	h := &m.health
	h.decay(now)
	switch f {
	case Unreachable:
		h.pause(now, firstPause)
		return true
	case Shed:
		h.until = max(h.until, now+firstPause/5)
		return true
	}
	h.answers++
	h.failures++
	if !h.failing(usual) || p.pausedShare(now) >= maxPausedShare {
		return false
	}
	h.pause(now, firstPause)
	return true
}

// failing reports whether the failures are more than the pool's usual share explains.
func (h *health) failing(usual float64) bool {
	expected := h.answers * usual
	deviation := math.Sqrt(max(h.answers*usual*(1-usual), 0.05))
	return h.failures >= minFailures && h.failures-expected > failureDeviations*deviation
}

func (p *Pool) pausedShare(now time.Duration) float64 {
	paused := 0
	for _, m := range p.order {
		if now < m.health.until {
			paused++
		}
	}
	return float64(paused+1) / float64(max(len(p.order), 1))
}

// Paused reports whether an engine gets no work for its failures.
func (p *Pool) Paused(now time.Duration, id fleet.EngineID) bool {
	m := p.members[id]
	return m != nil && now < m.health.until
}
