package crashcause

import (
	"maps"
	"slices"
)

// CloneForCheck returns a copy whose Check leaves the detector unchanged. The copy shares the evidence, which Check only
// reads, and must not be used for anything else.
func (d *Detector) CloneForCheck() *Detector {
	c := *d
	c.refusals, c.doubtful = maps.Clone(d.refusals), maps.Clone(d.doubtful)
	c.newlyQuarantined = slices.Clone(d.newlyQuarantined)
	return &c
}
