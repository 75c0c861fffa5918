// Package lease decides when an instance holds a duty.
//
// A Holder is a state machine over the platform's lease calls. It performs no I/O: Step takes
// one event and returns effects. The caller checks Valid directly before each effect of the
// duty and sends Fence with it. The holder counts its deadline from before the request was
// sent, so that its validity ends before the service lets another holder in.
//
// For targets that do not check fencing numbers, a new holder waits until ActAfter: effects of
// the previous holder may be on the wire until then.
package lease

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Config holds the settings of a Holder.
type Config struct {
	// Name is the lease, and Self the instance with its incarnation.
	Name, Self string
	// TTL is the requested time to live.
	TTL time.Duration
	// Drift is subtracted from each deadline. It must exceed the error of two clocks over one TTL.
	Drift time.Duration
	// LongestSend is the longest time between a check of Valid and the arrival of the effect.
	LongestSend time.Duration
	// RetryMin and RetryMax bound the backoff after failed calls.
	RetryMin, RetryMax time.Duration
	// CallTimeout is the time after which an answer counts as lost.
	CallTimeout time.Duration
}

// Result classifies the answer to a lease call.
type Result uint8

const (
	// OK reports success.
	OK Result = iota
	// Held reports that another holder has the lease.
	Held
	// Failed reports a call that was refused or whose answer was lost.
	Failed
)

// Event is an input of Step: Want, Tick, Acquired or Released.
type Event interface{ event() }

// Want states whether the instance wants the duty.
type Want struct{ Duty bool }

// Tick advances time.
type Tick struct{}

// Acquired is the answer to an Acquire effect.
type Acquired struct {
	Call   uint64
	Result Result
	Fence  uint64
	TTL    time.Duration
	// ReleasedFence is the highest fencing number known to have been released cleanly, or zero.
	// It spares the wait of ActAfter if it directly precedes Fence.
	ReleasedFence uint64
}

// Released is the answer to a Release effect.
type Released struct {
	Call   uint64
	Result Result
}

func (Want) event()     {}
func (Tick) event()     {}
func (Acquired) event() {}
func (Released) event() {}

// Effect is an output of Step: Acquire, Release, Gained or Lost.
type Effect interface{ effect() }

// Acquire asks the service to take or renew the lease.
type Acquire struct {
	Call         uint64
	Name, Holder string
	TTL          time.Duration
}

// Release asks the service to give up the lease. It is sent LongestSend after the duty ended,
// so that nothing of this holder is on the wire anymore.
type Release struct {
	Call         uint64
	Name, Holder string
	Fence        uint64
	// Clean reports that the next holder need not wait: this holder had itself waited until
	// ActAfter. Once the service confirms the release, the caller may store Fence as released.
	Clean bool
}

// Gained reports the begin of the duty.
type Gained struct{ Fence uint64 }

// Lost reports the end of the duty.
type Lost struct{ Fence uint64 }

func (Acquire) effect() {}
func (Release) effect() {}
func (Gained) effect()  {}
func (Lost) effect()    {}

// Holder is the state of one instance for one lease. It is not safe for concurrent use.
type Holder struct {
	cfg  Config
	rng  *rand.Rand
	want bool
	held bool
	// term numbers the holder names. A new term begins when the duty ends by wish, so that a
	// late Release of an old term cannot end the lease of a new one.
	term     uint64
	fence    uint64
	deadline time.Duration
	actAfter time.Duration

	calls    uint64
	inflight uint64
	sentAt   time.Duration
	nextAt   time.Duration
	failures int

	releaseAt time.Duration
	releasing bool
	released  Release
}

// New returns a holder that does not want the duty yet. The seeded source rng provides jitter.
func New(cfg Config, rng *rand.Rand) *Holder {
	return &Holder{cfg: cfg, rng: rng}
}

// Valid reports whether the duty is held at now, by the holder's own deadline.
func (h *Holder) Valid(now time.Duration) bool {
	return h.held && now < h.deadline
}

// Fence returns the fencing number of the newest grant, or zero.
func (h *Holder) Fence() uint64 { return h.fence }

// ActAfter returns the time from which targets that do not check fencing numbers may get
// effects. It is meaningful while Valid.
func (h *Holder) ActAfter() time.Duration { return h.actAfter }

// Next returns the time at which Tick is needed next, and false if none is.
func (h *Holder) Next() (time.Duration, bool) {
	next := time.Duration(1<<63 - 1)
	if h.held {
		next = h.deadline
	}
	switch {
	case h.inflight != 0:
		next = min(next, h.sentAt+h.cfg.CallTimeout)
	case h.want:
		next = min(next, h.nextAt)
	}
	if h.releasing {
		next = min(next, h.releaseAt)
	}
	return next, next != 1<<63-1
}

// Step applies one event and returns the effects to carry out.
func (h *Holder) Step(now time.Duration, e Event) []Effect {
	out := h.expire(now)
	switch e := e.(type) {
	case Want:
		out = append(out, h.wish(now, e.Duty)...)
	case Acquired:
		out = append(out, h.acquired(now, e)...)
	}
	return append(out, h.sendDue(now)...)
}

// expire ends the duty at the deadline. An answer still outstanding counts as lost from then on.
func (h *Holder) expire(now time.Duration) []Effect {
	if !h.held || now < h.deadline {
		return nil
	}
	h.inflight = 0
	h.nextAt = now
	return h.stepDown()
}

func (h *Holder) stepDown() []Effect {
	h.held = false
	return []Effect{Lost{Fence: h.fence}}
}

func (h *Holder) wish(now time.Duration, duty bool) []Effect {
	if duty == h.want {
		return nil
	}
	h.want = duty
	h.inflight = 0
	h.nextAt = now
	if duty || !h.held {
		return nil
	}
	h.releasing = true
	h.releaseAt = now + h.cfg.LongestSend
	h.released = Release{Name: h.cfg.Name, Holder: h.name(), Fence: h.fence, Clean: now >= h.actAfter}
	h.term++
	return h.stepDown()
}

func (h *Holder) name() string { return fmt.Sprintf("%s/%d", h.cfg.Self, h.term) }

// sendDue sends the calls that are due.
func (h *Holder) sendDue(now time.Duration) []Effect {
	var out []Effect
	if h.releasing && now >= h.releaseAt {
		h.releasing = false
		h.calls++
		r := h.released
		r.Call = h.calls
		out = append(out, r)
	}
	if h.inflight != 0 && now >= h.sentAt+h.cfg.CallTimeout {
		h.inflight = 0
		h.backOff(now)
	}
	if h.want && h.inflight == 0 && now >= h.nextAt {
		h.calls++
		h.inflight, h.sentAt = h.calls, now
		out = append(out, Acquire{Call: h.calls, Name: h.cfg.Name, Holder: h.name(), TTL: h.cfg.TTL})
	}
	return out
}

func (h *Holder) acquired(now time.Duration, a Acquired) []Effect {
	if h.inflight == 0 || a.Call != h.inflight {
		return nil
	}
	h.inflight = 0
	if a.Result != OK {
		return h.refused(now, a.Result)
	}
	deadline := h.sentAt + min(a.TTL, h.cfg.TTL) - h.cfg.Drift
	if now >= deadline {
		h.backOff(now)
		return nil
	}
	var out []Effect
	if h.held && a.Fence != h.fence {
		out = h.stepDown()
	}
	if a.Fence != h.fence {
		h.actAfter = h.earliestAct(now, a)
	}
	h.failures = 0
	h.fence, h.deadline = a.Fence, deadline
	h.nextAt = h.sentAt + h.jitter(h.cfg.TTL/3)
	if !h.held {
		h.held = true
		out = append(out, Gained{Fence: h.fence})
	}
	return out
}

// earliestAct counts from the receipt of the grant, which is later than the grant itself.
func (h *Holder) earliestAct(now time.Duration, a Acquired) time.Duration {
	if a.ReleasedFence != 0 && a.ReleasedFence+1 == a.Fence {
		return now
	}
	return now + h.cfg.TTL + h.cfg.Drift + h.cfg.LongestSend
}

func (h *Holder) refused(now time.Duration, r Result) []Effect {
	if r == Failed {
		h.backOff(now)
		return nil
	}
	h.failures = 0
	h.nextAt = now + h.jitter(h.cfg.TTL/3)
	if !h.held {
		return nil
	}
	return h.stepDown()
}

// backOff schedules the next call with exponential backoff and full jitter above RetryMin.
func (h *Holder) backOff(now time.Duration) {
	ceiling := min(h.cfg.RetryMin<<min(h.failures, 16), h.cfg.RetryMax)
	h.failures++
	h.nextAt = now + h.cfg.RetryMin/2 + time.Duration(h.rng.Int64N(int64(ceiling)+1))
}

// jitter returns a time between 80% and 100% of d, so that instances do not renew in step.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return d - time.Duration(h.rng.Int64N(int64(d/5)+1))
}

// Deadline returns the time at which the duty ends unless it is renewed, for checks right
// before an effect leaves. It is meaningful while Valid.
func (h *Holder) Deadline() time.Duration { return h.deadline }
