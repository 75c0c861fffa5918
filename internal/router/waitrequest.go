package router

import (
	"math"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/waitqueue"
)

// waitRequest describes a request for the queue.
func (r *Router) waitRequest(c *call) waitqueue.Request {
	stats := r.statsOf(c.route.Name)
	request := waitqueue.Request{
		ID: uint64(c.ID), Group: c.service, Customer: c.customer, Urgency: c.rank(), EarlyRetry: c.wait.earlyRetry,
		Arrived: c.Arrived, Since: r.now, Bytes: c.BodyBytes,
		Home:             r.homeOf(c),
		ServableUntil:    r.servableUntil(c, stats),
		MeetsTargetUntil: math.MaxInt64,
	}
	if c.route.TargetLatency > 0 {
		request.MeetsTargetUntil = c.Arrived + c.route.TargetLatency - time.Duration(targetMargin*float64(stats.meanLatency))
	}
	return request
}

// servableUntil returns until when a waiting request that is sent can still be served: before its deadline, and with its
// first event before its caller gives up.
func (r *Router) servableUntil(c *call, stats *routeStats) time.Duration {
	until := c.deadline - max(stats.served.usual(), waitMargin)
	if c.route.CallerPatience > 0 {
		until = min(until, c.Arrived+c.route.CallerPatience-max(stats.meanLatency, waitMargin))
	}
	return until
}

// homeOf returns the engine that is likely to have the prompt of a request cached, or empty without a prompt and in large
// fleets, where few waiting requests share one.
func (r *Router) homeOf(c *call) fleet.EngineID {
	if pool := r.pools[c.service]; pool != nil && c.hasPrompt() && !r.inGrid() {
		return pool.engines.Home(r.now, r.placementRequest(c))
	}
	return ""
}
