package core

import (
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

type rateState struct{}

func (s *rateState) init() {}

func (c *Core) configureRates() {}
func (c *Core) tickRates()      {}

func (c *Core) takeRate(r *request) { c.rateTaken(r) }

// rateTaken continues a request that is within its customer's rate.
func (c *Core) rateTaken(r *request) {
	if r.call.NonIdempotent {
		c.startClaim(r)
		return
	}
	c.startAdmission(r)
}
func (c *Core) rateTimedOut(r *request)                           {}
func (c *Core) rateRequested(fleet.InstanceID, *wire.RateRequest) {}
func (c *Core) rateGranted(fleet.InstanceID, *wire.RateGrant)     {}
