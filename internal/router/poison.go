package router

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

const (
	// suspectWindow is how long before an engine becomes unreachable the attempt of a request must have
	// broken for the request to be suspected of the crash.
	suspectWindow = 2 * time.Second
	// answeredLife is how long a request is not suspected after it was answered.
	answeredLife = time.Minute
	// maxAnswered bounds the number of answered requests that are remembered.
	maxAnswered = 2048
	// checkInterval is the shortest time between checks of one engine.
	checkInterval = 200 * time.Millisecond
)

// poisonState detects poison requests: those that crash the engines that run them.
type poisonState struct {
	tracker *quarantine.Tracker
	// suspects lists, by engine, the requests whose attempts broke recently.
	suspects map[fleet.EngineID]*engineSuspects
	// answered holds when each request was last answered.
	answered map[fleet.Fingerprint]time.Duration
}

type engineSuspects struct {
	lastCheck time.Duration
	calls     []suspectCall
}

type suspectCall struct {
	fingerprint fleet.Fingerprint
	brokeAt     time.Duration
}

func (p *poisonState) init() {
	p.tracker = quarantine.New(poisonConfig)
	p.suspects = make(map[fleet.EngineID]*engineSuspects)
	p.answered = make(map[fleet.Fingerprint]time.Duration)
}

func (r *Router) quarantined(c *call) bool {
	return r.poison.tracker.Check(r.now, c.Fingerprint).State == quarantine.Quarantined && !r.recentlyAnswered(c.Fingerprint)
}

func (r *Router) recentlyAnswered(f fleet.Fingerprint) bool {
	at, ok := r.poison.answered[f]
	return ok && r.now-at < answeredLife
}

// markAnswered records that a request was answered and so does not crash engines.
func (r *Router) markAnswered(c *call) {
	if len(r.poison.answered) >= maxAnswered {
		clear(r.poison.answered)
	}
	r.poison.answered[c.Fingerprint] = r.now
}

// addSuspect records a broken attempt and requests a check of whether its engine has crashed.
func (r *Router) addSuspect(c *call) {
	s := r.poison.suspects[c.engine]
	if s == nil {
		s = &engineSuspects{lastCheck: -checkInterval}
		r.poison.suspects[c.engine] = s
	}
	s.calls = append(s.calls, suspectCall{c.Fingerprint, r.now})
	engine, ok := r.registry.Get(c.engine)
	if ok && r.now-s.lastCheck >= checkInterval {
		s.lastCheck = r.now
		r.emit(CheckEngine{Engine: c.engine, Addr: engine.Addr})
	}
}

func (r *Router) engineChecked(ev EngineChecked) {
	if !ev.Reachable {
		r.engineUnreachable(ev.Engine)
	}
}

// recordCrash records a strike against each request whose attempt broke shortly before an engine became
// unreachable, and sends the strikes to peers.
func (r *Router) recordCrash(id fleet.EngineID) {
	s := r.poison.suspects[id]
	if s == nil {
		return
	}
	delete(r.poison.suspects, id)
	var fingerprints []fleet.Fingerprint
	for _, call := range s.calls {
		if r.now-call.brokeAt < suspectWindow && !r.recentlyAnswered(call.fingerprint) {
			fingerprints = append(fingerprints, call.fingerprint)
		}
	}
	engine, _ := r.registry.Get(id)
	if len(r.poison.tracker.Crash(r.now, id, uint64(engine.StartedAtMillis), fingerprints)) == 0 {
		return
	}
	r.emit(Decision{Kind: "engine_crashed", Fields: []any{"engine", id, "suspects", len(fingerprints)}})
	r.broadcast(&wire.Strike{Engine: id, EngineIncarnation: uint64(engine.StartedAtMillis), Fingerprints: fingerprints, Confirmed: true})
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

// decayFactor returns the weight that remains after a time, given the half-life.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
