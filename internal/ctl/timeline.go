package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/platform"
)

// This file is the only one that handles timeline events. It treats them as raw JSON and
// prints them by instance; package timeline will merge them and write the page.

type timelineAnswer struct {
	instance platform.Instance
	events   adminapi.Events
	err      error
}

func (c *call) timeline(ctx context.Context, _ []string) error {
	if c.html != "" {
		return usageError("-html is not available in this version")
	}
	client, err := c.admin()
	if err != nil {
		return err
	}
	list, err := c.instances(ctx)
	if err != nil {
		return err
	}
	answers := each(ctx, list, func(ctx context.Context, i platform.Instance) timelineAnswer {
		events, err := client.Timeline(ctx, i.AdminAddr, 0)
		return timelineAnswer{i, events, err}
	})
	selected, missing := adminapi.Events{}, []string{}
	for _, a := range answers {
		if a.err != nil {
			missing = append(missing, string(a.instance.ID))
			c.warn("%s: %v", a.instance.ID, a.err)
			continue
		}
		selected = append(selected, c.selectEvents(a.events)...)
	}
	if err := c.print(selected, lines(selected)); err != nil {
		return err
	}
	if len(missing) > 0 {
		return &printedError{oops.In("ctl").Errorf("events of %s are missing", strings.Join(missing, ", "))}
	}
	return nil
}

// selectEvents returns the events whose fields have the values of the flags.
func (c *call) selectEvents(events adminapi.Events) adminapi.Events {
	var selected adminapi.Events
	for _, event := range events {
		var fields map[string]any
		if json.Unmarshal(event, &fields) == nil && c.selects(fields) {
			selected = append(selected, event)
		}
	}
	return selected
}

func (c *call) selects(fields map[string]any) bool {
	for name, want := range map[string]string{"request": c.request, "chat": c.chat, "engine": c.engine, "kind": c.kind} {
		if want != "" && fmt.Sprint(fields[name]) != want {
			return false
		}
	}
	return true
}

func lines(events adminapi.Events) string {
	var b strings.Builder
	for _, event := range events {
		b.Write(event)
		b.WriteByte('\n')
	}
	return b.String()
}
