package placement

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// initialPause is how long the first of consecutive pauses lasts, in which an engine gets no new
	// requests. It is about the time in which a process restarts.
	initialPause = 500 * time.Millisecond
	// maxPause bounds the pauses, which double with each consecutive one. A restarted engine is
	// back within a few seconds.
	maxPause = 4 * time.Second
	// countHalfLife is the half-life of the counts of outcomes and failures.
	countHalfLife = 4 * time.Second
	// failureDeviations is how far an engine's failures must exceed the number expected for its
	// pool before the engine is paused, in standard deviations.
	failureDeviations = 3.0
	// minFailures is the lowest decayed count of failures at which an engine is paused.
	minFailures = 2.5
	// latencyWeight is the weight of one answer in an engine's moving mean latency.
	latencyWeight = 0.15
	// maxPausedShare bounds the paused share of a pool: an engine is not paused for failed requests
	// if the share would then reach it. When more engines fail, the cause is outside the engines.
	// Unreachable engines and engines that reject requests as full are always paused.
	maxPausedShare = 0.5
	// lostMemory is how long an engine counts as lost without a success. A restarted engine is back within a few seconds.
	lostMemory = 4 * time.Second
)

// Failure is the way in which an engine failed a request.
type Failure uint8

// Failures of an engine.
const (
	// Unreachable: no connection could be opened.
	Unreachable Failure = iota + 1
	// ConnectionLost: the connection ended before the answer was complete.
	ConnectionLost
	// NoAnswer: no answer before the request's timeout.
	NoAnswer
	// Errored: the engine answered with an error.
	Errored
	// Rejected: the engine rejected the request because it is full.
	Rejected
)

// String returns the failure's name as used in logs and metrics. There ConnectionLost is called broke,
// NoAnswer silent and Rejected shed.
func (f Failure) String() string {
	return [...]string{"none", "unreachable", "broke", "silent", "errored", "shed"}[f]
}

// health holds what this instance observed of one engine's failures and latency.
type health struct {
	// pausedUntil is when the latest pause ends. consecutivePauses counts the pauses since the
	// last success.
	pausedUntil       time.Duration
	consecutivePauses int
	// lost is set if a connection to the engine was lost or could not be opened, last at lostAt, and none of its answers was
	// complete since.
	lost   bool
	lostAt time.Duration
	// outcomes counts the successes and failures, failures only the latter; both leave out Unreachable
	// and Rejected. The counts decay with countHalfLife; decayedAt is when they were last updated.
	outcomes, failures float64
	decayedAt          time.Duration
	// relativeLatency is the moving mean of the time to the first byte divided by the usual one; 0 if
	// unknown. latencySamples is the number of answers in it.
	relativeLatency float64
	latencySamples  int
}

// admits reports whether the engine may get a request now. With avoidRecentlyPaused set, an engine
// that has not succeeded since its last pause gets none.
func (h *health) admits(now time.Duration, avoidRecentlyPaused bool) bool {
	if now < h.pausedUntil {
		return false
	}
	// The first request after a pause must be one that can be sent again.
	return !avoidRecentlyPaused || h.consecutivePauses == 0
}

// isLost reports whether the engine lost its last connection a short time ago.
func (h *health) isLost(now time.Duration) bool { return h.lost && now-h.lostAt < lostMemory }

// latencyFactor returns how many times slower than usual the engine answers, at least 1. It is 1
// until there are three samples.
func (h *health) latencyFactor() float64 {
	if h.latencySamples < 3 || h.relativeLatency <= 1 {
		return 1
	}
	return h.relativeLatency
}

// decay brings the counts to now.
func (h *health) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-h.decayedAt) / float64(countHalfLife))
	h.outcomes *= factor
	h.failures *= factor
	h.decayedAt = now
}

// pause pauses the engine for d, doubled for each consecutive pause up to maxPause.
func (h *health) pause(now time.Duration, d time.Duration) {
	for range h.consecutivePauses {
		d = min(2*d, maxPause)
	}
	h.consecutivePauses++
	h.pausedUntil = now + d
}

// Succeeded records a complete answer of an engine. latency is its time to the first byte, expected
// the usual one of such requests, or 0 if unknown.
func (p *Pool) Succeeded(now time.Duration, id fleet.EngineID, latency, expected time.Duration) {
	m := p.members[id]
	if m == nil {
		return
	}
	h := &m.health
	h.decay(now)
	h.outcomes++
	h.consecutivePauses = 0
	h.lost = false
	if expected <= 0 {
		return
	}
	ratio := min(float64(latency)/float64(expected), 10)
	if h.latencySamples == 0 {
		h.relativeLatency = ratio
	}
	h.latencySamples++
	h.relativeLatency += latencyWeight * (ratio - h.relativeLatency)
}

// Failed records a failure of an engine and reports whether the engine is paused because of it.
// usualShare is the share of such requests that fail across all engines.
func (p *Pool) Failed(now time.Duration, id fleet.EngineID, failure Failure, usualShare float64) bool {
	m := p.members[id]
	if m == nil {
		return false
	}
	h := &m.health
	h.decay(now)
	if failure == Unreachable || failure == ConnectionLost {
		h.lost, h.lostAt = true, now
	}
	switch failure {
	case Unreachable:
		h.pause(now, initialPause)
		return true
	case Rejected:
		h.pausedUntil = max(h.pausedUntil, now+initialPause/5)
		return true
	}
	h.outcomes++
	h.failures++
	if !h.exceedsUsualFailures(usualShare) || p.pausedShareWithOneMore(now) >= maxPausedShare {
		return false
	}
	h.pause(now, initialPause)
	return true
}

// exceedsUsualFailures reports whether the engine fails significantly more requests than usualShare.
func (h *health) exceedsUsualFailures(usualShare float64) bool {
	expected := h.outcomes * usualShare
	deviation := math.Sqrt(max(h.outcomes*usualShare*(1-usualShare), 0.05))
	return h.failures >= minFailures && h.failures-expected > failureDeviations*deviation
}

// pausedShareWithOneMore returns the share of the engines outside evacuated data centres that would be paused after one
// more pause.
func (p *Pool) pausedShareWithOneMore(now time.Duration) float64 {
	paused, n := 0, 0
	for _, m := range p.memberList {
		if m.Evacuated {
			continue
		}
		n++
		if now < m.health.pausedUntil {
			paused++
		}
	}
	return float64(paused+1) / float64(max(n, 1))
}

// Paused reports whether an engine is paused after a failure of any kind.
func (p *Pool) Paused(now time.Duration, id fleet.EngineID) bool {
	m := p.members[id]
	return m != nil && now < m.health.pausedUntil
}
