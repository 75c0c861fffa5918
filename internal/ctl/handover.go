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

// handOverCopies is the number of instances to which an accepted bundle is handed over. With a
// single one, the publish would be lost if that instance crashed while the platform is down.
const handOverCopies = 3

// handOver sends an accepted bundle to handOverCopies instances, in different data centres where
// possible, and returns those that adopted it. Failures are only warnings, because the instances
// also read the version from the platform, which they watch. fallback is the list of instances
// from before the publish; it is used if the list cannot be read any more.
func (d *driver) handOver(ctx context.Context, m revision.Manifest, fallback []platform.Instance) []fleet.InstanceID {
	adopters := []fleet.InstanceID{}
	client, err := d.adminClient()
	if err != nil {
		d.warn("the bundle was not handed to instances: %v", err)
		return adopters
	}
	list, err := d.listInstances(ctx)
	if err != nil {
		list = fallback
		d.warn("%v; using the list that was read before the publish", err)
	}
	request, err := d.configRequest(ctx, m)
	if err != nil {
		d.warn("the bundle was not handed to instances: %v", err)
		return adopters
	}
	candidates := liveInstances(list)
	wanted := min(handOverCopies, len(candidates))
	copies := map[fleet.DataCentre]int{}
	for len(adopters) < wanted && len(candidates) > 0 {
		var batch []platform.Instance
		batch, candidates = selectSpread(candidates, wanted-len(adopters), copies)
		adopters = append(adopters, d.offerToBatch(ctx, client, batch, request, m.Version, copies)...)
	}
	if len(adopters) < max(1, wanted) {
		d.warn("%d instances adopted the bundle instead of %d; publish the same files again until \"bilberryctl status\" shows version %d on all", len(adopters), handOverCopies, m.Version)
	}
	return adopters
}

// configRequest returns the request that hands over a manifest with all its files.
func (d *driver) configRequest(ctx context.Context, m revision.Manifest) (adminapi.ConfigRequest, error) {
	request := adminapi.ConfigRequest{Manifest: m.Encode(), Files: map[string][]byte{}}
	if err := d.fetchBlobs(ctx, m); err != nil {
		return request, oops.In("ctl").Wrapf(err, "a published file cannot be read")
	}
	for _, digest := range m.Files {
		request.Files[digest] = d.blobs[digest]
	}
	return request, nil
}

// liveInstances returns the instances that are not leaving.
func liveInstances(list []platform.Instance) []platform.Instance {
	var instances []platform.Instance
	for _, i := range list {
		if !i.Leaving {
			instances = append(instances, i)
		}
	}
	return instances
}

// selectSpread selects up to n of the candidates, each from a data centre with the fewest copies,
// and counts them in copies. It returns the selected instances and the remaining ones.
func selectSpread(candidates []platform.Instance, n int, copies map[fleet.DataCentre]int) (batch, remaining []platform.Instance) {
	remaining = append(remaining, candidates...)
	for len(batch) < n && len(remaining) > 0 {
		fewest := 0
		for i := range remaining {
			if copies[remaining[i].DataCentre] < copies[remaining[fewest].DataCentre] {
				fewest = i
			}
		}
		copies[remaining[fewest].DataCentre]++
		batch = append(batch, remaining[fewest])
		remaining = append(remaining[:fewest], remaining[fewest+1:]...)
	}
	return batch, remaining
}

// offerToBatch offers the bundle to a batch of instances in parallel, so that all instances that
// do not answer cost one timeout together. Instances that refuse or do not answer are subtracted
// from copies. It returns the instances that adopted the bundle.
func (d *driver) offerToBatch(ctx context.Context, client *adminapi.Client, batch []platform.Instance, request adminapi.ConfigRequest, version uint64, copies map[fleet.DataCentre]int) []fleet.InstanceID {
	failures := iter.Map(batch, func(i *platform.Instance) string {
		return offerBundle(ctx, client, *i, request, version)
	})
	var adopters []fleet.InstanceID
	for n, i := range batch {
		if failures[n] == "" {
			adopters = append(adopters, i.ID)
			continue
		}
		copies[i.DataCentre]--
		d.warn("%s: %s", i.ID, failures[n])
	}
	return adopters
}

// offerBundle offers the bundle to an instance. It returns why the instance did not adopt it, or an
// empty string.
func offerBundle(ctx context.Context, client *adminapi.Client, i platform.Instance, request adminapi.ConfigRequest, version uint64) string {
	bounded, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	answer, err := client.SendConfig(bounded, i.AdminAddr, request)
	switch {
	case err != nil:
		return err.Error()
	case answer.Version < version:
		return strings.TrimSpace("the bundle was not adopted: " + answer.Outcome + " " + answer.Error)
	}
	return ""
}
