package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/iter"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/revision"
)

const (
	// parallelCalls bounds open connections while hundreds of instances are asked.
	parallelCalls = 32
	// instanceTimeout bounds one admin call, so that a silent instance does not hold up the rest.
	instanceTimeout = 2 * time.Second
	// pollInterval is the pause between rounds of -wait.
	pollInterval = 250 * time.Millisecond
)

// instances returns the platform's list sorted by ID.
func (c *call) instances(ctx context.Context) ([]platform.Instance, error) {
	if err := c.connect(); err != nil {
		return nil, err
	}
	list, err := c.directory.Instances(ctx)
	if err != nil {
		return nil, oops.In("ctl").Wrapf(err, "the list of instances cannot be read")
	}
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

// each calls f for each instance in parallel and returns the results in order.
func each[T any](ctx context.Context, list []platform.Instance, f func(context.Context, platform.Instance) T) []T {
	mapper := iter.Mapper[platform.Instance, T]{MaxGoroutines: parallelCalls}
	return mapper.Map(list, func(i *platform.Instance) T {
		bounded, cancel := context.WithTimeout(ctx, instanceTimeout)
		defer cancel()
		return f(bounded, *i)
	})
}

// handOver gives an accepted bundle to the first instance that takes it. A failure is only a
// warning, because watchers learn of the version from the platform.
func (d *driver) handOver(ctx context.Context, m revision.Manifest) string {
	client, err := d.admin()
	if err != nil {
		d.warn("the bundle was not handed to an instance: %v", err)
		return ""
	}
	list, err := d.instances(ctx)
	if err == nil {
		err = d.fetch(ctx, m)
	}
	if err != nil {
		d.warn("the bundle was not handed to an instance: %v", err)
		return ""
	}
	request := adminapi.ConfigRequest{Manifest: m.Encode(), Files: map[string][]byte{}}
	for _, digest := range m.Files {
		request.Files[digest] = d.blobs[digest]
	}
	for _, i := range list {
		if !i.Leaving && d.offer(ctx, client, i, request, m.Version) {
			return string(i.ID)
		}
	}
	d.warn("no instance took the bundle; the fleet learns of it from the platform")
	return ""
}

func (d *driver) offer(ctx context.Context, client *adminapi.Client, i platform.Instance, request adminapi.ConfigRequest, version uint64) bool {
	bounded, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	answer, err := client.Config(bounded, i.AdminAddr, request)
	if err != nil {
		d.warn("%s: %v", i.ID, err)
		return false
	}
	if answer.Version < version {
		d.warn("%s: %s %s", i.ID, answer.Outcome, answer.Error)
	}
	return answer.Version >= version
}

// waitInForce polls until every live instance has the version or ctx ends. It returns the
// number of instances that have it and those that lack it. The list is read in each round,
// because instances join and leave meanwhile.
func (c *call) waitInForce(ctx context.Context, version uint64) (int, []string, error) {
	client, err := c.admin()
	if err != nil {
		return 0, nil, err
	}
	reached := map[fleet.InstanceID]bool{}
	lagging := []string{"any instance: the list of instances cannot be read"}
	for {
		if list, err := c.instances(ctx); err == nil {
			if lagging = lag(ctx, client, list, version, reached); len(lagging) == 0 {
				return len(reached), nil, nil
			}
		}
		if ctx.Err() != nil {
			return len(reached), lagging, nil
		}
		c.Sleep(ctx, pollInterval)
	}
}

// lag returns the live instances below the version and records those that have it.
func lag(ctx context.Context, client *adminapi.Client, list []platform.Instance, version uint64, reached map[fleet.InstanceID]bool) []string {
	var open []platform.Instance
	for _, i := range list {
		if !i.Leaving && !reached[i.ID] {
			open = append(open, i)
		}
	}
	inForce := each(ctx, open, func(ctx context.Context, i platform.Instance) bool {
		status, err := client.Status(ctx, i.AdminAddr)
		return err == nil && status.Version >= version
	})
	var lagging []string
	for n, ok := range inForce {
		if ok {
			reached[open[n].ID] = true
		} else {
			lagging = append(lagging, string(open[n].ID))
		}
	}
	return lagging
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
}

func (c *call) status(ctx context.Context, _ []string) error {
	client, err := c.admin()
	if err != nil {
		return err
	}
	list, err := c.instances(ctx)
	if err != nil {
		return err
	}
	head, err := c.readHead(ctx)
	if err != nil {
		c.warn("the published version cannot be read: %v", err)
	}
	out := statusOutput{Version: head.Version, PublishID: head.PublishID, Publisher: head.Publisher}
	out.Instances = each(ctx, list, func(ctx context.Context, i platform.Instance) instanceOutput {
		status, err := client.Status(ctx, i.AdminAddr)
		if err != nil {
			return instanceOutput{ID: i.ID, Leaving: i.Leaving, Error: err.Error()}
		}
		return instanceOutput{ID: i.ID, Leaving: i.Leaving, Status: &status}
	})
	if err := c.print(out, out.text()); err != nil {
		return err
	}
	return out.unreachable()
}

// unreachable reports live instances without an answer. With JSON output the result already
// names them, so the error goes to standard error only.
func (o statusOutput) unreachable() error {
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
	fmt.Fprintf(&b, "published: version %d by %s, publish id %s\n\n", o.Version, o.Publisher, o.PublishID)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tVERSION\tSTATE\tPEERS\tCONTROL B/S")
	for _, i := range o.Instances {
		if i.Status == nil {
			_, _ = fmt.Fprintf(w, "%s\t-\t-\tno answer\t-\t-\n", i.ID)
			continue
		}
		s := i.Status
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%.0f\n", i.ID, s.DataCentre, s.Version, state(s), linked(s), s.ControlBytesPerSecond)
	}
	_, _ = fmt.Fprintln(w, "\nENGINE\tHOME\tIN FLIGHT\tBOUND\tQUEUED\tSTATE")
	for _, e := range o.engines() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", e.ID, e.Home, e.InFlight, e.Bound, e.Queued, map[bool]string{true: "draining", false: "-"}[e.Draining])
	}
	_ = w.Flush()
	return b.String()
}

func state(s *adminapi.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func linked(s *adminapi.Status) int {
	n := 0
	for _, p := range s.Peers {
		if p.Linked {
			n++
		}
	}
	return n
}

// engines returns each engine as its home reports it. Two rows for one engine mean that two
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

func (c *call) drain(ctx context.Context, args []string) error {
	client, err := c.admin()
	if err != nil {
		return err
	}
	list, err := c.instances(ctx)
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
