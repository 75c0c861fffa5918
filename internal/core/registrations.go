package core

import (
	"slices"
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// reconcileInterval is the time between reconciliations of this entry's attempts with homes.
const reconcileInterval = 15 * time.Second

// registerWithHomes registers this entry's running attempts with the new homes of their engines.
func (c *Core) registerWithHomes(moved map[fleet.InstanceID][]fleet.EngineID) {
	running := c.runningByEngine()
	homes := make([]fleet.InstanceID, 0, len(moved))
	for home := range moved {
		homes = append(homes, home)
	}
	sort.Slice(homes, func(i, j int) bool { return homes[i] < homes[j] })
	for _, home := range homes {
		for _, id := range moved[home] {
			c.registerAttempts(home, id, running[id])
		}
		c.send(home, c.newRegisterDone(home, moved[home]))
	}
}

// newRegisterDone returns the message that ends a registration. It lists all attempts of this
// entry that the home should count, and LastAttempt is the newest attempt it covers.
func (c *Core) newRegisterDone(home fleet.InstanceID, engines []fleet.EngineID) *wire.RegisterDone {
	m := &wire.RegisterDone{Engines: engines, LastAttempt: c.entry.lastAttempt}
	for _, r := range c.entry.byAttempt {
		if r.home == home {
			m.ActiveAttempts = append(m.ActiveAttempts, r.attempt)
		}
	}
	slices.Sort(m.ActiveAttempts)
	return m
}

// reconcileGrants sends every linked home the attempts of this entry that it should count,
// because a release may have been lost with a link or dropped by a full queue.
func (c *Core) reconcileGrants() {
	if c.mono() < c.homes.nextReconcile {
		return
	}
	c.homes.nextReconcile = c.mono() + c.jitter(reconcileInterval)
	for _, id := range c.linkedPeers() {
		c.send(id, c.newRegisterDone(id, nil))
	}
	c.send(c.cfg.Instance, c.newRegisterDone(c.cfg.Instance, nil))
}

// releaseUnlistedAttempts removes the attempts of an entry that its list does not contain. Attempts
// newer than the list stay.
func (c *Core) releaseUnlistedAttempts(from fleet.InstanceID, m *wire.RegisterDone) {
	var lost []fleet.AttemptID
	for id, known := range c.homes.attempts {
		if known.entry == from && known.attempt <= m.LastAttempt && !slices.Contains(m.ActiveAttempts, known.attempt) {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		c.homes.admission.Release(c.mono(), id, admission.Cancelled)
		delete(c.homes.attempts, id)
	}
	c.count(CounterGrantsReconciled, uint64(len(lost)))
}

// registerAttempts registers running attempts on an engine with its home.
func (c *Core) registerAttempts(home fleet.InstanceID, engine fleet.EngineID, running []*request) {
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

// runningByEngine returns the running requests of this entry by engine, each list in order of
// attempt.
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

// restartMovedAdmissions starts the admission of a request again if it waits for an answer of
// an instance that is no longer the engine's home.
func (c *Core) restartMovedAdmissions() {
	var waiting []*request
	for _, r := range c.entry.byAttempt {
		if r.stage == stageAdmit && c.homeOf(r.engine) != r.home {
			waiting = append(waiting, r)
		}
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].attempt < waiting[j].attempt })
	for _, r := range waiting {
		c.withdrawAttempt(r)
		c.startAdmission(r)
	}
}

// attemptsRegistered counts an entry's running attempts on an engine of this home.
func (c *Core) attemptsRegistered(from fleet.InstanceID, m *wire.Register) {
	list := make([]admission.Registration, len(m.Attempts))
	for i, a := range m.Attempts {
		list[i] = admission.Registration{
			Attempt:     c.attemptIDFrom(from, a.Attempt),
			Engine:      m.Engine,
			Customer:    a.Customer,
			Weight:      c.customerOrDefault(a.Customer).Weight,
			Class:       admission.Class(a.Class),
			Chat:        a.Chat,
			Fingerprint: a.Fingerprint,
		}
		c.homes.attempts[list[i].Attempt] = homeAttempt{entry: from, attempt: a.Attempt, fingerprint: a.Fingerprint}
	}
	c.homes.admission.Register(c.mono(), from, list)
}

// registrationRequested registers again for the engines whose home is the sender in this
// instance's view too. For the others it registers when its own view changes.
func (c *Core) registrationRequested(from fleet.InstanceID, m *wire.RegisterRequest) {
	c.registerOwnedEngines(from, m.Engines)
}

// registerOwnedEngines registers with a home for those of the given engines that it is the home of.
func (c *Core) registerOwnedEngines(home fleet.InstanceID, ids []fleet.EngineID) {
	var engines []fleet.EngineID
	for _, id := range ids {
		if c.homes.homeByEngine[id] == home {
			engines = append(engines, id)
		}
	}
	if len(engines) > 0 {
		c.registerWithHomes(map[fleet.InstanceID][]fleet.EngineID{home: engines})
	}
}

// registrationDone ends an entry's registration: attempts that it doesn't list are removed.
func (c *Core) registrationDone(from fleet.InstanceID, m *wire.RegisterDone) {
	c.releaseUnlistedAttempts(from, m)
	if len(m.Engines) > 0 {
		c.homes.admission.EntryComplete(c.mono(), from, m.Engines)
	}
	c.sendDecisions()
}
