package router

import (
	"github.com/bilberrywell/bilberrywell/fleet"
)

// recordRateLimit records the rate limit that an engine names in a response, or that it names none any
// more.
func (r *Router) recordRateLimit(id fleet.EngineID, report *EngineReport) {
	known, limited := r.rateLimits[id]
	switch {
	case report.RateLimit != nil:
		r.rateLimits[id] = *report.RateLimit
		if !limited || known != *report.RateLimit {
			r.emit(Decision{Kind: "engine_limited", Fields: []any{"engine", id, "rate", *report.RateLimit}})
		}
	case limited && report.Confirmed:
		delete(r.rateLimits, id)
		r.emit(Decision{Kind: "engine_unlimited", Fields: []any{"engine", id}})
	}
}
