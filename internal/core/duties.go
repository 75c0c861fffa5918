package core

import "github.com/bilberrywell/bilberrywell/internal/wire"

type dutyState struct{}

func (s *dutyState) init(*Core) {}

func (c *Core) leaseReply(LeaseReply)                 {}
func (c *Core) orderReply(OrderReply)                 {}
func (c *Core) engineStateReceived(*wire.EngineState) {}
func (c *Core) reportEngineState(EngineReport)        {}
func (c *Core) releaseDuties()                        {}
func (c *Core) tickDuties()                           {}
