package ctl

import (
	"context"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/platform"
)

const (
	// pollInterval is the time between two polls of -wait.
	pollInterval = 250 * time.Millisecond
	// defaultWaitTimeout is the default of -wait-timeout. The target for a version to be in force is
	// 4 s; the default is longer to allow for instances that are being replaced.
	defaultWaitTimeout = 30 * time.Second
)

// waitInForce polls until every live instance has the version, -wait-timeout has passed or ctx
// ends. It returns the number of instances that have the version and a list of those that do not.
// It reads the list of instances at each poll, because instances may join and leave meanwhile.
func (c *invocation) waitInForce(ctx context.Context, version uint64) (int, []string, error) {
	client, err := c.adminClient()
	if err != nil {
		return 0, nil, err
	}
	deadline := c.Now().Add(c.waitTimeout)
	reached := map[fleet.InstanceID]bool{}
	// Until the list of instances has been read once, this text takes the place of the instances in
	// a notInForceError.
	lagging := []string{"any instance: the list of instances cannot be read"}
	for {
		bounded, cancel := context.WithTimeout(ctx, deadline.Sub(c.Now()))
		if list, err := c.listInstances(bounded); err == nil {
			lagging = laggingInstances(bounded, client, list, version, reached)
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

// laggingInstances returns the live instances that do not have the version yet, and adds those that
// have it to reached.
func laggingInstances(ctx context.Context, client *adminapi.Client, list []platform.Instance, version uint64, reached map[fleet.InstanceID]bool) []string {
	var pending []platform.Instance
	for _, i := range liveInstances(list) {
		if !reached[i.ID] {
			pending = append(pending, i)
		}
	}
	inForce := mapInstances(ctx, pending, func(ctx context.Context, i platform.Instance) bool {
		status, err := client.Status(ctx, i.AdminAddr)
		return err == nil && status.Version >= version
	})
	var lagging []string
	for n, ok := range inForce {
		if ok {
			reached[pending[n].ID] = true
		} else {
			lagging = append(lagging, string(pending[n].ID))
		}
	}
	return lagging
}
