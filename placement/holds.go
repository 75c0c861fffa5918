package placement

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// mayReceive reports whether an engine may get another request from this instance now, as far as its rate limit and its
// warm-up are concerned. Together with acceptsNew it decides how much an engine may get; Holds explains it.
func (m *member) mayReceive(now time.Duration, request Request) bool {
	return m.warmUpAdmits(now) && m.limitAdmits(now, request.AvoidAsking)
}

// limitAdmits reports whether the engine's rate limit admits another request, or its owner may be asked.
func (m *member) limitAdmits(now time.Duration, avoidAsking bool) bool {
	if m.limit == nil {
		return true
	}
	if m.limit.Owner != "" {
		return !avoidAsking && now >= m.limit.deniedUntil
	}
	return m.limit.tokens.Available(now)
}

// Hold is a reason for which an engine gets fewer requests than others, or none.
type Hold struct {
	// Reason is one of the words below.
	Reason string
	// Since and Until are the bounds of the reason, negative if unknown.
	Since, Until time.Duration
	// Rate is the number of requests a second that this instance may send, if the reason leaves some.
	Rate float64
	// Owner is the instance that admits each request because of a rate limit, or empty if this one does. Ending is set
	// if the engine names no limit any more.
	Owner  fleet.InstanceID
	Ending bool
	// Admits reports whether the reason leaves room for a request now.
	Admits bool
}

// Reasons of a Hold.
const (
	HoldDraining  = "draining"
	HoldEvacuated = "evacuated"
	HoldPaused    = "paused"
	HoldQuiet     = "quiet"
	HoldWarmingUp = "warming_up"
	HoldLimited   = "limited"
)

// Holds returns all reasons for which an engine gets fewer requests than others now, by the same functions that decide
// it, the one that decides first at the beginning. An engine without one is usable.
func (p *Pool) Holds(now time.Duration, id fleet.EngineID) []Hold {
	m := p.members[id]
	if m == nil {
		return nil
	}
	var holds []Hold
	if m.Draining {
		holds = append(holds, Hold{Reason: HoldDraining, Since: m.drainingSince, Until: -1})
	}
	if m.Evacuated {
		holds = append(holds, Hold{Reason: HoldEvacuated, Since: -1, Until: -1})
	}
	if !m.health.admits(now, false) {
		holds = append(holds, Hold{Reason: HoldPaused, Since: -1, Until: m.health.pausedUntil})
	}
	if now < m.QuietUntil {
		holds = append(holds, Hold{Reason: HoldQuiet, Since: -1, Until: m.QuietUntil})
	}
	if m.warming(now) {
		w := m.warmUp
		holds = append(holds, Hold{Reason: HoldWarmingUp, Since: w.Since, Until: w.Until, Rate: w.Rate, Admits: m.warmUpAdmits(now)})
	}
	if l := m.limit; l != nil {
		holds = append(holds, Hold{Reason: HoldLimited, Since: -1, Until: -1, Rate: l.Rate, Owner: l.Owner, Ending: l.Ending, Admits: m.limitAdmits(now, false)})
	}
	return holds
}
