package core

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/lease"
	"github.com/bilberrywell/bilberrywell/orders"
)

const (
	// dutyCandidates is the number of instances of a region that compete for the lease of its duty.
	dutyCandidates = 2
	// dutyTTL is the time to live of the duty's lease.
	dutyTTL = 10 * time.Second
	// dutyDrift bounds the error of two clocks over one TTL.
	dutyDrift = 500 * time.Millisecond
	// maxOrderSendTime is the time limit of sending an order.
	maxOrderSendTime = time.Second
	// planInterval is the time between plans of orders.
	planInterval = 500 * time.Millisecond
	// maxStateAge is the greatest age of an engine state when it is received: a probe
	// interval, the engine's own reporting lag and the transfer.
	maxStateAge = 3 * time.Second
	// mismatchResendInterval is the time after which an unchanged engine state is sent again
	// if it differs from the published one, and stateRefreshInterval if it equals it.
	mismatchResendInterval = 2 * time.Second
	stateRefreshInterval   = 10 * time.Second
)

// dutyState is the state of the region's orders duty: one instance of the region holds a
// lease and sends orders that bring the engines to their published states.
type dutyState struct {
	holder     *lease.Holder
	planner    *orders.Planner
	reports    map[fleet.EngineID]orders.Report
	sentStates map[fleet.EngineID]sentState
	nextPlan   time.Duration
}

// sentState is the engine state that this home last sent to the duty's candidates.
type sentState struct {
	state       orders.State
	incarnation uint64
	at          time.Duration
}

func (s *dutyState) init(c *Core) {
	s.reports = make(map[fleet.EngineID]orders.Report)
	s.sentStates = make(map[fleet.EngineID]sentState)
	s.holder = lease.New(lease.Config{
		Name:        "duty/orders/" + string(c.cfg.Region),
		Self:        string(c.cfg.Instance) + "/" + strconv.FormatUint(c.cfg.Incarnation, 36),
		TTL:         dutyTTL,
		Drift:       dutyDrift,
		MaxSendTime: maxOrderSendTime,
		RetryMin:    200 * time.Millisecond,
		RetryMax:    5 * time.Second,
		CallTimeout: time.Second,
	}, c.rng)
}

// configureDuties applies published limits. Each region has its own duty holder, so the fleet's
// budget of weight loads is divided among the regions by their numbers of engines.
func (c *Core) configureDuties() {
	engineCount := len(c.engines)
	if engineCount == 0 {
		return
	}
	share := float64(len(c.regionEngines())) / float64(engineCount)
	c.duties.planner = orders.New(orders.Config{
		BudgetRate:       c.snapshot.Limits.WeightLoadsPerSecond * share,
		BudgetBurst:      1,
		MaxChangingShare: c.snapshot.Limits.MaxPoolChange,
		ReportLag:        maxStateAge,
		RetryMin:         5 * time.Second,
		RetryMax:         time.Minute,
	})
}

// declaresState reports whether a service's files declare a state that its engines should have.
func declaresState(s *config.Service) bool {
	return s.Kind == config.KindChat && (s.Version != "" || len(s.Adapters) > 0 || s.Role != "")
}

func desiredState(s *config.Service) orders.State {
	return orders.State{Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: s.Role}
}

// shouldCompeteForDuty reports whether this instance is a candidate for the duty, does not drain, and
// has engines in its region whose state is declared.
func (c *Core) shouldCompeteForDuty() bool {
	if c.drain.active || c.snapshot == nil || !c.regionDeclaresState() {
		return false
	}
	return slices.Contains(c.topInstances("orders", dutyCandidates), c.cfg.Instance)
}

func (c *Core) regionDeclaresState() bool {
	for _, engine := range c.engines {
		if engine.Region == c.cfg.Region && declaresState(engine.service) {
			return true
		}
	}
	return false
}

func (c *Core) tickDuties() {
	if at, ok := c.duties.holder.Next(); ok && c.mono() >= at {
		c.applyLeaseEffects(c.duties.holder.Step(c.mono(), lease.Tick{}))
	}
	if c.mono() < c.duties.nextPlan {
		return
	}
	c.duties.nextPlan = c.mono() + planInterval
	c.applyLeaseEffects(c.duties.holder.Step(c.mono(), lease.Want{Duty: c.shouldCompeteForDuty()}))
	c.planOrders()
}

// releaseDuties releases the duty's lease at the start of a drain.
func (c *Core) releaseDuties() {
	c.applyLeaseEffects(c.duties.holder.Step(c.mono(), lease.Want{Duty: false}))
}

// applyLeaseEffects turns the effects of the lease's state machine into effects of this step.
func (c *Core) applyLeaseEffects(effects []lease.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case lease.Acquire:
			id := c.operations.add(operation{kind: opLease, call: e.Call})
			c.emit(LeaseAcquire{Op: id, Name: e.Name, Holder: e.Holder, TTL: e.TTL})
		case lease.Release:
			id := c.operations.add(operation{kind: opLeaseRelease, call: e.Call})
			c.emit(LeaseRelease{Op: id, Name: e.Name, Holder: e.Holder, Fence: e.Fence})
		case lease.Gained:
			c.emit(RecordEvent{Kind: "duty_gained", Detail: strconv.FormatUint(e.Fence, 10)})
		case lease.Lost:
			c.emit(RecordEvent{Kind: "duty_lost", Detail: strconv.FormatUint(e.Fence, 10)})
		}
	}
}

// leaseReply passes an answer of the lease service to the lease's state machine.
func (c *Core) leaseReply(ev LeaseReply) {
	o, ok := c.operations.take(ev.Op)
	if !ok {
		return
	}
	result := leaseResult(ev.Err)
	if o.kind == opLeaseRelease {
		c.applyLeaseEffects(c.duties.holder.Step(c.mono(), lease.Released{Call: o.call, Result: result}))
		return
	}
	c.applyLeaseEffects(c.duties.holder.Step(c.mono(), lease.Acquired{
		Call:   o.call,
		Result: result,
		Fence:  ev.Lease.Fence,
		TTL:    ev.Lease.TTL,
	}))
}

// planOrders sends the orders that are due, if this instance holds the duty.
func (c *Core) planOrders() {
	h := c.duties.holder
	if c.duties.planner == nil || !h.Valid(c.mono()) {
		return
	}
	leaseState := orders.LeaseState{Valid: true, Fence: h.Fence(), ActAfter: h.ActAfter()}
	plan := c.duties.planner.Plan(c.mono(), leaseState, c.desiredEngines(), c.duties.reports)
	for _, order := range plan.Orders {
		engine := c.engines[order.Engine]
		c.count(CounterOrdersSent, 1)
		c.emit(RecordEvent{Kind: "order_sent", Engine: order.Engine, Detail: order.State.Model + " " + order.State.Version})
		c.emit(SendOrder{
			Target:   engine.target(),
			Fence:    order.Fence,
			Model:    order.State.Model,
			Version:  order.State.Version,
			Adapters: order.State.Adapters,
			Role:     order.State.Role,
			NotAfter: h.Deadline(),
		})
	}
}

// desiredEngines lists the region's engines whose services declare a state, in order.
func (c *Core) desiredEngines() []orders.Desired {
	var list []orders.Desired
	for _, id := range c.regionEngines() {
		engine := c.engines[id]
		if !declaresState(engine.service) {
			continue
		}
		list = append(list, orders.Desired{
			Engine:      id,
			Pool:        engine.service.ID,
			Capacity:    engine.Capacity,
			State:       desiredState(engine.service),
			LoadCost:    1,
			ChecksFence: engine.ChecksFencing,
		})
	}
	return list
}

// reportEngineState sends the state of one of this home's engines to the duty's candidates,
// if it changed or is due for resending.
func (c *Core) reportEngineState(ev EngineReport) {
	engine := c.engines[ev.Engine]
	if engine == nil || !declaresState(engine.service) {
		return
	}
	state := orders.State{Model: ev.Model, Version: ev.Version, Adapters: ev.Adapters, Role: ev.Role}
	last := c.duties.sentStates[ev.Engine]
	changed := last.at == 0 || last.incarnation != ev.Incarnation || !last.state.Equal(state)
	wait := stateRefreshInterval
	if !state.Equal(desiredState(engine.service)) {
		wait = mismatchResendInterval
	}
	if !changed && c.mono()-last.at < wait {
		return
	}
	c.duties.sentStates[ev.Engine] = sentState{state: state, incarnation: ev.Incarnation, at: c.mono()}
	for _, id := range c.topInstances("orders", dutyCandidates) {
		c.send(id, &wire.EngineState{
			Engine:      ev.Engine,
			Incarnation: ev.Incarnation,
			Model:       ev.Model,
			Version:     ev.Version,
			Adapters:    ev.Adapters,
			Role:        ev.Role,
		})
	}
}

func (c *Core) engineStateReceived(m *wire.EngineState) {
	c.duties.reports[m.Engine] = orders.Report{
		State: orders.State{Model: m.Model, Version: m.Version, Adapters: m.Adapters, Role: m.Role},
		Ready: true,
		At:    c.mono() - maxStateAge,
	}
}

// orderReply counts orders that an engine refused as stale. A change of state is confirmed
// by the engine's next report, not by this answer.
func (c *Core) orderReply(ev OrderReply) {
	if ev.Stale {
		c.count(CounterOrdersStale, 1)
		c.emit(RecordEvent{Kind: "order_refused", Engine: ev.Engine, Detail: "stale fencing number " + strconv.FormatUint(ev.Fence, 10)})
	}
}

func leaseResult(err error) lease.Result {
	switch {
	case err == nil:
		return lease.OK
	case errors.Is(err, platform.ErrConflict):
		return lease.Held
	}
	return lease.Failed
}
