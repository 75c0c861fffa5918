package ctl

import (
	"context"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/platform"
)

const (
	// pollInterval is the pause between rounds of -wait.
	pollInterval = 250 * time.Millisecond
	// defaultWait is the default of -wait-timeout. It leaves room above the target of 4 s for
	// instances that are being replaced.
	defaultWait = 30 * time.Second
)

// waitInForce polls until every live instance has the version, -wait-timeout has passed or
// ctx ends. It returns the number of instances that have it and those that lack it. The list
// is read in each round, because instances join and leave meanwhile.
func (c *call) waitInForce(ctx context.Context, version uint64) (int, []string, error) {
	client, err := c.admin()
	if err != nil {
		return 0, nil, err
	}
	deadline := c.Now().Add(c.waitTimeout)
	reached := map[fleet.InstanceID]bool{}
	lagging := []string{"any instance: the list of instances cannot be read"}
	for {
		bounded, cancel := context.WithTimeout(ctx, deadline.Sub(c.Now()))
		if list, err := c.instances(bounded); err == nil {
			lagging = lag(bounded, client, list, version, reached)
		}
		cancel()
		if len(lagging) == 0 {
			return len(reached), nil, nil
		}
		if ctx.Err() != nil || !c.Now().Add(pollInterval).Before(deadline) {
			return len(reached), lagging, nil
		}
		c.Sleep(ctx, pollInterval)
	}
}

// lag returns the live instances below the version and records those that have it.
func lag(ctx context.Context, client *adminapi.Client, list []platform.Instance, version uint64, reached map[fleet.InstanceID]bool) []string {
	var open []platform.Instance
	for _, i := range live(list) {
		if !reached[i.ID] {
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
