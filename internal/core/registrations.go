package core

import (
	"slices"
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// reconcileInterval is the time between reconciliations of grants with homes.
const reconcileInterval = 15 * time.Second

// registerWithHomes tells the new homes of engines which attempts of this entry run there.
func (c *Core) registerWithHomes(moved map[fleet.InstanceID][]fleet.EngineID) {
	running := c.runningByEngine()
	homes := make([]fleet.InstanceID, 0, len(moved))
	for home := range moved {
		homes = append(homes, home)
	}
	sort.Slice(homes, func(i, j int) bool { return homes[i] < homes[j] })
	for _, home := range homes {
		for _, id := range moved[home] {
			c.register(home, id, running[id])
		}
		c.send(home, c.registerDone(home, moved[home]))
	}
}

// registerDone lists the attempts of this entry that a home should count.
func (c *Core) registerDone(home fleet.InstanceID, engines []fleet.EngineID) *wire.RegisterDone {
	m := &wire.RegisterDone{Engines: engines, Through: c.entry.lastAttempt}
	for _, r := range c.entry.byAttempt {
		if r.home == home {
			m.Keep = append(m.Keep, r.attempt)
		}
	}
	slices.Sort(m.Keep)
	return m
}

// reconcile tells every linked home which attempts of this entry it should count. A release
// may have been lost with a link or a full queue.
func (c *Core) reconcile() {
	if c.mono() < c.homes.nextReconcile {
		return
	}
	c.homes.nextReconcile = c.mono() + c.jitter(reconcileInterval)
	for _, id := range c.linkedPeers() {
		c.send(id, c.registerDone(id, nil))
	}
	c.send(c.cfg.Instance, c.registerDone(c.cfg.Instance, nil))
}

// dropUnkept frees the grants that an entry no longer lists.
func (c *Core) dropUnkept(from fleet.InstanceID, m *wire.RegisterDone) {
	var lost []fleet.AttemptID
	for id, g := range c.homes.grants {
		if g.entry == from && g.attempt <= m.Through && !slices.Contains(m.Keep, g.attempt) {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		c.homes.admission.Release(c.mono(), id, admission.Cancelled)
		delete(c.homes.grants, id)
	}
	c.count(CounterGrantsReconciled, uint64(len(lost)))
}

func (c *Core) register(home fleet.InstanceID, engine fleet.EngineID, running []*request) {
	if len(running) == 0 {
		return
	}
	m := &wire.Register{Engine: engine}
	for _, r := range running {
		r.home = home
		m.Attempts = append(m.Attempts, wire.RunningAttempt{
			Attempt:     r.attempt,
			Customer:    r.call.Customer,
			Class:       uint8(r.class),
			Chat:        r.call.Chat,
			Fingerprint: r.call.Fingerprint,
		})
	}
	c.send(home, m)
}

// runningByEngine returns the running requests of this entry, in order of attempt.
func (c *Core) runningByEngine() map[fleet.EngineID][]*request {
	byEngine := make(map[fleet.EngineID][]*request)
	for _, r := range c.entry.byAttempt {
		if r.stage == stageRun {
			byEngine[r.engine.ID] = append(byEngine[r.engine.ID], r)
		}
	}
	for _, list := range byEngine {
		sort.Slice(list, func(i, j int) bool { return list[i].attempt < list[j].attempt })
	}
	return byEngine
}

// askAgain repeats the requests that wait for an answer of an instance that is no longer the engine's home.
func (c *Core) askAgain() {
	var waiting []*request
	for _, r := range c.entry.byAttempt {
		if r.stage == stageAdmit && c.homeOf(r.engine) != r.home {
			waiting = append(waiting, r)
		}
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].attempt < waiting[j].attempt })
	for _, r := range waiting {
		c.withdraw(r)
		c.startAdmission(r)
	}
}

// attemptsRegistered counts the attempts that an entry has running on an engine of this home.
func (c *Core) attemptsRegistered(from fleet.InstanceID, m *wire.Register) {
	list := make([]admission.Registration, len(m.Attempts))
	for i, a := range m.Attempts {
		list[i] = admission.Registration{
			Attempt:     c.attemptIDFrom(from, a.Attempt),
			Engine:      m.Engine,
			Customer:    a.Customer,
			Weight:      c.customer(a.Customer).Weight,
			Class:       admission.Class(a.Class),
			Chat:        a.Chat,
			Fingerprint: a.Fingerprint,
		}
		c.homes.grants[list[i].Attempt] = grant{entry: from, attempt: a.Attempt, fingerprint: a.Fingerprint}
	}
	c.homes.admission.Register(c.mono(), from, list)
}

// registrationAsked repeats the registrations for engines of which this instance, too, takes
// the sender for the home. For the others it registers once its own view changes.
func (c *Core) registrationAsked(from fleet.InstanceID, m *wire.RegisterAsk) {
	c.registerOwned(from, m.Engines)
}

// registerOwned registers with a home for those of the given engines that it is home of.
func (c *Core) registerOwned(home fleet.InstanceID, ids []fleet.EngineID) {
	var engines []fleet.EngineID
	for _, id := range ids {
		if c.homes.homes[id] == home {
			engines = append(engines, id)
		}
	}
	if len(engines) > 0 {
		c.registerWithHomes(map[fleet.InstanceID][]fleet.EngineID{home: engines})
	}
}

func (c *Core) registrationDone(from fleet.InstanceID, m *wire.RegisterDone) {
	c.dropUnkept(from, m)
	if len(m.Engines) > 0 {
		c.homes.admission.EntryComplete(c.mono(), from, m.Engines)
	}
	c.sendDecisions()
}
