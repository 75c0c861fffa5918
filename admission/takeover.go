package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// takeover is the state of an engine whose former home may still have attempts running, or
// may still admit some because live lists differ.
type takeover struct {
	on       bool
	until    time.Duration
	granted  int // attempts granted during the takeover that still run
	complete map[fleet.InstanceID]struct{}
}

func (t *takeover) begin(until time.Duration) {
	*t = takeover{on: true, until: until, complete: make(map[fleet.InstanceID]struct{})}
}

// takeoverLimit returns the number of grants during a takeover. One is allowed even when the
// share is below one, so that an idle engine can start.
func takeoverLimit(share float64, limit int) int {
	return max(1, int(share*float64(limit)))
}

// Registration is an attempt that an entry has running on an engine.
type Registration struct {
	Attempt     fleet.AttemptID
	Engine      fleet.EngineID
	Customer    fleet.CustomerID
	Weight      float64
	Class       Class
	Chat        fleet.ChatKey
	Fingerprint fleet.Fingerprint
}

// Register counts attempts that an entry has running, and returns those whose engine has
// another home. Attempts that are known or already released change nothing. A registered
// attempt counts even above the bound, because it runs.
func (h *Home) Register(now time.Duration, entry fleet.InstanceID, attempts []Registration) []fleet.AttemptID {
	var rejected []fleet.AttemptID
	for _, r := range attempts {
		e, ok := h.engines[r.Engine]
		if !ok {
			rejected = append(rejected, r.Attempt)
			continue
		}
		h.register(now, entry, e, r)
		h.drain(now, e.pool)
	}
	return rejected
}

func (h *Home) register(now time.Duration, entry fleet.InstanceID, e *engine, r Registration) {
	if h.released.has(r.Attempt) {
		return
	}
	if known, ok := h.attempts[r.Attempt]; ok {
		if known.running {
			return
		}
		// The former home granted it while its offer here waited.
		h.unqueue(known)
		h.free(known)
	}
	a := h.newAttempt()
	a.id, a.entry, a.engine = r.Attempt, entry, e
	a.class, a.chat, a.fingerprint = r.Class, r.Chat, r.Fingerprint
	a.customer = e.customerOf(now, r.Customer, r.Weight)
	h.attempts[a.id] = a
	h.start(a)
}

// EntryComplete records that an entry has registered all its attempts on the listed engines.
// The list keeps a completion that was sent before the entry heard of a later adoption from
// ending that takeover.
func (h *Home) EntryComplete(now time.Duration, entry fleet.InstanceID, engines []fleet.EngineID) {
	for _, id := range engines {
		e, ok := h.engines[id]
		if !ok || !e.takeover.on {
			continue
		}
		e.takeover.complete[entry] = struct{}{}
		h.checkTakeover(now, e)
	}
}

// SetPeers sets the live instances that have entries, this one included. Until the first call
// a takeover ends only by its window.
func (h *Home) SetPeers(now time.Duration, live []fleet.InstanceID) {
	h.peers, h.peersSet = slices.Clone(live), true
	for _, e := range h.order {
		h.checkTakeover(now, e)
	}
}

// checkTakeover ends a takeover when its window is over or all peers have registered.
func (h *Home) checkTakeover(now time.Duration, e *engine) {
	if !e.takeover.on {
		return
	}
	if now < e.takeover.until && !h.allComplete(e) {
		return
	}
	e.takeover = takeover{}
	for _, a := range h.attempts {
		if a.engine == e {
			a.inTakeover = false
		}
	}
	h.drain(now, e.pool)
}

func (h *Home) allComplete(e *engine) bool {
	for _, peer := range h.peers {
		if _, ok := e.takeover.complete[peer]; !ok {
			return false
		}
	}
	return h.peersSet
}

// InstanceGone frees the grants and the queue places of an entry that is gone, and returns
// the number of attempts freed. If the entry comes back, it registers again.
func (h *Home) InstanceGone(now time.Duration, entry fleet.InstanceID) int {
	gone := h.sorted(func(a *attempt) bool { return a.entry == entry })
	for _, a := range gone {
		h.remove(a)
	}
	h.peers = slices.DeleteFunc(h.peers, func(peer fleet.InstanceID) bool { return peer == entry })
	for _, e := range h.order {
		h.checkTakeover(now, e)
		h.drain(now, e.pool)
	}
	return len(gone)
}

// running returns the running attempts of an engine by attempt id.
func (h *Home) running(e *engine) []*attempt {
	return h.sorted(func(a *attempt) bool { return a.engine == e && a.running })
}

// sorted returns the attempts that match, by attempt id.
func (h *Home) sorted(match func(*attempt) bool) []*attempt {
	var list []*attempt
	for _, a := range h.attempts {
		if match(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}
