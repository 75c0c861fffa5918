package upstream

// AwaitCompanion waits until the companion of the response is open.
func (x *Exchange) AwaitCompanion() { <-x.companion.opened }
