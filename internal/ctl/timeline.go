package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/timeline"
)

// chatHexDigits is the number of digits of a chat key in the text output.
const chatHexDigits = 16

// timelineFlags are the flags of the command timeline.
type timelineFlags struct{ request, chat, engine, kind, instance, html string }

func (f *timelineFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.request, "request", "", "only events of this `request`, such as entry-1-17")
	fs.StringVar(&f.chat, "chat", "", "only events of this chat `key`: 16 hex digits as in the text output, or decimal")
	fs.StringVar(&f.engine, "engine", "", "only events of this `engine`")
	fs.StringVar(&f.kind, "kind", "", "only events of this `kind`, such as attempt_started")
	fs.StringVar(&f.instance, "instance", "", "only events of this `instance`")
	fs.StringVar(&f.html, "html", "", "write a page to this `file` instead of printing the events")
}

// filter returns the filter that the flags describe.
func (f *timelineFlags) filter() (timeline.Filter, error) {
	filter := timeline.Filter{
		Request:  f.request,
		Engine:   fleet.EngineID(f.engine),
		Kind:     timeline.Kind(f.kind),
		Instance: fleet.InstanceID(f.instance),
	}
	if f.chat == "" {
		return filter, nil
	}
	base := 10
	if len(f.chat) == chatHexDigits {
		base = 16
	}
	chat, err := strconv.ParseUint(f.chat, base, 64)
	if err != nil || chat == 0 {
		return filter, usageError("-chat must be 16 hex digits or a decimal number above zero")
	}
	filter.Chat = fleet.ChatKey(chat)
	return filter, nil
}

// timelineResult holds the events of one instance, or why they could not be read.
type timelineResult struct {
	instance fleet.InstanceID
	events   []timeline.Event
	err      error
}

func (c *invocation) timeline(ctx context.Context, _ []string) error {
	filter, err := c.timelineFlags.filter()
	if err != nil {
		return err
	}
	results, err := c.readTimelines(ctx)
	if err != nil {
		return err
	}
	var lists [][]timeline.Event
	var missing []string
	for _, r := range results {
		if r.err != nil {
			missing = append(missing, string(r.instance))
			c.warn("%s: %v", r.instance, r.err)
			continue
		}
		lists = append(lists, r.events)
	}
	// Events are merged before they are filtered, because the order depends on causes that the
	// filter may exclude.
	selected := filter.Select(timeline.Merge(lists))
	if err := c.showEvents(selected, len(lists)); err != nil {
		return err
	}
	if len(missing) > 0 {
		return &printedError{oops.In("ctl").Errorf("events of %s are missing", strings.Join(missing, ", "))}
	}
	return nil
}

// readTimelines reads the events of every listed instance, including those that are leaving.
func (c *invocation) readTimelines(ctx context.Context) ([]timelineResult, error) {
	client, err := c.adminClient()
	if err != nil {
		return nil, err
	}
	list, err := c.listInstances(ctx)
	if err != nil {
		return nil, err
	}
	return mapInstancesWithin(ctx, timelineTimeout, list, func(ctx context.Context, i platform.Instance) timelineResult {
		events, err := readEvents(ctx, client, i.AdminAddr)
		return timelineResult{i.ID, events, err}
	}), nil
}

// readEvents reads an instance's events in pages: a response has the oldest events that follow a
// sequence number, at most timeline.DefaultCapacity, and an instance may keep more.
func readEvents(ctx context.Context, client *adminapi.Client, addr string) ([]timeline.Event, error) {
	var all []timeline.Event
	after := uint64(0)
	for {
		raw, err := client.Timeline(ctx, addr, after)
		if err != nil {
			return nil, err
		}
		page, err := decodeEvents(raw)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < timeline.DefaultCapacity || page[len(page)-1].Sequence <= after {
			return all, nil
		}
		after = page[len(page)-1].Sequence
	}
}

// decodeEvents decodes events. It ignores unknown fields, which newer daemons may send.
func decodeEvents(raw adminapi.Events) ([]timeline.Event, error) {
	events := make([]timeline.Event, len(raw))
	for i, r := range raw {
		if err := json.Unmarshal(r, &events[i]); err != nil {
			return nil, oops.In("ctl").Wrapf(err, "event %d of the time line cannot be decoded", i)
		}
	}
	return events, nil
}

// pageOutput is the result of timeline -html.
type pageOutput struct {
	File      string `json:"file"`
	Events    int    `json:"events"`
	Instances int    `json:"instances"`
}

// showEvents writes the events as an HTML page if -html is set, otherwise it prints them.
func (c *invocation) showEvents(events []timeline.Event, instances int) error {
	if c.timelineFlags.html != "" {
		if err := writePage(c.timelineFlags.html, events); err != nil {
			return err
		}
		out := pageOutput{c.timelineFlags.html, len(events), instances}
		return c.print(out, fmt.Sprintf("%d events of %d instances written to %s", out.Events, out.Instances, out.File))
	}
	if c.outputFormat == "json" {
		if events == nil {
			events = []timeline.Event{}
		}
		return c.print(events, "")
	}
	return timeline.WriteText(c.Stdout, events)
}

// writePage writes the events as an HTML page. It replaces the file only after the page is complete
// in memory.
func writePage(file string, events []timeline.Event) error {
	var page bytes.Buffer
	if err := timeline.WriteHTML(&page, events); err != nil {
		return oops.In("ctl").Wrapf(err, "the page cannot be generated")
	}
	if err := os.WriteFile(file, page.Bytes(), 0o600); err != nil {
		return oops.In("ctl").Wrapf(err, "the page cannot be written")
	}
	return nil
}
