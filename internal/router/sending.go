package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/notice"
	"github.com/bilberrywell/bilberrywell/placement"
)

// attempt is the state of an attempt at an engine.
type attempt struct {
	engine fleet.EngineID
	// engineRun is the engine's process as it was registered when the attempt was sent.
	engineRun notice.Run
	// version is that of the engine's software then.
	version      fleet.EngineVersion
	choiceReason placement.Reason
	sentAt       time.Duration
	// try is the number of the attempt, from 1.
	try int
	// running reports whether the attempt was sent and has not ended.
	running bool
	// pool is the pool that counts the attempt. It may have been replaced since.
	pool *servicePool
	// cacheFetch reports whether the engine was asked to fetch the prompt's cache from another one.
	cacheFetch bool
	reading    callReading
	// reported reports whether what the engine says of itself in the response was recorded. At the end of a
	// long stream it is out of date.
	reported bool
	// attemptCounted reports whether the attempt was counted in the retry budget.
	attemptCounted bool
	// counted is set while the attempt counts among the running requests of its customer.
	counted bool
}

// attemptAt returns the attempt under way at an engine, or nil.
func (c *call) attemptAt(engine fleet.EngineID) *attempt {
	switch {
	case c.running && c.engine == engine:
		return &c.attempt
	case c.beside != nil && c.beside.engine == engine:
		return c.beside
	}
	return nil
}

// underWay returns the number of attempts of a request that were sent and have not ended.
func (c *call) underWay() int {
	n := 0
	if c.running {
		n++
	}
	if c.beside != nil {
		n++
	}
	return n
}

// send sends a request, of which no attempt is under way, to an engine.
func (r *Router) send(c *call, pool *servicePool, choice placement.Choice) {
	r.begin(c, pool, choice, false)
}

// sendBeside sends a request to another engine while the engine of its attempt is silent. That attempt goes on until
// the other engine has begun to respond.
func (r *Router) sendBeside(c *call, pool *servicePool, choice placement.Choice) {
	silent := c.attempt
	c.beside = &silent
	r.begin(c, pool, choice, true)
	sent := c.attempt
	c.attempt, c.beside = silent, &sent
}

// begin counts and sends an attempt.
func (r *Router) begin(c *call, pool *servicePool, choice placement.Choice, beside bool) {
	registered, _ := r.registry.Get(choice.Engine.ID)
	c.attempt = attempt{
		engine: choice.Engine.ID, engineRun: runOf(registered), version: choice.Engine.Version, choiceReason: choice.Reason, sentAt: r.now, running: true, pool: pool,
		cacheFetch: choice.FetchFrom != "", attemptCounted: c.retryCounted,
	}
	c.retryCounted = false
	c.try = len(c.triedEngines) + c.underWay()
	r.countStarted(c, pool)
	pool.engines.Started(c.engine)
	pool.engines.TakeToken(r.now, c.engine)
	r.readingStarted(c, pool, choice)
	header, gap := r.stallTimeouts(c, pool)
	r.emit(Send{
		HeaderTimeout: header,
		GapTimeout:    gap,
		Call:          c.ID,
		Engine:        choice.Engine,
		Route:         c.route,
		Customer:      c.customer,
		Urgency:       r.engineUrgency(c),
		FetchFrom:     choice.FetchFrom,
		IdleShare:     r.idleShare(c.service),
		Deadline:      c.deadline,
		HoldFailure:   r.mayRetry(c),
		Resume:        c.partDelivered,
		Beside:        beside,

		ReportFirstEvent: c.reportsFirstEvent() || c.route.ResumableStream(),
	})
	fields := []any{"engine", c.engine, "reason", choice.Reason.String(), "load", choice.Load,
		"mean", choice.Mean, "try", c.try, "config", r.table.Version, "fetch", choice.FetchFrom}
	if beside {
		fields = append(fields, "beside", c.beside.engine)
	}
	r.logDecision(c, "attempt_sent", append(fields, c.reading.logFields()...)...)
}
