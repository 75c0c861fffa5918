package membership

import "github.com/bilberrywell/bilberrywell/fleet"

// Epoch returns a number that rises with each Change of the view.
func (v *View) Epoch() uint64 { return v.epoch }

// Live returns the live instances of a region in order of ID, draining ones included.
func (v *View) Live(region fleet.Region) []Instance {
	return v.collect(func(r *record) bool {
		return r.Region == region && r.state == stateLive
	})
}

// HomeCandidates returns the instances of a region that may take homes and duties: live and not
// draining.
func (v *View) HomeCandidates(region fleet.Region) []Instance {
	return v.collect(func(r *record) bool {
		return r.Region == region && r.state == stateLive && !r.draining
	})
}

// Peers returns the instances to pass to LinkPlan: all known ones of this instance's region, since a
// silent one is reached again only by dialing it, and the live ones of other regions.
func (v *View) Peers() []Instance {
	return v.collect(func(r *record) bool {
		return r.ID != v.self && (r.Region == v.region || r.state == stateLive)
	})
}

// Incarnation returns the current incarnation of an instance, and false if no heartbeat of the
// instance was received.
func (v *View) Incarnation(id fleet.InstanceID) (uint64, bool) {
	r := v.records[id]
	if r == nil || (!r.heartbeatReceived && id != v.self) {
		return 0, false
	}
	return r.incarnation, true
}

// collect returns the instances whose records keep selects, in order of ID.
func (v *View) collect(keep func(*record) bool) []Instance {
	var list []Instance
	for _, id := range v.sortedIDs {
		if r := v.records[id]; keep(r) {
			list = append(list, r.Instance)
		}
	}
	return list
}

// Known reports whether an instance is in the platform's list, or sent a heartbeat and is not gone.
func (v *View) Known(id fleet.InstanceID) bool {
	r := v.records[id]
	return r != nil && (r.listed || r.state != stateUnknown)
}
