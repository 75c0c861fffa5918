package core

import (
	"slices"
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// longestQueueTime bounds a wait at a home. The entry ends a wait at the published limit of
// the request's priority; overnight work may wait for hours.
const longestQueueTime = 24 * time.Hour

// reconcileInterval is the time between reconciliations of grants with homes.
const reconcileInterval = 15 * time.Second

// homeState is the state of the home role.
type homeState struct {
	admission *admission.Home
	cache     affinity.HomeCache
	// owned lists the engines that this instance is home of, in order.
	owned []fleet.EngineID
	// homes remembers the home of every engine as of the last membership epoch.
	homes  map[fleet.EngineID]fleet.InstanceID
	grants map[fleet.AttemptID]grant
	probes map[fleet.EngineID]*probe
	moves  moveState
	// nextReconcile is when homes are told again which attempts to count.
	nextReconcile time.Duration
	// placements remembers the chats that run elsewhere than on their first choice.
	placements placements
	announce   announceState
	// announced is what the last heartbeats said.
	announced admission.Counts
	// peerPools holds the pool totals of other homes.
	peerPools map[fleet.InstanceID]map[fleet.ServiceID]wire.PoolTotal
}

// grant remembers how to answer an entry about one of its attempts.
type grant struct {
	entry       fleet.InstanceID
	attempt     uint64
	fingerprint fleet.Fingerprint
}

func (h *homeState) init(c *Core) {
	h.homes = make(map[fleet.EngineID]fleet.InstanceID)
	h.grants = make(map[fleet.AttemptID]grant)
	h.probes = make(map[fleet.EngineID]*probe)
	h.peerPools = make(map[fleet.InstanceID]map[fleet.ServiceID]wire.PoolTotal)
	h.moves.init()
	h.placements.init()
	h.admission = c.newAdmission(config.DefaultLoadBound, config.DefaultQueueLength)
}

func (c *Core) newAdmission(factor float64, queueLength int) *admission.Home {
	return admission.New(admission.Config{
		Factor:         factor,
		TakeoverShare:  c.cfg.TakeoverShare,
		TakeoverWindow: c.cfg.TakeoverWindow,
		Rewalk:         c.cfg.Rewalk,
		QueueLength:    queueLength,
		QueueTime:      longestQueueTime,
		Guard:          c.poison,
	})
}

// homeOf returns the home of an engine in the present view, or "" when no instance can be it.
func (c *Core) homeOf(engine *engineInfo) fleet.InstanceID {
	if engine.Region != c.cfg.Region {
		return affinity.HomeOf(engine.ID, engine.DataCentre, c.homeCandidates(engine.Region))
	}
	return c.homes.cache.Home(engine.ID, engine.DataCentre)
}

func (c *Core) homeCandidates(region fleet.Region) []affinity.Instance {
	live := c.view.Homes(region)
	list := make([]affinity.Instance, len(live))
	for i, instance := range live {
		list[i] = affinity.Instance{ID: instance.ID, DataCentre: instance.DataCentre}
	}
	return list
}

// reassignHomes follows a change of the view or of the published engines.
func (c *Core) reassignHomes() {
	c.homes.cache.Update(c.homeCandidates(c.cfg.Region))
	ids := c.regionEngines()
	moved := make(map[fleet.InstanceID][]fleet.EngineID)
	owned := c.homes.owned[:0:0]
	for _, id := range ids {
		engine := c.engines[id]
		home := c.homes.cache.Home(id, engine.DataCentre)
		before := c.homes.homes[id]
		c.homes.homes[id] = home
		if home == c.cfg.Instance {
			owned = append(owned, id)
			c.adoptEngine(engine, before)
		}
		if home != before && home != "" {
			moved[home] = append(moved[home], id)
		}
	}
	c.dropEngines(owned)
	c.homes.owned = owned
	c.homes.admission.SetPeers(c.mono(), c.liveInRegion())
	c.registerWithHomes(moved)
	c.askAgain()
	c.startAnnouncements(moved)
	c.sendDecisions()
}

// Admits reports whether this instance is the home of an engine that is open: neither
// draining nor held down after a crash.
func (c *Core) Admits(id fleet.EngineID) bool {
	status, ok := c.homes.admission.Status(id)
	return ok && !status.Draining && status.HeldUntil <= c.mono()
}

// regionEngines returns the published engines of the own region in order.
func (c *Core) regionEngines() []fleet.EngineID {
	var ids []fleet.EngineID
	for id, engine := range c.engines {
		if engine.Region == c.cfg.Region {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (c *Core) liveInRegion() []fleet.InstanceID {
	live := c.view.Live(c.cfg.Region)
	ids := make([]fleet.InstanceID, len(live))
	for i, instance := range live {
		ids[i] = instance.ID
	}
	return ids
}

// adoptEngine takes the home role for an engine. An engine that had another home, or that
// this instance can't know to be new, starts with a takeover.
func (c *Core) adoptEngine(engine *engineInfo, before fleet.InstanceID) {
	if before != c.cfg.Instance {
		c.count(CounterTakeovers, 1)
		c.emit(Record{Kind: "home_taken", Engine: engine.ID, Detail: string(before)})
	}
	c.homes.admission.Adopt(c.mono(), admission.Engine{
		ID:       engine.ID,
		Pool:     engine.service.ID,
		Slots:    engine.Slots,
		Capacity: engine.Capacity,
	}, true)
	c.homes.admission.SetDraining(c.mono(), engine.ID, engine.stopped)
	if c.homes.probes[engine.ID] == nil {
		c.homes.probes[engine.ID] = &probe{}
	}
}

func (c *Core) dropEngines(owned []fleet.EngineID) {
	keep := make(map[fleet.EngineID]bool, len(owned))
	for _, id := range owned {
		keep[id] = true
	}
	for _, id := range c.homes.owned {
		if !keep[id] {
			c.homes.admission.Drop(c.mono(), id)
			delete(c.homes.probes, id)
			c.homes.placements.drop(id)
		}
	}
	for id := range c.homes.homes {
		if c.engines[id] == nil {
			delete(c.homes.homes, id)
		}
	}
}

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

// admitRequested answers an entry's admission request.
func (c *Core) admitRequested(from fleet.InstanceID, m *wire.Admit) {
	if c.redirectPlaced(from, m) {
		return
	}
	id := c.attemptIDFrom(from, m.Attempt)
	customer := c.customer(m.Customer)
	request := admission.Request{
		Attempt:     id,
		Entry:       from,
		Customer:    m.Customer,
		Weight:      customer.Weight,
		Class:       admission.Class(m.Class),
		Arrival:     c.mono() - time.Duration(m.WaitedMs)*time.Millisecond,
		Chat:        m.Chat,
		Fingerprint: m.Fingerprint,
		Engine:      m.Engine,
		Movable:     !m.MayQueue && c.servesChats(m.Engine),
		MayQueue:    m.MayQueue,
		LastChoice:  m.LastChoice,
	}
	if m.DeadlineMs > 0 {
		request.Deadline = c.mono() + time.Duration(m.DeadlineMs)*time.Millisecond
	}
	c.homes.grants[id] = grant{entry: from, attempt: m.Attempt, fingerprint: m.Fingerprint}
	c.reply(c.homes.admission.Offer(c.mono(), request))
	c.sendDecisions()
}

// servesChats reports whether an engine belongs to a chat service.
func (c *Core) servesChats(id fleet.EngineID) bool {
	engine := c.engines[id]
	return engine != nil && engine.service.Kind == config.KindChat
}

// attemptIDFrom returns the fleet-wide id of an attempt of an entry.
func (c *Core) attemptIDFrom(entry fleet.InstanceID, attempt uint64) fleet.AttemptID {
	if entry == c.cfg.Instance {
		return c.attemptID(attempt)
	}
	return attemptIDOf(entry, c.members.linked[entry].incarnation, attempt)
}

func (c *Core) customer(id fleet.CustomerID) config.Customer {
	if c.snapshot != nil {
		if customer := c.snapshot.Customers[id]; customer != nil {
			return *customer
		}
	}
	return config.Customer{ID: id, Weight: config.DefaultWeight}
}

// sendDecisions answers requests that waited in queues.
func (c *Core) sendDecisions() {
	for _, decision := range c.homes.admission.Decisions() {
		c.reply(decision)
	}
}

func (c *Core) reply(d admission.Decision) {
	g, ok := c.homes.grants[d.Attempt]
	if !ok {
		return
	}
	m := &wire.AdmitReply{Attempt: g.attempt, RetryAfterMs: millis(d.RetryAfter)}
	switch d.Kind {
	case admission.Granted:
		m.Decision = wire.DecisionGranted
		m.EngineIncarnation = c.engineIncarnation(d.Engine)
	case admission.Queued:
		m.Decision = wire.DecisionQueued
	case admission.Redirect:
		m.Decision = wire.DecisionRedirect
		m.Reason = d.Reason.String()
		delete(c.homes.grants, d.Attempt)
	case admission.Refused:
		m.Decision = wire.DecisionRefused
		m.Reason = d.Reason.String()
		delete(c.homes.grants, d.Attempt)
	}
	c.send(g.entry, m)
}

func (c *Core) admitCanceled(from fleet.InstanceID, m *wire.CancelAdmit) {
	c.grantReleased(from, &wire.Release{Attempt: m.Attempt, Engine: m.Engine, Result: wire.ResultNotRun})
}

// grantReleased returns a grant. A broken attempt makes the home look at the engine at once.
func (c *Core) grantReleased(from fleet.InstanceID, m *wire.Release) {
	id := c.attemptIDFrom(from, m.Attempt)
	if m.Result == wire.ResultBroken {
		c.attemptBroke(m.Engine, id)
	}
	c.homes.admission.Release(c.mono(), id, admissionResult(m.Result))
	delete(c.homes.grants, id)
	c.sendDecisions()
}

func admissionResult(r wire.Result) admission.Result {
	switch r {
	case wire.ResultComplete:
		return admission.Done
	case wire.ResultNotRun:
		return admission.NotRun
	case wire.ResultCanceled:
		return admission.Cancelled
	}
	return admission.Failed
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

func (c *Core) registrationDone(from fleet.InstanceID, m *wire.RegisterDone) {
	c.dropUnkept(from, m)
	if len(m.Engines) > 0 {
		c.homes.admission.EntryComplete(c.mono(), from, m.Engines)
	}
	c.sendDecisions()
}

// entryGone frees the grants of an entry that is gone.
func (c *Core) entryGone(id fleet.InstanceID) {
	c.homes.admission.InstanceGone(c.mono(), id)
	for attempt, g := range c.homes.grants {
		if g.entry == id {
			delete(c.homes.grants, attempt)
		}
	}
	delete(c.homes.peerPools, id)
	c.updatePoolTotals()
	c.sendDecisions()
}

// updatePoolTotals gives the admission of this home the totals of the others. Homes without
// an open link are left out with their load and capacity: their totals are out of date, and
// their engines get no work until they have a new home.
func (c *Core) updatePoolTotals() {
	sums := make(map[fleet.ServiceID]wire.PoolTotal)
	for peer, totals := range c.homes.peerPools {
		if !c.isLinked(peer) {
			continue
		}
		for id, total := range totals {
			sum := sums[id]
			sum.InFlight += total.InFlight
			sum.CapacityMilli += total.CapacityMilli
			sums[id] = sum
		}
	}
	for id := range c.pools {
		sum := sums[id]
		c.homes.admission.SetPool(c.mono(), id, sum.InFlight, float64(sum.CapacityMilli)/1000)
	}
}

func (c *Core) tickHomes() {
	c.homes.admission.Tick(c.mono())
	c.sendDecisions()
	c.reconcile()
	c.tickProbes()
	c.tickMoves()
	c.tickAnnouncements()
}
