package router

import (
	"math"
	"strconv"
	"strings"
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
	requestID   string
	fingerprint fleet.Fingerprint
	parts       []fleet.Fingerprint
	brokeAt     time.Duration
	// answeringFor is the time from the header of the response to the break; 0 without a response.
	answeringFor time.Duration
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
func (r *Router) addSuspect(c *call, firstByte time.Duration) {
	s := r.poison.suspects[c.engine]
	if s == nil {
		s = &engineSuspects{lastCheck: -checkInterval}
		r.poison.suspects[c.engine] = s
	}
	suspect := suspectCall{requestID: c.RequestID, fingerprint: c.Fingerprint, parts: c.PromptParts, brokeAt: r.now}
	if firstByte > 0 {
		suspect.answeringFor = r.now - c.sentAt - firstByte
	}
	s.calls = append(s.calls, suspect)
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
		if r.now-call.brokeAt >= suspectWindow {
			continue
		}
		answered := r.recentlyAnswered(call.fingerprint)
		r.emit(Decision{Kind: "crash_suspect", RequestID: call.requestID, Fields: []any{"engine", id, "fingerprint", hexHash(call.fingerprint),
			"parts", hexHashes(call.parts), "answering_ms", call.answeringFor.Milliseconds(), "answered", answered}})
		if !answered {
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

// hexHash returns a hash as it appears in logs.
func hexHash(f fleet.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// maxLoggedParts bounds the prompt parts in one log line.
const maxLoggedParts = 16

// hexHashes returns hashes as they appear in logs, separated by spaces.
func hexHashes(list []fleet.Fingerprint) string {
	var texts []string
	for _, f := range list[:min(len(list), maxLoggedParts)] {
		texts = append(texts, hexHash(f))
	}
	return strings.Join(texts, " ")
}

// decayFactor returns the weight that remains after a time, given the half-life.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
