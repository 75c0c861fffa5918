package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
)

// LinksPerRegion is the number of links that an instance plans to each other region. With three, a
// region stays reachable when two of the chosen instances fail at the same time.
const LinksPerRegion = 3

// Link is a planned link to another instance.
type Link struct {
	Instance
	// Dial is set if this instance opens the connection.
	Dial bool
}

// LinkPlan returns the links of self in order of ID: to every instance of its region, and to
// LinksPerRegion instances of each other region, chosen by rendezvous hashing. Of two instances that
// plan the same link, the one with the smaller ID dials. A link that only self plans is dialed by
// self, so that no link depends on the other side's view. Instances also accept links that only the
// other side plans.
func LinkPlan(self Instance, instances []Instance) []Link {
	regions := map[fleet.Region][]Instance{self.Region: {self}}
	for _, instance := range instances {
		if instance.ID != self.ID {
			regions[instance.Region] = append(regions[instance.Region], instance)
		}
	}
	localMembers := regions[self.Region]
	var plan []Link
	for region, members := range regions {
		if region == self.Region {
			plan = append(plan, meshLinks(self, members)...)
			continue
		}
		plan = append(plan, remoteLinks(self, localMembers, members)...)
	}
	slices.SortFunc(plan, func(a, b Link) int { return cmp.Compare(a.ID, b.ID) })
	return plan
}

// meshLinks returns the links to all members of self's region.
func meshLinks(self Instance, members []Instance) []Link {
	var plan []Link
	for _, peer := range members {
		if peer.ID != self.ID {
			plan = append(plan, Link{Instance: peer, Dial: self.ID < peer.ID})
		}
	}
	return plan
}

// remoteLinks returns the links of self to another region with the given members. localMembers are the
// instances of self's region, by which self knows which links the other region plans.
func remoteLinks(self Instance, localMembers, members []Instance) []Link {
	var plan []Link
	for _, peer := range chooseLinks(self.ID, members) {
		mutual := slices.ContainsFunc(chooseLinks(peer.ID, localMembers), func(i Instance) bool { return i.ID == self.ID })
		plan = append(plan, Link{Instance: peer, Dial: !mutual || self.ID < peer.ID})
	}
	return plan
}

// chooseLinks returns the members of another region to which an instance plans links, in descending
// order of score.
func chooseLinks(id fleet.InstanceID, members []Instance) []Instance {
	candidates := make([]affinity.Candidate, len(members))
	for i, m := range members {
		candidates[i] = affinity.Candidate{ID: string(m.ID), Weight: 1}
	}
	order := affinity.Rank(fleet.Hash("link", string(id)), candidates)
	chosen := make([]Instance, 0, LinksPerRegion)
	for _, i := range order[:min(LinksPerRegion, len(order))] {
		chosen = append(chosen, members[i])
	}
	return chosen
}

// heartbeatBudgetDivisor is the divisor of the control budget for heartbeats, which may use one third
// of it.
const heartbeatBudgetDivisor = 3

// HeartbeatInterval returns the shortest interval, in whole 100 ms and at least
// MinInterval, at which one heartbeat of bytesPerHeartbeat bytes on each link uses at most
// a third of budget, in bytes per second.
func HeartbeatInterval(links, bytesPerHeartbeat, budget int) time.Duration {
	if links <= 0 || bytesPerHeartbeat <= 0 || budget <= 0 {
		return MinInterval
	}
	const step = 100 * time.Millisecond
	perSecond := int64(time.Second / step)
	bytes := int64(links) * int64(bytesPerHeartbeat) * heartbeatBudgetDivisor * perSecond
	steps := (bytes + int64(budget) - 1) / int64(budget)
	return max(MinInterval, time.Duration(steps)*step)
}
