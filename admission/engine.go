package admission

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// flapHistory counts how often an engine crashed or left and came back. The last hold-down ends at
// until.
type flapHistory struct {
	count int
	until time.Duration
}

// LostAttempt is an attempt that ran on an engine when it crashed.
type LostAttempt struct {
	Attempt     fleet.AttemptID
	Entry       fleet.InstanceID
	Fingerprint fleet.Fingerprint
}

// Crash records the crash of an engine: it starts the hold-down, removes the running attempts and
// returns them sorted by attempt id, redirects the waiting ones and clears the cache estimate.
func (h *Home) Crash(now time.Duration, id fleet.EngineID) []LostAttempt {
	e, ok := h.engines[id]
	if !ok {
		h.Flap(now, id)
		return nil
	}
	var lost []LostAttempt
	for _, a := range h.runningOn(e) {
		lost = append(lost, LostAttempt{a.id, a.entry, a.fingerprint})
		h.released.add(a.id)
		h.deleteAttempt(a)
	}
	h.removeAllWaiting(e, Redirect, Crashed)
	e.cache = newCacheEstimate(h.config.CacheEntries)
	h.Flap(now, id)
	return lost
}

// Restarted records that an engine has restarted since it was last seen: it starts the
// hold-down, redirects the waiting attempts and clears the cache estimate. Running attempts remain
// counted until their entries release them, since some may have started after the restart.
func (h *Home) Restarted(now time.Duration, id fleet.EngineID) {
	if e, ok := h.engines[id]; ok {
		h.removeAllWaiting(e, Redirect, Crashed)
		e.cache = newCacheEstimate(h.config.CacheEntries)
	}
	h.Flap(now, id)
}

// Flap records that an engine crashed or left and came back. It starts a hold-down, redirects the
// waiting requests and returns the end of the hold-down. The hold-down is twice as long as the last
// one, up to HoldDownMax, if that one ended less than HoldDownMax ago.
func (h *Home) Flap(now time.Duration, id fleet.EngineID) time.Duration {
	f := h.flaps[id]
	if f.count > 0 && now-f.until >= h.config.HoldDownMax {
		f = flapHistory{}
	}
	f.until = now + h.holdDownDuration(f.count)
	f.count++
	h.flaps[id] = f
	if e, ok := h.engines[id]; ok {
		h.updateOpen(e, func() { e.inHoldDown, e.holdDownUntil = true, f.until })
		h.removeAllWaiting(e, Redirect, HoldDown)
		h.grantWaiting(now, e.pool)
	}
	return f.until
}

// holdDownDuration returns HoldDownMin doubled for each earlier flap, at most HoldDownMax.
func (h *Home) holdDownDuration(earlier int) time.Duration {
	hold := h.config.HoldDownMin
	for i := 0; i < earlier && hold < h.config.HoldDownMax; i++ {
		hold *= 2
	}
	return min(hold, h.config.HoldDownMax)
}

// endHoldDown ends a hold-down whose time is over.
func (h *Home) endHoldDown(now time.Duration, e *engine) {
	if e.inHoldDown && now >= e.holdDownUntil {
		h.updateOpen(e, func() { e.inHoldDown = false })
		h.grantWaiting(now, e.pool)
	}
}

// NextTick returns the time of the next change that Tick makes, and false if there is none. The
// shares of customers also change with time, so a home with waiting requests needs a Tick at least
// every second.
func (h *Home) NextTick() (time.Duration, bool) {
	next := time.Duration(math.MaxInt64)
	for _, e := range h.sortedEngines {
		if e.inHoldDown {
			next = min(next, e.holdDownUntil)
		}
		if e.takeover.active {
			next = min(next, e.takeover.until)
		}
		for _, a := range e.queue {
			next = min(next, h.queueExitTime(a))
		}
	}
	return next, next != math.MaxInt64
}

// queueExitTime returns the time at which a waiting request is removed from the queue if it is not
// granted before.
func (h *Home) queueExitTime(a *attempt) time.Duration {
	at := a.arrival + h.config.QueueTime
	if a.deadline != 0 {
		at = min(at, a.deadline)
	}
	if !a.noRedirect {
		at = min(at, a.queuedAt+h.config.RedirectAfter)
	}
	return at
}

// Tick ends hold-downs, takeovers and waits whose time is over, and deletes idle customers.
func (h *Home) Tick(now time.Duration) {
	for _, e := range h.sortedEngines {
		h.endHoldDown(now, e)
		h.checkTakeover(now, e)
		e.pruneCustomers(now - h.config.ActiveWindow)
	}
	for _, e := range h.sortedEngines {
		h.grantWaiting(now, e.pool)
		h.removeOverdue(now, e)
	}
	for id, f := range h.flaps {
		if now-f.until >= h.config.HoldDownMax {
			delete(h.flaps, id)
		}
	}
}
