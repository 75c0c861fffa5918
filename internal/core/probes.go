package core

import (
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

const (
	// brokenAttemptWindow is the time before a confirmed crash in which an attempt that broke off
	// counts as running at the crash.
	brokenAttemptWindow = 3 * time.Second
	// maxProbeFailures is the number of failed probes in a row after which an engine counts as
	// crashed without a broken attempt.
	maxProbeFailures = 3
)

// engineProbe is the state of the probes of one of this home's engines.
type engineProbe struct {
	nextProbe      time.Duration
	awaitingReport bool
	failures       int
	// down is set from a detected crash until the next successful probe.
	down        bool
	incarnation uint64
	cacheSeq    uint64
	// brokenAttempts lists the attempts that broke off within brokenAttemptWindow.
	brokenAttempts []brokenAttempt
}

type brokenAttempt struct {
	at          time.Duration
	fingerprint fleet.Fingerprint
}

// tickProbes probes the engines of this home that are due.
func (c *Core) tickProbes() {
	for _, id := range c.homes.ownedEngines {
		p := c.homes.engineProbes[id]
		if !p.awaitingReport && c.mono() >= p.nextProbe {
			c.probeNow(id, p)
		}
	}
}

func (c *Core) probeNow(id fleet.EngineID, p *engineProbe) {
	engine := c.engines[id]
	if !engine.ReportsLoad {
		p.nextProbe = c.mono() + c.cfg.ProbeInterval
		return
	}
	p.awaitingReport = true
	p.nextProbe = c.mono() + c.jitter(c.cfg.ProbeInterval)
	c.emit(ProbeEngine{Target: engine.target()})
	if engine.service.Kind == config.KindChat {
		c.emit(ReadCacheEvents{Target: engine.target(), After: p.cacheSeq})
	}
}

// attemptBroke records a broken attempt and probes the engine at once, because strikes
// are added only for a confirmed crash.
func (c *Core) attemptBroke(id fleet.EngineID, attempt fleet.AttemptID) {
	p := c.homes.engineProbes[id]
	if p == nil {
		return
	}
	known, ok := c.homes.attempts[attempt]
	if !ok {
		return
	}
	p.brokenAttempts = append(p.brokenAttempts, brokenAttempt{at: c.mono(), fingerprint: known.fingerprint})
	if !p.awaitingReport {
		c.probeNow(id, p)
	}
}

// engineReport handles the answer to a probe. A changed incarnation means that the engine has
// restarted.
func (c *Core) engineReport(ev EngineReport) {
	p := c.homes.engineProbes[ev.Engine]
	if p == nil {
		return
	}
	p.awaitingReport = false
	if ev.Err != nil {
		c.probeFailed(ev.Engine, p)
		return
	}
	p.failures = 0
	restarted := p.incarnation != 0 && ev.Incarnation != p.incarnation
	if restarted && !p.down {
		c.homes.admission.Restarted(c.mono(), ev.Engine)
		c.addStrikes(ev.Engine, p, nil)
	}
	if restarted {
		p.cacheSeq = 0
	}
	p.down = false
	p.incarnation = ev.Incarnation
	c.pruneBrokenAttempts(p)
	c.reportEngineState(ev)
}

// probeFailed counts a failed probe. One failure counts as a crash if attempts broke off at
// the same time.
func (c *Core) probeFailed(id fleet.EngineID, p *engineProbe) {
	p.failures++
	c.pruneBrokenAttempts(p)
	if p.down {
		// The hold-down is renewed while the engine doesn't answer.
		c.homes.admission.Flap(c.mono(), id)
		return
	}
	if p.failures >= maxProbeFailures || len(p.brokenAttempts) > 0 {
		c.engineCrashed(id, p)
		p.down = true
	}
}

// pruneBrokenAttempts removes the broken attempts that are older than brokenAttemptWindow.
func (c *Core) pruneBrokenAttempts(p *engineProbe) {
	keep := p.brokenAttempts[:0]
	for _, b := range p.brokenAttempts {
		if c.mono()-b.at <= brokenAttemptWindow {
			keep = append(keep, b)
		}
	}
	p.brokenAttempts = keep
}

// engineCrashed removes the attempts of an engine that doesn't answer and adds a strike to every
// fingerprint that ran on it.
func (c *Core) engineCrashed(id fleet.EngineID, p *engineProbe) {
	var fingerprints []fleet.Fingerprint
	for _, lost := range c.homes.admission.Crash(c.mono(), id) {
		fingerprints = append(fingerprints, lost.Fingerprint)
		delete(c.homes.attempts, lost.Attempt)
	}
	c.addStrikes(id, p, fingerprints)
}

// addStrikes adds a strike to the fingerprints that ran on a crashed engine and to those
// whose attempts broke off shortly before, and broadcasts the strikes. Fingerprints with
// enough strikes are quarantined.
func (c *Core) addStrikes(id fleet.EngineID, p *engineProbe, fingerprints []fleet.Fingerprint) {
	c.count(CounterEngineCrashes, 1)
	c.emit(RecordEvent{Kind: "engine_crashed", Engine: id})
	for _, b := range p.brokenAttempts {
		fingerprints = append(fingerprints, b.fingerprint)
	}
	p.brokenAttempts = nil
	c.sendDecisions()
	if c.quarantine.Crash(c.mono(), id, p.incarnation, fingerprints) == nil {
		return
	}
	c.count(CounterStrikes, uint64(len(fingerprints)))
	c.broadcast(&wire.Strike{Engine: id, EngineIncarnation: p.incarnation, Fingerprints: fingerprints, Confirmed: true})
}

// strikeReceived merges a peer's strikes and forwards new ones, so that they reach all regions.
func (c *Core) strikeReceived(from fleet.InstanceID, m *wire.Strike) {
	age := time.Duration(m.AgeMs) * time.Millisecond
	strikes := make([]quarantine.Strike, 0, len(m.Fingerprints))
	for _, fingerprint := range m.Fingerprints {
		strikes = append(strikes, quarantine.Strike{
			Engine:      m.Engine,
			Incarnation: m.EngineIncarnation,
			Fingerprint: fingerprint,
			Age:         age,
		})
	}
	newStrikes := c.quarantine.Merge(c.mono(), strikes)
	if len(newStrikes) == 0 {
		return
	}
	c.emit(RecordEvent{Kind: "strike_received", Engine: m.Engine, Detail: string(from)})
	c.broadcastExcept(from, m)
}

// cacheEvents updates the cache estimate of an engine with the events it reported.
func (c *Core) cacheEvents(ev CacheEvents) {
	p := c.homes.engineProbes[ev.Engine]
	if p == nil || ev.Err != nil {
		return
	}
	for _, e := range ev.Events {
		if e.Sequence <= p.cacheSeq {
			continue
		}
		p.cacheSeq = e.Sequence
		batch := admission.CacheEvent{Seq: e.Sequence, At: c.mono()}
		if e.Stored {
			batch.Stored = []fleet.ChatKey{e.Chat}
		} else {
			batch.Evicted = []fleet.ChatKey{e.Chat}
		}
		c.homes.admission.CacheEvent(ev.Engine, batch)
	}
}
