package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// takeover is the state of an engine that had another home before. Attempts that the former home
// granted may still run, and it may still grant more while the instances' live lists differ.
type takeover struct {
	active          bool
	until           time.Duration
	grantedRunning  int // attempts granted during the takeover that still run
	completeEntries map[fleet.InstanceID]struct{}
}

func (t *takeover) begin(until time.Duration) {
	*t = takeover{active: true, until: until, completeEntries: make(map[fleet.InstanceID]struct{})}
}

// takeoverLimit returns the most attempts granted during a takeover that may run at once. It is at
// least one, so that an idle engine can start even when the share is below one.
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

// Register counts attempts that an entry has running, and returns those whose engine has another
// home. Attempts that are already counted or released change nothing. A registered attempt counts
// even above the limit, because it is already running.
func (h *Home) Register(now time.Duration, entry fleet.InstanceID, attempts []Registration) []fleet.AttemptID {
	var rejected []fleet.AttemptID
	for _, r := range attempts {
		e, ok := h.engines[r.Engine]
		if !ok {
			rejected = append(rejected, r.Attempt)
			continue
		}
		h.register(now, entry, e, r)
		h.grantWaiting(now, e.pool)
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
		// The former home granted the attempt while its offer to this home was queued.
		h.dequeue(known)
		h.deleteAttempt(known)
	}
	a := h.newAttempt()
	a.id, a.entry, a.engine = r.Attempt, entry, e
	a.class, a.chat, a.fingerprint = r.Class, r.Chat, r.Fingerprint
	a.customer = e.customerOf(now, r.Customer, r.Weight)
	h.attempts[a.id] = a
	h.countRunning(a)
}

// EntryComplete records that an entry has registered all its attempts on the listed engines. Because
// the engines are listed, a completion that the entry sent before it learned of another adoption
// cannot end the takeover of that engine.
func (h *Home) EntryComplete(now time.Duration, entry fleet.InstanceID, engines []fleet.EngineID) {
	for _, id := range engines {
		e, ok := h.engines[id]
		if !ok || !e.takeover.active {
			continue
		}
		e.takeover.completeEntries[entry] = struct{}{}
		h.checkTakeover(now, e)
	}
}

// SetPeers sets the live instances that act as entries, including this one. Until the first call a
// takeover ends only when its window is over.
func (h *Home) SetPeers(now time.Duration, live []fleet.InstanceID) {
	h.peers, h.peersKnown = slices.Clone(live), true
	for _, e := range h.sortedEngines {
		h.checkTakeover(now, e)
	}
}

// checkTakeover ends a takeover when its window is over or all peers have registered.
func (h *Home) checkTakeover(now time.Duration, e *engine) {
	if !e.takeover.active {
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
	h.grantWaiting(now, e.pool)
}

// allComplete reports whether all live instances have registered their attempts on an engine.
func (h *Home) allComplete(e *engine) bool {
	for _, peer := range h.peers {
		if _, ok := e.takeover.completeEntries[peer]; !ok {
			return false
		}
	}
	return h.peersKnown
}

// InstanceGone removes the running and waiting attempts of an entry that is gone, and returns their
// number. If the entry comes back, it registers its attempts again.
func (h *Home) InstanceGone(now time.Duration, entry fleet.InstanceID) int {
	freed := h.attemptsWhere(func(a *attempt) bool { return a.entry == entry })
	for _, a := range freed {
		h.removeAttempt(a)
	}
	h.peers = slices.DeleteFunc(h.peers, func(peer fleet.InstanceID) bool { return peer == entry })
	for _, e := range h.sortedEngines {
		h.checkTakeover(now, e)
		h.grantWaiting(now, e.pool)
	}
	return len(freed)
}

// runningOn returns the running attempts of an engine, sorted by attempt id.
func (h *Home) runningOn(e *engine) []*attempt {
	return h.attemptsWhere(func(a *attempt) bool { return a.engine == e && a.running })
}

// attemptsWhere returns the attempts that match, sorted by attempt id.
func (h *Home) attemptsWhere(match func(*attempt) bool) []*attempt {
	var list []*attempt
	for _, a := range h.attempts {
		if match(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}
