// Package forecast expects when a request that is sent to a model engine now would have its first event and its end.
//
// The model of a service has three figures, all learned from responses: the time that an engine needs to read a token
// of a prompt, the time of a first event beside the reading, and the time for a token of the output. The state of an
// engine is given with each question: what is still to be read there, how many requests it has, and its pace. A model
// with too few samples, or with samples that don't tell the figures apart, expects nothing.
//
// The model is meant for engines that read prompts in chunks between the tokens of other requests, in about the order
// of arrival. An urgent request is read earlier than expected here, a request that others overtake later.
package forecast

import (
	"math"
	"time"
)

const (
	// minSamples is the number of first events from which they are expected.
	minSamples = 3
	// memory is the number of samples after which the weight of a sample has fallen to 1/e. Engines of a service are
	// alike, so that a few tens of samples tell the figures; more would keep those of an earlier release for long.
	memory = 64
	// minSpread is the least standard deviation of the tokens read, from which the time of reading can be told from the
	// rest. Without it the slope is noise.
	minSpread = 128
	// maxSurprise bounds by which factor a sample counts as above or below what was expected. A stalled engine says
	// nothing of the reading speed, nor does a request that names tokens which it doesn't have.
	maxSurprise = 4
	// maxUnknownRead bounds the tokens of a sample until the reading speed is known: a false count of a million tokens
	// would hide it for hundreds of samples.
	maxUnknownRead = 1 << 15
	// minSurprise is a time up to which samples are not bounded: a multiple of a small expectation is small too.
	minSurprise = 200 * time.Millisecond
)

// State is what is known of an engine.
type State struct {
	// Unread is the number of prompt tokens that the engine is still to read.
	Unread int
	// Load is the number of requests at the engine, Slots the number that it runs at once; 0 if unknown.
	Load, Slots int
	// Pace is how long work takes on the engine's machine now, as a multiple of the usual time; 0 if unknown.
	Pace float64
}

// pace returns the multiple of the usual time that applies.
func (s State) pace() float64 {
	if s.Pace <= 0 || math.IsNaN(s.Pace) || math.IsInf(s.Pace, 0) {
		return 1
	}
	return s.Pace
}

// Full reports whether a further request would wait for a slot.
func (s State) Full() bool { return s.Slots > 0 && s.Load >= s.Slots }

// Times is what is expected of a request, from its sending.
type Times struct {
	// FirstEvent is the time to the first event, End that to the end; 0 if it is unknown.
	FirstEvent, End time.Duration
}

// Model holds what is learned of the engines of a service. The zero value knows nothing.
type Model struct {
	// first relates the tokens that are read before a first event to its time in milliseconds.
	first line
	// step is the time for a token of the output in milliseconds, run the time of a whole request.
	step, run mean
}

// RecordFirstEvent records the time to the first event of a request. read is the number of tokens that the engine had to
// read before it, those of earlier requests included. The state is that at the sending.
func (m *Model) RecordFirstEvent(s State, read int, took time.Duration) {
	if s.Full() || read < 0 || took <= 0 {
		// The wait for a slot is no part of the model.
		return
	}
	tokens, usual := float64(read), milliseconds(took)/s.pace()
	if m.first.known() {
		// A time that is far too short shows that fewer tokens were read: the count is the caller's or a peer's.
		tokens = min(tokens, max(m.first.inverse(maxSurprise*usual), 0))
		usual = min(usual, max(maxSurprise*m.first.at(tokens), milliseconds(minSurprise)))
	} else {
		tokens = min(tokens, maxUnknownRead)
	}
	m.first.add(tokens, usual)
}

// RecordEnd records the end of a request: the expected tokens of its output, 0 if unknown, the time that they took
// after the first event, and the time of the whole request.
func (m *Model) RecordEnd(s State, output int, outputTook, took time.Duration) {
	if took > 0 {
		m.run.add(milliseconds(took), 1)
	}
	if output > 0 && outputTook > 0 {
		m.step.add(milliseconds(outputTook)/s.pace(), float64(output))
	}
}

// Expect returns when a request would have its first event and its end, or false if that is unknown. read is the number
// of its own tokens that the engine would have to read, output the expected number of tokens of its output.
func (m *Model) Expect(s State, read, output int) (Times, bool) {
	if !m.first.known() || s.Full() && !m.run.known() {
		return Times{}, false
	}
	first := s.pace() * m.first.at(float64(s.Unread+read))
	if s.Full() {
		// The slots are freed one after the other.
		first += float64(s.Load-s.Slots+1) / float64(s.Slots) * m.run.value() * s.pace()
	}
	times := Times{FirstEvent: duration(first)}
	if output > 0 && m.step.known() {
		times.End = duration(first + s.pace()*m.step.value()*float64(output))
	}
	return times, true
}

// ReadingTime returns the time that an engine of usual pace needs to read some tokens, or false if it is unknown.
func (m *Model) ReadingTime(tokens int) (time.Duration, bool) {
	if !m.first.known() {
		return 0, false
	}
	return duration(m.first.slope() * float64(tokens)), true
}

// Readable returns the number of tokens that an engine of usual pace reads within a time, or false if it is unknown.
func (m *Model) Readable(within time.Duration) (int, bool) {
	if !m.first.known() {
		return 0, false
	}
	return int(min(milliseconds(max(within, 0))/m.first.slope(), math.MaxInt32)), true
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }

// duration converts milliseconds, bounded to an hour.
func duration(ms float64) time.Duration {
	return time.Duration(min(max(ms, 0), 3.6e6) * float64(time.Millisecond))
}
