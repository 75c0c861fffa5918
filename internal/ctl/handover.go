package ctl

import (
	"context"
	"strings"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/iter"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/revision"
)

// handOverCopies is the number of instances that take an accepted bundle: a single one that
// dies while the platform is down would lose the publish.
const handOverCopies = 3

// handOver gives an accepted bundle to handOverCopies instances, in different data centres
// where possible, and returns those that took it. Failures are only warnings, because
// watchers learn of the version from the platform. The list that was read before the publish
// stands in for one that cannot be read any more.
func (d *driver) handOver(ctx context.Context, m revision.Manifest, earlier []platform.Instance) []fleet.InstanceID {
	taken := []fleet.InstanceID{}
	client, err := d.admin()
	if err != nil {
		d.warn("the bundle was not handed to instances: %v", err)
		return taken
	}
	list, err := d.instances(ctx)
	if err != nil {
		list = earlier
		d.warn("%v; the list from before the publish is used", err)
	}
	request, err := d.bundle(ctx, m)
	if err != nil {
		d.warn("the bundle was not handed to instances: %v", err)
		return taken
	}
	open := live(list)
	wanted := min(handOverCopies, len(open))
	copies := map[fleet.DataCentre]int{}
	for len(taken) < wanted && len(open) > 0 {
		var wave []platform.Instance
		wave, open = spread(open, wanted-len(taken), copies)
		taken = append(taken, d.offerAll(ctx, client, wave, request, m.Version, copies)...)
	}
	if len(taken) < max(1, wanted) {
		d.warn("%d instances took the bundle instead of %d; publish the same files again until \"bilberryctl status\" shows version %d on all", len(taken), handOverCopies, m.Version)
	}
	return taken
}

// bundle returns the hand-over of a manifest with all its files.
func (d *driver) bundle(ctx context.Context, m revision.Manifest) (adminapi.ConfigRequest, error) {
	request := adminapi.ConfigRequest{Manifest: m.Encode(), Files: map[string][]byte{}}
	if err := d.fetch(ctx, m); err != nil {
		return request, oops.In("ctl").Wrapf(err, "a file cannot be read")
	}
	for _, digest := range m.Files {
		request.Files[digest] = d.blobs[digest]
	}
	return request, nil
}

func live(list []platform.Instance) []platform.Instance {
	var instances []platform.Instance
	for _, i := range list {
		if !i.Leaving {
			instances = append(instances, i)
		}
	}
	return instances
}

// spread takes n instances from open, each from a data centre with the fewest copies, and
// counts them in copies. It returns those taken and the others.
func spread(open []platform.Instance, n int, copies map[fleet.DataCentre]int) (wave, rest []platform.Instance) {
	rest = append(rest, open...)
	for len(wave) < n && len(rest) > 0 {
		best := 0
		for i := range rest {
			if copies[rest[i].DataCentre] < copies[rest[best].DataCentre] {
				best = i
			}
		}
		copies[rest[best].DataCentre]++
		wave = append(wave, rest[best])
		rest = append(rest[:best], rest[best+1:]...)
	}
	return wave, rest
}

// offerAll offers the bundle to a wave of instances at the same time, so that silent ones
// cost one timeout together. Those that refuse or don't answer are taken out of copies.
func (d *driver) offerAll(ctx context.Context, client *adminapi.Client, wave []platform.Instance, request adminapi.ConfigRequest, version uint64, copies map[fleet.DataCentre]int) []fleet.InstanceID {
	faults := iter.Map(wave, func(i *platform.Instance) string {
		return offer(ctx, client, *i, request, version)
	})
	var taken []fleet.InstanceID
	for n, i := range wave {
		if faults[n] == "" {
			taken = append(taken, i.ID)
			continue
		}
		copies[i.DataCentre]--
		d.warn("%s: %s", i.ID, faults[n])
	}
	return taken
}

// offer returns why an instance did not take the bundle, or nothing.
func offer(ctx context.Context, client *adminapi.Client, i platform.Instance, request adminapi.ConfigRequest, version uint64) string {
	bounded, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	answer, err := client.SendConfig(bounded, i.AdminAddr, request)
	switch {
	case err != nil:
		return err.Error()
	case answer.Version < version:
		return strings.TrimSpace("the bundle was not taken: " + answer.Outcome + " " + answer.Error)
	}
	return ""
}
