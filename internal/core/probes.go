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
	// brokenWindow is the time before a confirmed crash in which a broken attempt counts as
	// running when the engine crashed.
	brokenWindow = 3 * time.Second
	// probeFailures is the number of failed probes in a row after which an engine counts as
	// crashed without a broken attempt.
	probeFailures = 3
)

// probe is what a home knows of an engine from its reports.
type probe struct {
	next        time.Duration
	waiting     bool
	failures    int
	down        bool
	incarnation uint64
	cacheSeq    uint64
	// broken lists attempts that broke off a short time ago.
	broken []brokenAttempt
}

type brokenAttempt struct {
	at          time.Duration
	fingerprint fleet.Fingerprint
}

// tickProbes probes the engines of this home that are due.
func (c *Core) tickProbes() {
	for _, id := range c.homes.owned {
		p := c.homes.probes[id]
		if !p.waiting && c.mono() >= p.next {
			c.probeNow(id, p)
		}
	}
}

func (c *Core) probeNow(id fleet.EngineID, p *probe) {
	engine := c.engines[id]
	if !engine.ReportsLoad {
		p.next = c.mono() + c.cfg.ProbeInterval
		return
	}
	p.waiting = true
	p.next = c.mono() + c.jitter(c.cfg.ProbeInterval)
	c.emit(ProbeEngine{Target: engine.target()})
	if engine.service.Kind == config.KindChat {
		c.emit(ReadCacheEvents{Target: engine.target(), After: p.cacheSeq})
	}
}

// attemptBroke remembers a broken attempt and probes the engine at once: only a crash gives strikes.
func (c *Core) attemptBroke(id fleet.EngineID, attempt fleet.AttemptID) {
	p := c.homes.probes[id]
	if p == nil {
		return
	}
	g, ok := c.homes.grants[attempt]
	if !ok {
		return
	}
	p.broken = append(p.broken, brokenAttempt{at: c.mono(), fingerprint: g.fingerprint})
	if !p.waiting {
		c.probeNow(id, p)
	}
}

// engineReport updates what the home knows of an engine.
func (c *Core) engineReport(ev EngineReport) {
	p := c.homes.probes[ev.Engine]
	if p == nil {
		return
	}
	p.waiting = false
	if ev.Err != nil {
		c.probeFailed(ev.Engine, p)
		return
	}
	p.failures = 0
	restarted := p.incarnation != 0 && ev.Incarnation != p.incarnation
	if restarted && !p.down {
		c.homes.admission.Restarted(c.mono(), ev.Engine)
		c.strike(ev.Engine, p, nil)
	}
	if restarted {
		p.cacheSeq = 0
	}
	p.down = false
	p.incarnation = ev.Incarnation
	c.pruneBroken(p)
	c.reportEngineState(ev)
}

// probeFailed counts a failed probe. One is enough when attempts broke off at the same time.
func (c *Core) probeFailed(id fleet.EngineID, p *probe) {
	p.failures++
	c.pruneBroken(p)
	if p.down {
		// The hold-down is renewed while the engine stays away.
		c.homes.admission.Flap(c.mono(), id)
		return
	}
	if p.failures >= probeFailures || len(p.broken) > 0 {
		c.engineCrashed(id, p)
		p.down = true
	}
}

func (c *Core) pruneBroken(p *probe) {
	keep := p.broken[:0]
	for _, b := range p.broken {
		if c.mono()-b.at <= brokenWindow {
			keep = append(keep, b)
		}
	}
	p.broken = keep
}

// engineCrashed frees the grants of an engine that doesn't answer and gives a strike to every
// fingerprint that ran on it.
func (c *Core) engineCrashed(id fleet.EngineID, p *probe) {
	var fingerprints []fleet.Fingerprint
	for _, lost := range c.homes.admission.Crash(c.mono(), id) {
		fingerprints = append(fingerprints, lost.Fingerprint)
		delete(c.homes.grants, lost.Attempt)
	}
	c.strike(id, p, fingerprints)
}

// strike gives a strike to the fingerprints that ran on a crashed engine and to those whose
// attempts broke off shortly before, and tells all instances.
func (c *Core) strike(id fleet.EngineID, p *probe, fingerprints []fleet.Fingerprint) {
	c.count(CounterEngineCrashes, 1)
	c.emit(Record{Kind: "engine_crashed", Engine: id})
	for _, b := range p.broken {
		fingerprints = append(fingerprints, b.fingerprint)
	}
	p.broken = nil
	c.sendDecisions()
	if c.poison.Crash(c.mono(), id, p.incarnation, fingerprints) == nil {
		return
	}
	c.count(CounterStrikes, uint64(len(fingerprints)))
	c.broadcast(&wire.Strike{Engine: id, EngineIncarnation: p.incarnation, Fingerprints: fingerprints, Confirmed: true})
}

// strikeReceived merges a peer's strikes and passes new ones on, so that they cross regions.
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
	fresh := c.poison.Merge(c.mono(), strikes)
	if len(fresh) == 0 {
		return
	}
	c.emit(Record{Kind: "strike_received", Engine: m.Engine, Detail: string(from)})
	c.relay(from, m)
}

// cacheEvents corrects the cache estimate of an engine.
func (c *Core) cacheEvents(ev CacheEvents) {
	p := c.homes.probes[ev.Engine]
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
