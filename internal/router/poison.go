package router

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/crashcause"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// suspectWindow is how long before an engine becomes unreachable the attempt of a request must have
	// broken for the request to be suspected of the crash.
	suspectWindow = 2 * time.Second
	// checkInterval is the shortest time between checks of one engine.
	checkInterval = 200 * time.Millisecond
)

// poisonState detects poison requests: those that crash the engines that run them.
type poisonState struct {
	detector *crashcause.Detector
	// suspects lists, by engine, the requests whose attempts broke recently.
	suspects map[fleet.EngineID]*engineSuspects
	storing  quarantineStoring
}

type engineSuspects struct {
	lastCheck time.Duration
	calls     []suspectCall
}

type suspectCall struct {
	requestID string
	request   crashcause.Request
	brokeAt   time.Duration
	// answeringFor is the time from the header of the response to the break; 0 without a response.
	answeringFor time.Duration
}

func (p *poisonState) init(seed uint64) {
	p.detector = crashcause.New(crashcause.Config{Seed: seed})
	p.suspects = make(map[fleet.EngineID]*engineSuspects)
	p.storing.init()
}

// traits returns what a request may have in common with others that crash engines.
func (c *call) traits() crashcause.Request {
	return crashcause.Request{Fingerprint: c.Fingerprint, Parts: c.PromptParts}
}

// markAnswered records that a request was answered and so does not crash engines.
func (r *Router) markAnswered(c *call) {
	r.poison.detector.Answered(r.now, c.traits(), c.sentAt)
}

// addSuspect records a broken attempt and requests a check of whether its engine has crashed.
func (r *Router) addSuspect(c *call, firstByte time.Duration) {
	s := r.poison.suspects[c.engine]
	if s == nil {
		s = &engineSuspects{lastCheck: -checkInterval}
		r.poison.suspects[c.engine] = s
	}
	suspect := suspectCall{requestID: c.RequestID, request: c.traits(), brokeAt: r.now}
	if firstByte > 0 {
		suspect.answeringFor = r.now - c.sentAt - firstByte
	}
	s.dropOld(r.now)
	s.calls = append(s.calls, suspect)
	engine, ok := r.registry.Get(c.engine)
	if ok && r.now-s.lastCheck >= checkInterval {
		s.lastCheck = r.now
		r.emit(CheckEngine{Engine: c.engine, Addr: engine.Addr})
	}
}

func (s *engineSuspects) dropOld(now time.Duration) {
	s.calls = slices.DeleteFunc(s.calls, func(c suspectCall) bool { return now-c.brokeAt >= suspectWindow })
}

func (r *Router) engineChecked(ev EngineChecked) {
	if !ev.Reachable {
		r.engineUnreachable(ev.Engine)
	}
}

// recordCrash reports the requests whose attempts broke shortly before an engine became unreachable as
// suspects of its crash, also to peers.
func (r *Router) recordCrash(id fleet.EngineID) {
	s := r.poison.suspects[id]
	if s == nil {
		return
	}
	delete(r.poison.suspects, id)
	s.dropOld(r.now)
	if len(s.calls) == 0 {
		return
	}
	engine, _ := r.registry.Get(id)
	crash := crashcause.Crash{Engine: id, Incarnation: uint64(engine.StartedAtMillis)}
	for _, call := range s.calls {
		crash.Suspects = append(crash.Suspects, call.request)
		crash.Age = max(crash.Age, r.now-call.brokeAt)
		r.emit(Decision{Kind: "crash_suspect", RequestID: call.requestID, Fields: []any{"engine", id,
			"fingerprint", hexHash(call.request.Fingerprint), "parts", hexHashes(call.request.Parts), "answering_ms", call.answeringFor.Milliseconds()}})
	}
	r.emit(Decision{Kind: "engine_crashed", Fields: []any{"engine", id, "suspects", len(crash.Suspects)}})
	r.poison.detector.Report(r.now, crash)
	r.broadcast(strikeMessage(crash))
}

func strikeMessage(c crashcause.Crash) *wire.Strike {
	m := &wire.Strike{Engine: c.Engine, EngineIncarnation: c.Incarnation, Confirmed: true, AgeMs: uint32(c.Age.Milliseconds())}
	for _, suspect := range c.Suspects {
		m.Fingerprints = append(m.Fingerprints, suspect.Fingerprint)
		m.Parts = append(m.Parts, suspect.Parts)
	}
	return m
}

func (r *Router) strikeReceived(m *wire.Strike) {
	crash := crashcause.Crash{Engine: m.Engine, Incarnation: m.EngineIncarnation, Age: milliseconds(m.AgeMs)}
	for i, fingerprint := range m.Fingerprints {
		suspect := crashcause.Request{Fingerprint: fingerprint}
		if i < len(m.Parts) {
			suspect.Parts = m.Parts[i]
		}
		crash.Suspects = append(crash.Suspects, suspect)
	}
	r.poison.detector.Report(r.now, crash)
}

// tickPoison quarantines what the evidence suffices for, and tells peers of answers that clear harmless
// requests.
func (r *Router) tickPoison() {
	d := r.poison.detector
	d.Tick(r.now)
	if answers := d.AnswersToAnnounce(r.now); len(answers) > 0 {
		r.broadcast(&wire.CrashEvidence{Answered: answerAges(answers)})
	}
	r.endQuarantines(d.Lifted())
	quarantined := d.NewQuarantines()
	for _, trait := range quarantined {
		r.emit(Decision{Kind: "quarantined", Fields: []any{"trait", hexHash(trait), "source", "crashes"}})
	}
	// Instances quarantine by themselves; those that read the store also tell the others, some of which
	// may lack a part of the evidence.
	if len(quarantined) > 0 && r.store.watching {
		r.broadcast(&wire.CrashEvidence{Quarantined: remainingTimes(d.Quarantines(r.now))})
	}
	r.storeQuarantines()
}

// sendCrashEvidence tells a peer what is quarantined. Instances that read the store also send it the
// evidence for what may be quarantined next.
func (r *Router) sendCrashEvidence(to fleet.InstanceID) {
	d := r.poison.detector
	evidence := &wire.CrashEvidence{Quarantined: remainingTimes(d.Quarantines(r.now))}
	if r.store.watching {
		evidence.Answered = answerAges(d.Answers(r.now))
		for _, crash := range d.Crashes(r.now) {
			r.emit(SendMessage{To: to, Message: strikeMessage(crash)})
		}
	}
	if len(evidence.Answered)+len(evidence.Quarantined) > 0 {
		r.emit(SendMessage{To: to, Message: evidence})
	}
}

func (r *Router) crashEvidenceReceived(from fleet.InstanceID, m *wire.CrashEvidence) {
	answers := make([]crashcause.Answer, len(m.Answered))
	for i, a := range m.Answered {
		answers[i] = crashcause.Answer{Trait: a.Trait, Age: milliseconds(a.Ms)}
	}
	r.poison.detector.MergeAnswers(r.now, answers)
	for _, q := range m.Quarantined {
		r.adoptQuarantine(q.Trait, milliseconds(q.Ms), string(from))
	}
}

// adoptQuarantine refuses requests with a trait because the store or a peer says so.
func (r *Router) adoptQuarantine(trait fleet.Fingerprint, remaining time.Duration, source string) {
	if r.poison.detector.Adopt(r.now, crashcause.Quarantine{Trait: trait, Remaining: remaining}) {
		r.emit(Decision{Kind: "quarantined", Fields: []any{"trait", hexHash(trait), "source", source, "remaining_ms", remaining.Milliseconds()}})
	}
}

func answerAges(answers []crashcause.Answer) []wire.TraitTime {
	list := make([]wire.TraitTime, len(answers))
	for i, a := range answers {
		list[i] = wire.TraitTime{Trait: a.Trait, Ms: uint32(a.Age.Milliseconds())}
	}
	return list
}

func remainingTimes(quarantines []crashcause.Quarantine) []wire.TraitTime {
	list := make([]wire.TraitTime, len(quarantines))
	for i, q := range quarantines {
		list[i] = wire.TraitTime{Trait: q.Trait, Ms: uint32(q.Remaining.Milliseconds())}
	}
	return list
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// hexHash returns a hash as it appears in logs and keys.
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
