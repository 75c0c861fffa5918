package router

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

const (
	// suspectWindow is how long before an engine turns unreachable a broken request may have
	// caused its crash.
	suspectWindow = 2 * time.Second
	// absolvedLife is how long a request that was answered can't be suspected.
	absolvedLife = time.Minute
	// maxAbsolved bounds the memory for answered requests.
	maxAbsolved = 2048
	// checkInterval is the shortest time between checks of one engine.
	checkInterval = 200 * time.Millisecond
)

// poisonState finds requests that crash the engines that run them.
type poisonState struct {
	tracker *quarantine.Tracker
	// broken lists, by engine, the requests whose attempts broke a short time ago.
	broken map[fleet.EngineID]*suspects
	// absolved holds when requests were last answered.
	absolved map[fleet.Fingerprint]time.Duration
}

type suspects struct {
	checked time.Duration
	list    []suspectCall
}

type suspectCall struct {
	fingerprint fleet.Fingerprint
	at          time.Duration
}

func (p *poisonState) init() {
	p.tracker = quarantine.New(poisonConfig)
	p.broken = make(map[fleet.EngineID]*suspects)
	p.absolved = make(map[fleet.Fingerprint]time.Duration)
}

func (r *Router) quarantined(c *call) bool {
	return r.poison.tracker.Check(r.now, c.Fingerprint).State == quarantine.Quarantined && !r.isAbsolved(c.Fingerprint)
}

func (r *Router) isAbsolved(f fleet.Fingerprint) bool {
	at, ok := r.poison.absolved[f]
	return ok && r.now-at < absolvedLife
}

// absolve notes that a request was answered: it does not crash engines.
func (r *Router) absolve(c *call) {
	if len(r.poison.absolved) >= maxAbsolved {
		clear(r.poison.absolved)
	}
	r.poison.absolved[c.Fingerprint] = r.now
}

// suspect remembers a broken attempt and checks whether its engine has crashed.
func (r *Router) suspect(c *call) {
	s := r.poison.broken[c.engine]
	if s == nil {
		s = &suspects{checked: -checkInterval}
		r.poison.broken[c.engine] = s
	}
	s.list = append(s.list, suspectCall{c.Fingerprint, r.now})
	engine, ok := r.registry.Get(c.engine)
	if ok && r.now-s.checked >= checkInterval {
		s.checked = r.now
		r.emit(CheckEngine{Engine: c.engine, Addr: engine.Addr})
	}
}

func (r *Router) engineChecked(ev EngineChecked) {
	if !ev.Reachable {
		r.engineUnreachable(ev.Engine)
	}
}

// crashed gives a strike to the requests that broke shortly before an engine was unreachable.
func (r *Router) crashed(id fleet.EngineID) {
	s := r.poison.broken[id]
	if s == nil {
		return
	}
	delete(r.poison.broken, id)
	var fingerprints []fleet.Fingerprint
	for _, call := range s.list {
		if r.now-call.at < suspectWindow && !r.isAbsolved(call.fingerprint) {
			fingerprints = append(fingerprints, call.fingerprint)
		}
	}
	engine, _ := r.registry.Get(id)
	if len(r.poison.tracker.Crash(r.now, id, uint64(engine.Born), fingerprints)) == 0 {
		return
	}
	r.emit(Note{Kind: "engine_crashed", Fields: []any{"engine", id, "suspects", len(fingerprints)}})
	r.broadcast(&wire.Strike{Engine: id, EngineIncarnation: uint64(engine.Born), Fingerprints: fingerprints, Confirmed: true})
}

func (r *Router) strikeReceived(m *wire.Strike) {
	strikes := make([]quarantine.Strike, 0, len(m.Fingerprints))
	for _, f := range m.Fingerprints {
		strikes = append(strikes, quarantine.Strike{
			Engine:      m.Engine,
			Incarnation: m.EngineIncarnation,
			Fingerprint: f,
			Age:         time.Duration(m.AgeMs) * time.Millisecond,
		})
	}
	r.poison.tracker.Merge(r.now, strikes)
}

// halves is the weight that is left after a time, given the half-life.
func halves(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
