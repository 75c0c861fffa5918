package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/routing"
)

// longPromptTokens is the length from which a prompt counts as long in metrics. It decides nothing.
const longPromptTokens = 4096

// callReading is the reading of the prompt of a request's attempt. It is zero for requests without token counts.
type callReading struct {
	placement.Reading
	// pending reports whether the tokens are counted as unread.
	pending bool
	// firstEventAt is when the first event arrived; 0 before.
	firstEventAt time.Duration
}

// FirstEventReceived reports the first event of the stream of an attempt. It is reported if Send asked for it.
type FirstEventReceived struct {
	Call CallID
	// Engine is the engine of the attempt.
	Engine fleet.EngineID
}

// FirstEventDone counts the first event of a request that names its tokens.
type FirstEventDone struct {
	// LongPrompt reports whether the prompt is long, and Waited is the time since the request's arrival.
	LongPrompt bool
	Waited     time.Duration
}

// ForecastDone compares a forecast with what happened.
type ForecastDone struct {
	// Of is what was forecast: "first_event" or "end". Late is by how much later it happened, negative if earlier.
	Of   string
	Late time.Duration
}

func (FirstEventReceived) event() {}
func (FirstEventDone) effect()    {}
func (ForecastDone) effect()      {}

// setForecast adds to a request for an engine what the forecast needs.
func (r *Router) setForecast(c *call, request *placement.Request) {
	request.Tokens = c.Tokens
	if c.route.TargetLatency > 0 {
		request.TargetLeft = max(c.Arrived+c.route.TargetLatency-r.now, 0)
	}
}

// readingStarted counts the tokens of the prompt that the engine of a new attempt is to read.
func (r *Router) readingStarted(c *call, pool *servicePool, choice placement.Choice) {
	c.reading = callReading{}
	if c.Tokens.Prompt == 0 {
		return
	}
	c.reading = callReading{Reading: choice.Reading, pending: true}
	pool.engines.ReadingStarted(r.now, c.engine, c.readingKey(), c.reading.Tokens)
}

// readingKey returns the key of the shared part of the prompt, or 0 if it is not used.
func (c *call) readingKey() uint64 {
	if !c.route.Affinity {
		return 0
	}
	return uint64(c.Prompt)
}

// logFields returns the fields of a reading for the log; none without token counts.
func (c *callReading) logFields() []any {
	switch {
	case !c.pending:
		return nil
	case !c.Known:
		return []any{"reads", c.Tokens, "unread", c.State.Unread}
	}
	return []any{"reads", c.Tokens, "unread", c.State.Unread, "expected_ms", c.Expected.FirstEvent.Milliseconds()}
}

// readingDone ends the count of the tokens that the engine of an attempt is to read.
func (c *call) readingDone() {
	if c.reading.pending {
		c.pool.engines.ReadingEnded(c.sentAt, c.engine, c.reading.Tokens)
	}
	c.reading.pending = false
}

// firstEventReceived learns from the time to the first event of an attempt. A resumed stream has read more than its
// prompt, and its caller does not wait for the first event.
func (r *Router) firstEventReceived(ev FirstEventReceived) {
	c := r.calls[ev.Call]
	if c == nil || !c.running {
		return
	}
	if sender := c.attemptAt(ev.Engine); sender != nil {
		r.streamBegan(c, sender.version)
	}
	if !c.reading.pending {
		return
	}
	c.readingDone()
	if c.partDelivered || c.Resumes {
		return
	}
	c.reading.firstEventAt = r.now
	took := r.now - c.sentAt
	r.emit(FirstEventDone{LongPrompt: c.Tokens.Prompt >= longPromptTokens, Waited: r.now - c.Arrived})
	if c.reading.Known {
		r.emit(ForecastDone{Of: "first_event", Late: took - c.reading.Expected.FirstEvent})
	}
	if !c.cacheFetch {
		// An engine that fetches a cache reads fewer tokens than are counted; how many is not known.
		c.pool.engines.RecordFirstEvent(c.reading.Reading, took)
	}
}

// readingEnded learns from the end of an attempt.
func (r *Router) readingEnded(c *call, o Outcome) {
	if c.reading.pending && o != Completed {
		// A rejected request was not read, and one that was broken off may not have been.
		c.pool.engines.ReadingFailed(c.engine, c.readingKey())
	}
	c.readingDone()
	first := c.reading.firstEventAt
	if first == 0 || o != Completed {
		return
	}
	if c.reading.Known && c.reading.Expected.End > 0 {
		r.emit(ForecastDone{Of: "end", Late: r.now - c.sentAt - c.reading.Expected.End})
	}
	c.pool.engines.RecordEnd(c.reading.Reading, c.Tokens.Output, r.now-first, r.now-c.sentAt)
}

// reportsFirstEvent reports whether the first event of a request's attempt is to be reported.
func (c *call) reportsFirstEvent() bool {
	return c.Tokens.Prompt > 0 && c.route.Kind == routing.Streaming
}

// unreadUnits returns the prompt tokens that engines are to read for this instance, in units of wire.UnreadUnit.
func (r *Router) unreadUnits() map[fleet.EngineTag]int {
	units := make(map[fleet.EngineTag]int)
	for _, pool := range r.pools {
		pool.engines.EachOwnUnread(func(tag fleet.EngineTag, tokens int) { units[tag] += unitsOf(tokens) })
	}
	return units
}

// unitsOf returns a number of tokens in units, rounded up.
func unitsOf(tokens int) int { return (tokens + wire.UnreadUnit - 1) / wire.UnreadUnit }

// packUnread encodes units for a message that carries the counts of running.
func packUnread(running []wire.EngineCount, units map[fleet.EngineTag]int) []byte {
	return wire.PackUnread(running, func(c wire.EngineCount) int { return units[c.Engine] })
}

// eachUnreadLeft calls visit for each pool with the engines of a peer's report and the tokens that an engine of the pool
// can't have read since. The engines may be those of other pools.
func (r *Router) eachUnreadLeft(load reportedLoad, visit func(pool *servicePool, tag fleet.EngineTag, tokens int)) {
	for _, pool := range r.pools {
		read := pool.engines.ReadWithin(r.now - load.receivedAt)
		for _, u := range load.unread {
			if left := u.Count*wire.UnreadUnit - read; left > 0 {
				visit(pool, u.Engine, left)
			}
		}
	}
}

// addUnreadUnits adds the tokens that a peer announced and that are likely to be still unread.
func (r *Router) addUnreadUnits(units map[fleet.EngineTag]int, load reportedLoad) {
	r.eachUnreadLeft(load, func(pool *servicePool, tag fleet.EngineTag, tokens int) {
		if pool.engines.Has(tag) {
			units[tag] += unitsOf(tokens)
		}
	})
}
