package placement

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// EngineState is what an instance knows of one engine of a pool.
type EngineState struct {
	Engine
	// Holds lists the reasons for which the engine gets fewer requests than others, or none.
	Holds []Hold
	// OwnRequests is the number of requests that this instance runs at the engine, AllRequests the estimated number
	// that all instances run.
	OwnRequests, AllRequests int
}

// State returns the state of an engine, or false if the pool lacks it.
func (p *Pool) State(now time.Duration, id fleet.EngineID) (EngineState, bool) {
	m := p.members[id]
	if m == nil {
		return EngineState{}, false
	}
	return EngineState{Engine: m.Engine, Holds: p.Holds(now, id), OwnRequests: m.ownRequests, AllRequests: p.load(now, m)}, true
}

// setEngine replaces what is registered of an engine.
func (m *member) setEngine(now time.Duration, e Engine) {
	if e.Draining && !m.Draining {
		m.drainingSince = now
	}
	m.Engine = e
}
