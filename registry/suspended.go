package registry

import "github.com/bilberrywell/bilberrywell/fleet"

// IsSuspended reports whether an engine is kept although its registration is missing.
func (r *Registry) IsSuspended(id fleet.EngineID) bool { return r.suspended[id] }
