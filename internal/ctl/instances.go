package ctl

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/iter"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/platform"
)

const (
	// maxParallelCalls bounds the open connections when there are hundreds of instances.
	maxParallelCalls = 32
	// instanceTimeout bounds one admin call, so that an instance that does not answer does not delay
	// the others.
	instanceTimeout = 2 * time.Second
	// timelineTimeout bounds the read of one instance's whole time line, which may consist of several
	// pages of some megabytes each.
	timelineTimeout = 30 * time.Second
)

// listInstances returns the platform's list of instances, sorted by ID.
func (c *invocation) listInstances(ctx context.Context) ([]platform.Instance, error) {
	if err := c.connectStore(); err != nil {
		return nil, err
	}
	list, err := c.directory.Instances(ctx)
	if err != nil {
		return nil, oops.In("ctl").Wrapf(err, "the list of instances cannot be read")
	}
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

// mapInstances calls f for each instance in parallel and returns the results in the order of the
// list. The context of each call ends after instanceTimeout.
func mapInstances[T any](ctx context.Context, list []platform.Instance, f func(context.Context, platform.Instance) T) []T {
	return mapInstancesWithin(ctx, instanceTimeout, list, f)
}

// mapInstancesWithin is mapInstances with the given time limit for each call of f.
func mapInstancesWithin[T any](ctx context.Context, limit time.Duration, list []platform.Instance, f func(context.Context, platform.Instance) T) []T {
	mapper := iter.Mapper[platform.Instance, T]{MaxGoroutines: maxParallelCalls}
	return mapper.Map(list, func(i *platform.Instance) T {
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return f(bounded, *i)
	})
}

type instanceOutput struct {
	ID      fleet.InstanceID `json:"id"`
	Leaving bool             `json:"leaving"`
	// Status is nil if the instance could not be reached; Error says why.
	Status *adminapi.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

type statusOutput struct {
	// Version is the published version, or zero if it cannot be read.
	Version   uint64           `json:"version"`
	PublishID string           `json:"publish_id"`
	Publisher string           `json:"publisher"`
	Instances []instanceOutput `json:"instances"`
	// SameVersion tells that every live instance answered and that all have the same version.
	SameVersion bool `json:"same_version"`
	// Versions maps each version to the live instances that reported it.
	Versions map[uint64][]fleet.InstanceID `json:"versions"`
}

func (c *invocation) status(ctx context.Context, _ []string) error {
	client, err := c.adminClient()
	if err != nil {
		return err
	}
	list, err := c.listInstances(ctx)
	if err != nil {
		return err
	}
	head, err := c.readHead(ctx)
	if err != nil {
		c.warn("the published version cannot be read: %v", err)
	}
	out := statusOutput{Version: head.Version, PublishID: head.PublishID, Publisher: head.Publisher}
	out.Instances = mapInstances(ctx, list, func(ctx context.Context, i platform.Instance) instanceOutput {
		status, err := client.Status(ctx, i.AdminAddr)
		if err != nil {
			return instanceOutput{ID: i.ID, Leaving: i.Leaving, Error: err.Error()}
		}
		return instanceOutput{ID: i.ID, Leaving: i.Leaving, Status: &status}
	})
	out.compareVersions()
	if err := c.print(out, out.text()); err != nil {
		return err
	}
	return out.unreachableError()
}

// compareVersions sets SameVersion and Versions.
func (o *statusOutput) compareVersions() {
	o.Versions = map[uint64][]fleet.InstanceID{}
	answered := true
	for _, i := range o.Instances {
		switch {
		case i.Leaving:
		case i.Status == nil:
			answered = false
		default:
			o.Versions[i.Status.Version] = append(o.Versions[i.Status.Version], i.ID)
		}
	}
	o.SameVersion = answered && len(o.Versions) == 1
}

// versionText returns a sentence on whether all live instances have the same version.
func (o statusOutput) versionText() string {
	var parts []string
	for _, version := range slices.Backward(slices.Sorted(maps.Keys(o.Versions))) {
		ids := o.Versions[version]
		parts = append(parts, fmt.Sprintf("version %d on %d (%s)", version, len(ids), joinNames(ids)))
	}
	switch {
	case o.SameVersion:
		for version, ids := range o.Versions {
			return fmt.Sprintf("all %d live instances have version %d", len(ids), version) + o.notInForceText(version)
		}
	case len(parts) == 0:
		return "no live instance answered"
	case len(parts) == 1:
		return "the live instances that answered have the same version: " + parts[0]
	}
	return "live instances DIFFER: " + strings.Join(parts, ", ")
}

// notInForceText returns a note if the published version is newer than the given one. That state
// lasts if the instances reject the files, for example because the daemons are of a release that is
// older than the files.
func (o statusOutput) notInForceText(version uint64) string {
	if o.Version <= version {
		return ""
	}
	return fmt.Sprintf("; the published version %d is NOT in force, see \"bilberryctl timeline -kind config_rejected\"", o.Version)
}

// maxNames bounds the instances that are listed in a line.
const maxNames = 5

func joinNames(ids []fleet.InstanceID) string {
	var list []string
	for _, id := range ids[:min(maxNames, len(ids))] {
		list = append(list, string(id))
	}
	if len(ids) > maxNames {
		list = append(list, "...")
	}
	return strings.Join(list, ", ")
}

// unreachableError returns an error that lists the live instances without an answer, or nil. With
// JSON output the result already lists them, so the error is printed to standard error only.
func (o statusOutput) unreachableError() error {
	var ids []string
	for _, i := range o.Instances {
		if i.Status == nil && !i.Leaving {
			ids = append(ids, string(i.ID))
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return &printedError{oops.In("ctl").Errorf("no answer from %s", strings.Join(ids, ", "))}
}

func (o statusOutput) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "published: version %d by %s, publish id %s\n%s\n\n", o.Version, o.Publisher, o.PublishID, o.versionText())
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tVERSION\tSTATE\tPEERS\tCONTROL B/S")
	for _, i := range o.Instances {
		if i.Status == nil {
			_, _ = fmt.Fprintf(w, "%s\t-\t-\tno answer\t-\t-\n", i.ID)
			continue
		}
		s := i.Status
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%.0f\n", i.ID, s.DataCentre, s.Version, stateText(s), linkedPeers(s), s.ControlBytesPerSecond)
	}
	_, _ = fmt.Fprintln(w, "\nENGINE\tHOME\tIN FLIGHT\tBOUND\tQUEUED\tSTATE")
	for _, e := range o.engines() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", e.ID, e.Home, e.InFlight, e.Bound, e.Queued, map[bool]string{true: "draining", false: "-"}[e.Draining])
	}
	_ = w.Flush()
	return b.String()
}

func stateText(s *adminapi.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func linkedPeers(s *adminapi.Status) int {
	n := 0
	for _, p := range s.Peers {
		if p.Linked {
			n++
		}
	}
	return n
}

// engines returns the engines as their homes report them. An engine is listed twice if two
// instances consider themselves its home.
func (o statusOutput) engines() []adminapi.Engine {
	var list []adminapi.Engine
	for _, i := range o.Instances {
		if i.Status == nil {
			continue
		}
		for _, e := range i.Status.Engines {
			if e.Home == i.ID {
				list = append(list, e)
			}
		}
	}
	slices.SortFunc(list, func(a, b adminapi.Engine) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Home, b.Home))
	})
	return list
}

func (c *invocation) drain(ctx context.Context, args []string) error {
	client, err := c.adminClient()
	if err != nil {
		return err
	}
	list, err := c.listInstances(ctx)
	if err != nil {
		return err
	}
	for _, i := range list {
		if string(i.ID) != args[0] {
			continue
		}
		if err := client.Drain(ctx, i.AdminAddr); err != nil {
			return err
		}
		return c.print(map[string]string{"draining": args[0]}, args[0]+" drains and exits")
	}
	return oops.In("ctl").Errorf("the platform lists no instance %q", args[0])
}
