package admission

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

// Offer asks for admission of one attempt and returns the answer to it. Other requests may
// become grantable by the way; see Decisions.
func (h *Home) Offer(now time.Duration, r Request) Decision {
	if h.released.has(r.Attempt) {
		return refusal(r, Refused, Finished)
	}
	if a, ok := h.attempts[r.Attempt]; ok {
		return h.repeat(a)
	}
	e, ok := h.engines[r.Engine]
	if !ok {
		return refusal(r, Refused, NotHome)
	}
	if reason := h.closed(now, e, r); reason != 0 {
		d := refusal(r, Refused, reason)
		if reason == HoldDown {
			d.RetryAfter = e.heldUntil - now
		}
		return d
	}
	if r.Movable && e.cache.warmth(r.Chat) == Cold && !h.roomForCold(e) {
		return refusal(r, Redirect, Saturated)
	}
	c := e.customerOf(now, r.Customer, r.Weight)
	if h.room(e) && h.entitled(e, c) {
		return h.admit(now, e, c, r)
	}
	return h.enqueue(now, e, c, r)
}

func refusal(r Request, kind Kind, reason Reason) Decision {
	return Decision{Kind: kind, Reason: reason, Attempt: r.Attempt, Entry: r.Entry, Engine: r.Engine}
}

// repeat answers an offer that arrives again.
func (h *Home) repeat(a *attempt) Decision {
	if a.running {
		return a.decision(Granted, 0)
	}
	return a.decision(Queued, 0)
}

// closed returns the reason why an engine takes no such request, room or not.
func (h *Home) closed(now time.Duration, e *engine, r Request) Reason {
	h.endHold(now, e)
	switch {
	case e.draining:
		return Draining
	case e.held:
		return HoldDown
	case r.Deadline != 0 && r.Deadline <= now:
		return Expired
	}
	return h.guarded(now, e, r.Fingerprint)
}

// guarded returns the reason why the guard keeps a fingerprint from an engine now.
func (h *Home) guarded(now time.Duration, e *engine, fingerprint fleet.Fingerprint) Reason {
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
	if !h.config.Guard.MayRun(now, fingerprint, running) {
		return Suspect
	}
	return 0
}

// admit grants a request on arrival.
func (h *Home) admit(now time.Duration, e *engine, c *customer, r Request) Decision {
	a := h.track(now, e, c, r)
	a.inTakeover = e.takeover.on
	h.start(a)
	d := a.decision(Granted, 0)
	h.drain(now, e.pool)
	return d
}

// track remembers a request as a waiting attempt outside the queue.
func (h *Home) track(now time.Duration, e *engine, c *customer, r Request) *attempt {
	a := h.newAttempt()
	*a = attempt{
		id: r.Attempt, entry: r.Entry, engine: e, customer: c,
		chat: r.Chat, fingerprint: r.Fingerprint, class: r.Class,
		deadline: r.Deadline, arrival: min(r.Arrival, now), queuedAt: now,
		lastChoice: r.LastChoice,
	}
	h.attempts[a.id] = a
	return a
}

// start counts an attempt as running.
func (h *Home) start(a *attempt) {
	a.running = true
	a.customer.inFlight++
	a.engine.inFlight++
	if a.engine.open() {
		a.engine.pool.inFlight++
	}
	if a.inTakeover {
		a.engine.takeover.granted++
	}
}

// stop undoes start.
func (h *Home) stop(a *attempt) {
	a.running = false
	a.customer.inFlight--
	a.engine.inFlight--
	if a.engine.open() {
		a.engine.pool.inFlight--
	}
	if a.inTakeover {
		a.engine.takeover.granted--
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
		e.cache.touch(a.chat, now)
	}
	h.remove(a)
	h.drain(now, e.pool)
	return true
}

// remove ends an attempt in any state.
func (h *Home) remove(a *attempt) {
	if !a.running {
		h.unqueue(a)
	}
	h.free(a)
}

// free forgets an attempt outside the queue and keeps its memory for the next one.
func (h *Home) free(a *attempt) {
	if a.running {
		h.stop(a)
	}
	delete(h.attempts, a.id)
	*a = attempt{}
	h.spare = append(h.spare, a)
}

// maxSpare bounds the memory kept after a burst.
const maxSpare = 1024

func (h *Home) newAttempt() *attempt {
	n := len(h.spare)
	if n == 0 {
		return &attempt{}
	}
	a := h.spare[n-1]
	h.spare = h.spare[:min(n-1, maxSpare)]
	return a
}

func (a *attempt) decision(kind Kind, reason Reason) Decision {
	d := Decision{Kind: kind, Reason: reason, Attempt: a.id, Entry: a.entry, Engine: a.engine.ID}
	if kind == Granted {
		d.Warmth = a.engine.cache.warmth(a.chat)
	}
	return d
}

// releasedMemory is the number of released attempts that a home remembers. At 30 requests/s
// per instance it covers two minutes, far longer than a message stays on a peer link.
const releasedMemory = 4096

// releasedSet remembers the hashes of the most recently released attempts.
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
	if len(s.ring) < releasedMemory {
		s.ring = append(s.ring, key)
	} else {
		delete(s.set, s.ring[s.next])
		s.ring[s.next] = key
		s.next = (s.next + 1) % releasedMemory
	}
	s.set[key] = struct{}{}
}
