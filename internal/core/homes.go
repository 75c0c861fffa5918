package core

import (
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// maxQueueTime is the longest wait in a home's queue. The entry ends a wait earlier, at the
// published limit of the request's priority; overnight work may wait for hours.
const maxQueueTime = 24 * time.Hour

// homeState is the state of the home role and of the assignment of homes to engines.
type homeState struct {
	admission *admission.Home
	homeCache affinity.HomeCache
	// ownedEngines lists the engines that this instance is the home of, in order.
	ownedEngines []fleet.EngineID
	// homeByEngine holds the home of every engine of the region at the last reassignment.
	homeByEngine map[fleet.EngineID]fleet.InstanceID
	attempts     map[fleet.AttemptID]homeAttempt
	engineProbes map[fleet.EngineID]*engineProbe
	moves        moveState
	// nextReconcile is when this entry next sends homes the attempts that they should count.
	nextReconcile time.Duration
	// placements holds the chats that run on another engine than their first choice.
	placements         placements
	cacheAnnouncements cacheAnnouncements
	// lastSentCounts holds the counts of the last heartbeat, from which the next one is a delta.
	lastSentCounts admission.Counts
	// peerPools holds the pool totals of other homes.
	peerPools map[fleet.InstanceID]map[fleet.ServiceID]wire.PoolTotal
}

// homeAttempt is an attempt that an entry has offered to or registered with this home.
type homeAttempt struct {
	entry       fleet.InstanceID
	attempt     uint64
	fingerprint fleet.Fingerprint
}

func (h *homeState) init(c *Core) {
	h.homeByEngine = make(map[fleet.EngineID]fleet.InstanceID)
	h.attempts = make(map[fleet.AttemptID]homeAttempt)
	h.engineProbes = make(map[fleet.EngineID]*engineProbe)
	h.peerPools = make(map[fleet.InstanceID]map[fleet.ServiceID]wire.PoolTotal)
	h.moves.init()
	h.placements.init()
	h.admission = c.newAdmission(config.DefaultLoadBound, config.DefaultQueueLength)
}

func (c *Core) newAdmission(factor float64, queueLength int) *admission.Home {
	return admission.New(admission.Config{
		LoadFactor:     factor,
		TakeoverShare:  c.cfg.TakeoverShare,
		TakeoverWindow: c.cfg.TakeoverWindow,
		RedirectAfter:  c.cfg.QueueRetryInterval,
		QueueLength:    queueLength,
		QueueTime:      maxQueueTime,
		Guard:          c.quarantine,
	})
}

// homeOf returns the home of an engine in the current membership view, or "" if the engine's
// region has no candidate.
func (c *Core) homeOf(engine *engineInfo) fleet.InstanceID {
	if engine.Region != c.cfg.Region {
		return affinity.HomeOf(engine.ID, engine.DataCentre, c.homeCandidates(engine.Region))
	}
	return c.homes.homeCache.Home(engine.ID, engine.DataCentre)
}

func (c *Core) homeCandidates(region fleet.Region) []affinity.Instance {
	live := c.view.HomeCandidates(region)
	list := make([]affinity.Instance, len(live))
	for i, instance := range live {
		list[i] = affinity.Instance{ID: instance.ID, DataCentre: instance.DataCentre}
	}
	return list
}

// reassignHomes determines the home of every engine of the region again, after a change of
// the membership view or of the published engines.
func (c *Core) reassignHomes() {
	c.homes.homeCache.Update(c.homeCandidates(c.cfg.Region))
	ids := c.regionEngines()
	moved := make(map[fleet.InstanceID][]fleet.EngineID)
	owned := c.homes.ownedEngines[:0:0]
	var adopted []fleet.EngineID
	for _, id := range ids {
		engine := c.engines[id]
		home := c.homes.homeCache.Home(id, engine.DataCentre)
		formerHome := c.homes.homeByEngine[id]
		c.homes.homeByEngine[id] = home
		if home == c.cfg.Instance {
			owned = append(owned, id)
			c.adoptEngine(engine, formerHome)
			if formerHome != home {
				adopted = append(adopted, id)
			}
		}
		if home != formerHome && home != "" {
			moved[home] = append(moved[home], id)
		}
	}
	c.dropEngines(owned)
	c.homes.ownedEngines = owned
	c.homes.admission.SetPeers(c.mono(), c.liveInRegion())
	c.registerWithHomes(moved)
	if len(adopted) > 0 {
		c.broadcast(&wire.RegisterRequest{Engines: adopted})
	}
	c.restartMovedAdmissions()
	c.startCacheAnnouncements(moved)
	c.sendDecisions()
}

// Admits reports whether this instance is the home of an engine and may admit attempts to it:
// the engine is neither draining nor held down after a crash.
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

// adoptEngine makes this instance the home of an engine, or updates an engine that it is
// already the home of. This instance cannot know whether the engine is new or had another home, so
// admission always starts with the limits of a takeover.
func (c *Core) adoptEngine(engine *engineInfo, formerHome fleet.InstanceID) {
	if formerHome != c.cfg.Instance {
		c.count(CounterTakeovers, 1)
		c.emit(RecordEvent{Kind: "home_taken", Engine: engine.ID, Detail: string(formerHome)})
	}
	c.homes.admission.Adopt(c.mono(), admission.Engine{
		ID:       engine.ID,
		Pool:     engine.service.ID,
		Slots:    engine.Slots,
		Capacity: engine.Capacity,
	}, true)
	c.homes.admission.SetDraining(c.mono(), engine.ID, engine.stopped)
	if c.homes.engineProbes[engine.ID] == nil {
		c.homes.engineProbes[engine.ID] = &engineProbe{}
	}
}

// dropEngines gives up the home role for engines that are no longer owned and deletes the
// homes of engines that are no longer published.
func (c *Core) dropEngines(owned []fleet.EngineID) {
	keep := make(map[fleet.EngineID]bool, len(owned))
	for _, id := range owned {
		keep[id] = true
	}
	for _, id := range c.homes.ownedEngines {
		if !keep[id] {
			c.homes.admission.Drop(c.mono(), id)
			delete(c.homes.engineProbes, id)
			c.homes.placements.drop(id)
		}
	}
	for id := range c.homes.homeByEngine {
		if c.engines[id] == nil {
			delete(c.homes.homeByEngine, id)
		}
	}
}

// admitRequested passes an entry's admission request to the admission of this home and answers it.
func (c *Core) admitRequested(from fleet.InstanceID, m *wire.Admit) {
	if c.redirectToPlaced(from, m) {
		return
	}
	id := c.attemptIDFrom(from, m.Attempt)
	customer := c.customerOrDefault(m.Customer)
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
		NoRedirect:  m.NoRedirect,
	}
	if m.DeadlineMs > 0 {
		request.Deadline = c.mono() + time.Duration(m.DeadlineMs)*time.Millisecond
	}
	c.homes.attempts[id] = homeAttempt{entry: from, attempt: m.Attempt, fingerprint: m.Fingerprint}
	c.sendDecision(c.homes.admission.Offer(c.mono(), request))
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

// customerOrDefault returns a published customer, or one with the default weight if it is not published.
func (c *Core) customerOrDefault(id fleet.CustomerID) config.Customer {
	if c.snapshot != nil {
		if customer := c.snapshot.Customers[id]; customer != nil {
			return *customer
		}
	}
	return config.Customer{ID: id, Weight: config.DefaultWeight}
}

// sendDecisions sends the decisions on requests that waited in queues.
func (c *Core) sendDecisions() {
	for _, decision := range c.homes.admission.Decisions() {
		c.sendDecision(decision)
	}
}

// sendDecision answers the entry of an attempt.
func (c *Core) sendDecision(d admission.Decision) {
	known, ok := c.homes.attempts[d.Attempt]
	if !ok {
		return
	}
	m := &wire.AdmitReply{Attempt: known.attempt, RetryAfterMs: millis(d.RetryAfter)}
	switch d.Kind {
	case admission.Granted:
		m.Decision = wire.DecisionGranted
	case admission.Queued:
		m.Decision = wire.DecisionQueued
	case admission.Redirect:
		m.Decision = wire.DecisionRedirect
		m.Reason = d.Reason.String()
		delete(c.homes.attempts, d.Attempt)
	case admission.Refused:
		m.Decision = wire.DecisionRefused
		m.Reason = d.Reason.String()
		delete(c.homes.attempts, d.Attempt)
	}
	c.send(known.entry, m)
}

// attemptReleased removes a granted or queued attempt. If the attempt broke off, the engine is
// probed at once.
func (c *Core) attemptReleased(from fleet.InstanceID, m *wire.Release) {
	id := c.attemptIDFrom(from, m.Attempt)
	if m.Result == wire.ResultBroken {
		c.attemptBroke(m.Engine, id)
	}
	c.homes.admission.Release(c.mono(), id, admissionResult(m.Result))
	delete(c.homes.attempts, id)
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

// entryGone removes the attempts of an entry that is gone.
func (c *Core) entryGone(id fleet.InstanceID) {
	c.homes.admission.InstanceGone(c.mono(), id)
	for attempt, known := range c.homes.attempts {
		if known.entry == id {
			delete(c.homes.attempts, attempt)
		}
	}
	delete(c.homes.peerPools, id)
	c.updatePoolTotals()
	c.sendDecisions()
}

// updatePoolTotals passes the sums of the other homes' pool totals to this home's admission.
// Totals are kept for linked homes only: without a link they are out of date, and the engines
// get no work until they have a new home.
func (c *Core) updatePoolTotals() {
	sums := make(map[fleet.ServiceID]wire.PoolTotal)
	for _, totals := range c.homes.peerPools {
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
	c.reconcileGrants()
	c.tickProbes()
	c.tickMoves()
	c.tickCacheAnnouncements()
}
