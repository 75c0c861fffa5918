// Package lease decides when an instance holds a duty, a task that at most one instance may perform
// at a time.
//
// A Holder is a state machine that takes, renews and releases a lease of the platform. It performs
// no I/O: Step takes one event and returns effects, which the caller carries out. The duty consists of
// actions, each of which is sent to a target. The caller checks Valid directly before it sends an
// action and sends Fence with it. The holder counts its deadline from the time at which it sent the
// request for the lease, so that its validity ends before the service grants the lease to another
// holder.
//
// For targets that do not check fencing numbers, a new holder waits until ActAfter, since actions of
// the previous holder may still be in transit until then.
package lease

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Config holds the settings of a Holder.
type Config struct {
	// Name is the name of the lease. Self identifies the instance and its incarnation.
	Name, Self string
	// TTL is the requested time to live.
	TTL time.Duration
	// Drift is subtracted from each deadline. It must exceed the error of two clocks over one TTL.
	Drift time.Duration
	// MaxSendTime is the longest time between a check of Valid and the arrival of the action.
	MaxSendTime time.Duration
	// RetryMin and RetryMax bound the ceiling of the backoff after failed calls.
	RetryMin, RetryMax time.Duration
	// CallTimeout is the time after which an answer counts as lost.
	CallTimeout time.Duration
}

// Result is the kind of answer to a lease call.
type Result uint8

const (
	// OK: the call succeeded.
	OK Result = iota
	// Held: another holder has the lease.
	Held
	// Failed: the call was refused or its answer was lost.
	Failed
)

// Event is an input to Step: Want, Tick, Acquired or Released.
type Event interface{ event() }

// Want sets whether the instance wants the duty.
type Want struct{ Duty bool }

// Tick lets time pass without another event.
type Tick struct{}

// Acquired is the answer to an Acquire effect.
type Acquired struct {
	Call   uint64
	Result Result
	Fence  uint64
	TTL    time.Duration
	// ReleasedFence is the highest fencing number known to have been released with Clean set, or
	// zero. If it directly precedes Fence, the holder need not wait and ActAfter is now.
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

// Effect is an output of Step, to be carried out by the caller: Acquire, Release, Gained or Lost.
type Effect interface{ effect() }

// Acquire asks the service to take or renew the lease.
type Acquire struct {
	Call         uint64
	Name, Holder string
	TTL          time.Duration
}

// Release asks the service to end the lease. It is sent MaxSendTime after the duty ended, so that no
// action of this holder is in transit anymore.
type Release struct {
	Call         uint64
	Name, Holder string
	Fence        uint64
	// Clean is set if the next holder need not wait, since this holder held the duty until ActAfter
	// or longer. Once the service confirms the release, the caller may store Fence as released.
	Clean bool
}

// Gained reports the start of the duty.
type Gained struct{ Fence uint64 }

// Lost reports the end of the duty.
type Lost struct{ Fence uint64 }

func (Acquire) effect() {}
func (Release) effect() {}
func (Gained) effect()  {}
func (Lost) effect()    {}

// Holder is the state of one instance for one lease. It is not safe for concurrent use.
type Holder struct {
	cfg       Config
	rng       *rand.Rand
	wantsDuty bool
	held      bool
	// term is part of the holder's name. It rises when the duty ends because it is no longer wanted,
	// so that a late Release of an old term can't end the lease of a new one.
	term uint64
	// lastFence is the fencing number of the latest grant.
	lastFence uint64
	deadline  time.Duration
	actAfter  time.Duration

	// lastCall is the number of the latest call. pendingCall is the number of the unanswered Acquire,
	// or zero, and sentAt the time when it was sent.
	lastCall    uint64
	pendingCall uint64
	sentAt      time.Duration
	// nextCallAt is when the next Acquire is due. failures counts consecutive failed calls.
	nextCallAt time.Duration
	failures   int

	// pendingRelease is due at releaseAt if releasePending is set.
	releaseAt      time.Duration
	releasePending bool
	pendingRelease Release
}

// New returns a holder that does not want the duty yet. rng provides the jitter of its calls.
func New(cfg Config, rng *rand.Rand) *Holder {
	return &Holder{cfg: cfg, rng: rng}
}

// Valid reports whether the duty is held at now, that is, before the holder's own deadline.
func (h *Holder) Valid(now time.Duration) bool {
	return h.held && now < h.deadline
}

// Fence returns the fencing number of the latest grant, or zero.
func (h *Holder) Fence() uint64 { return h.lastFence }

// ActAfter returns the time from which actions may be sent to targets that do not check fencing
// numbers. It is meaningful while Valid.
func (h *Holder) ActAfter() time.Duration { return h.actAfter }

// Next returns the time at which the next Tick is needed, and false if none is.
func (h *Holder) Next() (time.Duration, bool) {
	next := time.Duration(1<<63 - 1)
	if h.held {
		next = h.deadline
	}
	switch {
	case h.pendingCall != 0:
		next = min(next, h.sentAt+h.cfg.CallTimeout)
	case h.wantsDuty:
		next = min(next, h.nextCallAt)
	}
	if h.releasePending {
		next = min(next, h.releaseAt)
	}
	return next, next != 1<<63-1
}

// Step applies one event and returns the effects to carry out.
func (h *Holder) Step(now time.Duration, e Event) []Effect {
	effects := h.expire(now)
	switch e := e.(type) {
	case Want:
		effects = append(effects, h.setWanted(now, e.Duty)...)
	case Acquired:
		effects = append(effects, h.acquired(now, e)...)
	}
	return append(effects, h.sendDue(now)...)
}

// expire ends the duty at the deadline. An answer that is still pending then is ignored.
func (h *Holder) expire(now time.Duration) []Effect {
	if !h.held || now < h.deadline {
		return nil
	}
	h.pendingCall = 0
	h.nextCallAt = now
	return h.loseDuty()
}

// loseDuty ends the duty.
func (h *Holder) loseDuty() []Effect {
	h.held = false
	return []Effect{Lost{Fence: h.lastFence}}
}

// setWanted handles Want. When a held duty is no longer wanted, it ends the duty and schedules the
// release of the lease.
func (h *Holder) setWanted(now time.Duration, duty bool) []Effect {
	if duty == h.wantsDuty {
		return nil
	}
	h.wantsDuty = duty
	h.pendingCall = 0
	h.nextCallAt = now
	if duty || !h.held {
		return nil
	}
	h.releasePending = true
	h.releaseAt = now + h.cfg.MaxSendTime
	h.pendingRelease = Release{Name: h.cfg.Name, Holder: h.holderName(), Fence: h.lastFence, Clean: now >= h.actAfter}
	h.term++
	return h.loseDuty()
}

// holderName returns the name under which this holder takes the lease in the current term.
func (h *Holder) holderName() string { return fmt.Sprintf("%s/%d", h.cfg.Self, h.term) }

// sendDue returns the calls that are due. After CallTimeout it stops waiting for the pending Acquire
// and schedules a new one.
func (h *Holder) sendDue(now time.Duration) []Effect {
	var effects []Effect
	if h.releasePending && now >= h.releaseAt {
		h.releasePending = false
		h.lastCall++
		r := h.pendingRelease
		r.Call = h.lastCall
		effects = append(effects, r)
	}
	if h.pendingCall != 0 && now >= h.sentAt+h.cfg.CallTimeout {
		h.pendingCall = 0
		h.backOff(now)
	}
	if h.wantsDuty && h.pendingCall == 0 && now >= h.nextCallAt {
		h.lastCall++
		h.pendingCall, h.sentAt = h.lastCall, now
		effects = append(effects, Acquire{Call: h.lastCall, Name: h.cfg.Name, Holder: h.holderName(), TTL: h.cfg.TTL})
	}
	return effects
}

// acquired handles the answer to the pending Acquire; others are ignored.
func (h *Holder) acquired(now time.Duration, a Acquired) []Effect {
	if h.pendingCall == 0 || a.Call != h.pendingCall {
		return nil
	}
	h.pendingCall = 0
	if a.Result != OK {
		return h.acquireFailed(now, a.Result)
	}
	deadline := h.sentAt + min(a.TTL, h.cfg.TTL) - h.cfg.Drift
	if now >= deadline {
		h.backOff(now)
		return nil
	}
	var effects []Effect
	if h.held && a.Fence != h.lastFence {
		effects = h.loseDuty()
	}
	if a.Fence != h.lastFence {
		h.actAfter = h.actAfterGrant(now, a)
	}
	h.failures = 0
	h.lastFence, h.deadline = a.Fence, deadline
	h.nextCallAt = h.sentAt + h.jitter(h.cfg.TTL/3)
	if !h.held {
		h.held = true
		effects = append(effects, Gained{Fence: h.lastFence})
	}
	return effects
}

// actAfterGrant returns the ActAfter of a new grant. It counts from the receipt of the grant,
// which is later than the grant itself.
func (h *Holder) actAfterGrant(now time.Duration, a Acquired) time.Duration {
	if a.ReleasedFence != 0 && a.ReleasedFence+1 == a.Fence {
		return now
	}
	return now + h.cfg.TTL + h.cfg.Drift + h.cfg.MaxSendTime
}

// acquireFailed handles an answer without a grant. If another holder has the lease, the duty ends.
func (h *Holder) acquireFailed(now time.Duration, r Result) []Effect {
	if r == Failed {
		h.backOff(now)
		return nil
	}
	h.failures = 0
	h.nextCallAt = now + h.jitter(h.cfg.TTL/3)
	if !h.held {
		return nil
	}
	return h.loseDuty()
}

// backOff schedules the next call with exponential backoff and full jitter, at least RetryMin/2
// from now.
func (h *Holder) backOff(now time.Duration) {
	ceiling := min(h.cfg.RetryMin<<min(h.failures, 16), h.cfg.RetryMax)
	h.failures++
	h.nextCallAt = now + h.cfg.RetryMin/2 + time.Duration(h.rng.Int64N(int64(ceiling)+1))
}

// jitter returns a time between 80% and 100% of d, so that instances do not renew simultaneously.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return d - time.Duration(h.rng.Int64N(int64(d/5)+1))
}

// Deadline returns the time at which the duty ends unless the lease is renewed, for checks directly
// before an action is sent. It is meaningful while Valid.
func (h *Holder) Deadline() time.Duration { return h.deadline }
