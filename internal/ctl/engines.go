package ctl

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/iter"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/enginesapi"
)

// engineFlags registers the flags of the command engines.
func (c *invocation) engineFlags(fs *flag.FlagSet) {
	fs.BoolFunc("json", "the same as -output json", func(string) error {
		c.outputFormat = "json"
		return nil
	})
}

// engineSource is what one gateway answered.
type engineSource struct {
	Addr string `json:"addr"`
	// Snapshot is nil if the gateway gave none; Error says why.
	Snapshot *enginesapi.Snapshot `json:"snapshot,omitempty"`
	Error    string               `json:"error,omitempty"`
}

// name returns the instance's name, or its address if it has not answered.
func (s engineSource) name() string {
	if s.Snapshot == nil {
		return s.Addr
	}
	return string(s.Snapshot.Instance)
}

type enginesOutput struct {
	Sources []engineSource `json:"instances"`
	// DifferingEngines and DifferingEvacuations are those about which the instances that answered differ. States that
	// each instance observes by itself are not compared.
	DifferingEngines     []fleet.EngineID   `json:"differing_engines"`
	DifferingEvacuations []fleet.DataCentre `json:"differing_evacuated_data_centres"`
}

// engines prints the state of every engine as the gateways at the metrics addresses see it.
func (c *invocation) engines(ctx context.Context, addrs []string) error {
	mapper := iter.Mapper[string, engineSource]{MaxGoroutines: maxParallelCalls}
	sources := mapper.Map(unique(addrs), func(addr *string) engineSource {
		bounded, cancel := context.WithTimeout(ctx, instanceTimeout)
		defer cancel()
		snapshot, err := enginesapi.Get(bounded, *addr)
		if err != nil {
			return engineSource{Addr: *addr, Error: err.Error()}
		}
		return engineSource{Addr: *addr, Snapshot: &snapshot}
	})
	view := newFleetView(sources)
	out := enginesOutput{Sources: sources, DifferingEngines: view.differingEngines(), DifferingEvacuations: view.differingEvacuations()}
	if err := c.print(out, view.text()); err != nil {
		return err
	}
	return unansweredError(sources)
}

// unique returns the values without repetitions, in their order.
func unique(values []string) []string {
	var list []string
	for _, v := range values {
		if !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}

// unansweredError names the gateways that gave no snapshot, each with the reason.
func unansweredError(sources []engineSource) error {
	var parts []string
	for _, s := range sources {
		if s.Snapshot == nil {
			parts = append(parts, s.Addr+": "+s.Error)
		}
	}
	return noAnswerError(parts, len(sources))
}

// noAnswerError names the gateways that gave no answer, of a number that was asked, or returns nil if there are none.
func noAnswerError(unanswered []string, asked int) error {
	if len(unanswered) == 0 {
		return nil
	}
	return &printedError{oops.In("ctl").Errorf("%d of %d instances gave no answer\n  %s", len(unanswered), asked, strings.Join(unanswered, "\n  "))}
}

// joinSources returns the names of instances for a table: all of them if they are few.
func joinSources(names []string, total int) string {
	const shown = 3
	switch {
	case len(names) == total && total > 1:
		return fmt.Sprintf("all %d", total)
	case len(names) > shown:
		return fmt.Sprintf("%d of %d: %s, ...", len(names), total, strings.Join(names[:shown], ", "))
	}
	return strings.Join(names, ", ")
}
