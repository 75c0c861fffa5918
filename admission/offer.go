package admission

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

// Offer asks for admission of one attempt and returns the decision about it. It may also cause
// decisions about waiting requests; see Decisions.
func (h *Home) Offer(now time.Duration, r Request) Decision {
	if h.released.has(r.Attempt) {
		return refusal(r, Refused, Finished)
	}
	if a, ok := h.attempts[r.Attempt]; ok {
		return h.repeatAnswer(a)
	}
	e, ok := h.engines[r.Engine]
	if !ok {
		return refusal(r, Refused, NotHome)
	}
	if reason := h.refusalReason(now, e, r); reason != 0 {
		d := refusal(r, Refused, reason)
		if reason == HoldDown {
			d.RetryAfter = e.holdDownUntil - now
		}
		return d
	}
	if r.Movable && e.cache.state(r.Chat) == CacheAbsent && !h.hasRoomForUncached(e) {
		return refusal(r, Redirect, Saturated)
	}
	c := e.customerOf(now, r.Customer, r.Weight)
	if h.hasRoom(e) && h.mayTakeSlot(e, c) {
		return h.grantOnArrival(now, e, c, r)
	}
	return h.enqueue(now, e, c, r)
}

func refusal(r Request, kind Kind, reason Reason) Decision {
	return Decision{Kind: kind, Reason: reason, Attempt: r.Attempt, Entry: r.Entry, Engine: r.Engine}
}

// repeatAnswer answers an offer that arrives again.
func (h *Home) repeatAnswer(a *attempt) Decision {
	if a.running {
		return a.decision(Granted, 0)
	}
	return a.decision(Queued, 0)
}

// refusalReason returns the reason why an engine refuses a request regardless of its load, or zero.
func (h *Home) refusalReason(now time.Duration, e *engine, r Request) Reason {
	h.endHoldDown(now, e)
	switch {
	case e.draining:
		return Draining
	case e.inHoldDown:
		return HoldDown
	case r.Deadline != 0 && r.Deadline <= now:
		return Expired
	}
	return h.guardReason(now, e, r.Fingerprint)
}

// guardReason returns the reason why the guard does not let a fingerprint run on an engine now, or
// zero.
func (h *Home) guardReason(now time.Duration, e *engine, fingerprint fleet.Fingerprint) Reason {
	if h.config.Guard == nil {
		return 0
	}
	switch h.config.Guard.Check(now, fingerprint).State {
	case quarantine.Clear:
		return 0
	case quarantine.Quarantined:
		return Quarantined
	}
	var running []fleet.Fingerprint
	for _, a := range h.attempts {
		if a.engine == e && a.running {
			running = append(running, a.fingerprint)
		}
	}
	if !h.config.Guard.MayRunBeside(now, fingerprint, running) {
		return Suspect
	}
	return 0
}

// grantOnArrival grants a request that has not waited.
func (h *Home) grantOnArrival(now time.Duration, e *engine, c *customer, r Request) Decision {
	a := h.trackWaiting(now, e, c, r)
	a.inTakeover = e.takeover.active
	h.countRunning(a)
	d := a.decision(Granted, 0)
	h.grantWaiting(now, e.pool)
	return d
}

// trackWaiting records a request as a waiting attempt. The caller queues or starts it.
func (h *Home) trackWaiting(now time.Duration, e *engine, c *customer, r Request) *attempt {
	a := h.newAttempt()
	*a = attempt{
		id: r.Attempt, entry: r.Entry, engine: e, customer: c,
		chat: r.Chat, fingerprint: r.Fingerprint, class: r.Class,
		deadline: r.Deadline, arrival: min(r.Arrival, now), queuedAt: now,
		noRedirect: r.NoRedirect,
	}
	h.attempts[a.id] = a
	return a
}

// countRunning counts an attempt as running.
func (h *Home) countRunning(a *attempt) {
	a.running = true
	a.customer.inFlight++
	a.engine.inFlight++
	if a.engine.open() {
		a.engine.pool.inFlight++
	}
	if a.inTakeover {
		a.engine.takeover.grantedRunning++
	}
}

// uncountRunning undoes countRunning.
func (h *Home) uncountRunning(a *attempt) {
	a.running = false
	a.customer.inFlight--
	a.engine.inFlight--
	if a.engine.open() {
		a.engine.pool.inFlight--
	}
	if a.inTakeover {
		a.engine.takeover.grantedRunning--
	}
}

// Release ends an attempt, running, waiting or not yet offered, and reports whether it was
// known. Releasing it again changes nothing.
func (h *Home) Release(now time.Duration, id fleet.AttemptID, result Result) bool {
	h.released.add(id)
	a, ok := h.attempts[id]
	if !ok {
		return false
	}
	e := a.engine
	a.customer.lastSeen = now
	if result == Done && a.running {
		e.cache.confirm(a.chat, now)
	}
	h.removeAttempt(a)
	h.grantWaiting(now, e.pool)
	return true
}

// removeAttempt removes a running or waiting attempt.
func (h *Home) removeAttempt(a *attempt) {
	if !a.running {
		h.dequeue(a)
	}
	h.deleteAttempt(a)
}

// deleteAttempt deletes an attempt that is not queued, takes it out of the counts if it is running,
// and keeps its memory for a later one.
func (h *Home) deleteAttempt(a *attempt) {
	if a.running {
		h.uncountRunning(a)
	}
	delete(h.attempts, a.id)
	*a = attempt{}
	h.freeAttempts = append(h.freeAttempts, a)
}

// maxFreeAttempts bounds the memory that is kept after a burst.
const maxFreeAttempts = 1024

// newAttempt returns an attempt to fill in, reusing freed memory.
func (h *Home) newAttempt() *attempt {
	n := len(h.freeAttempts)
	if n == 0 {
		return &attempt{}
	}
	a := h.freeAttempts[n-1]
	h.freeAttempts = h.freeAttempts[:min(n-1, maxFreeAttempts)]
	return a
}

func (a *attempt) decision(kind Kind, reason Reason) Decision {
	d := Decision{Kind: kind, Reason: reason, Attempt: a.id, Entry: a.entry, Engine: a.engine.ID}
	if kind == Granted {
		d.CacheState = a.engine.cache.state(a.chat)
	}
	return d
}

// maxReleased is the number of released attempts that a home remembers. At 30 requests/s per
// instance this covers two minutes, far longer than a message is in transit on a peer link.
const maxReleased = 4096

// releasedSet holds the hashes of the most recently released attempts.
type releasedSet struct {
	ring []uint64
	next int
	set  map[uint64]struct{}
}

func (s *releasedSet) has(id fleet.AttemptID) bool {
	_, ok := s.set[fleet.Hash(string(id))]
	return ok
}

func (s *releasedSet) add(id fleet.AttemptID) {
	key := fleet.Hash(string(id))
	if _, ok := s.set[key]; ok {
		return
	}
	if s.set == nil {
		s.set = make(map[uint64]struct{})
	}
	if len(s.ring) < maxReleased {
		s.ring = append(s.ring, key)
	} else {
		delete(s.set, s.ring[s.next])
		s.ring[s.next] = key
		s.next = (s.next + 1) % maxReleased
	}
	s.set[key] = struct{}{}
}
