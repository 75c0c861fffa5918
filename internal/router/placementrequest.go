package router

import (
	"slices"

	"github.com/bilberrywell/bilberrywell/placement"
)

// placementRequest describes a request for the choice of an engine.
func (r *Router) placementRequest(c *call) placement.Request {
	request := placement.Request{
		DataCentre:          r.cfg.DataCentre,
		Exclude:             slices.Concat(r.excludedTries(c), c.deniedEngines),
		AvoidAsking:         c.asks >= maxAsks,
		AvoidRecentlyPaused: !c.route.Repeatable(),
		AvoidLost:           c.running,
		Begins:              c.route.ResumableStream(),
	}
	if c.route.Affinity {
		request.Key = uint64(c.Prompt)
	}
	if c.origin != nil && c.origin.Service == c.service {
		request.OnlyVersion = &c.origin.Version
	}
	r.setForecast(c, &request)
	return request
}
