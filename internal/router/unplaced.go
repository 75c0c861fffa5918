package router

import (
	"time"

	"github.com/bilberrywell/bilberrywell/placement"
)

// refuseUnplaced refuses a request that no engine may get.
func (r *Router) refuseUnplaced(c *call, pool *servicePool, request placement.Request) {
	if wait, limited := pool.engines.NextToken(r.now, request); limited {
		// Callers return one after the other, since tokens accrue one after the other.
		r.giveUpFor(c, "rate_limited", r.spreadRetry(wait, limitRetrySpread))
		return
	}
	if wait, warming := r.warmUpWait(pool, request); warming {
		r.giveUpFor(c, "warming_up", wait)
		return
	}
	if wait, quiet := pool.engines.NextQuietEnd(r.now, request); quiet {
		r.giveUpFor(c, "engines_quiet", r.spreadRetry(wait, quietRetrySpread))
		return
	}
	if pool.engines.OnlyEvacuated() {
		r.giveUpFor(c, "evacuated", r.spreadRetry(evacuatedRetryAfter, evacuatedRetrySpread))
		return
	}
	r.giveUp(c, "no_engine")
}

// retrySpread is a Retry-After that was drawn at random between two bounds.
type retrySpread struct{ from, to, drawn time.Duration }

// spreadRetry returns a Retry-After from a time on, spread at random over another time.
func (r *Router) spreadRetry(from, over time.Duration) time.Duration {
	r.spread = retrySpread{from, from + over, from + time.Duration(r.rng.Int64N(int64(over)))}
	return r.spread.drawn
}
