package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/enginesapi"
)

// fleetView compares what several gateways say of the engines.
type fleetView struct {
	answered []engineSource
	// byEngine holds what each gateway says of an engine, in the order of answered; nil if it does not know it.
	byEngine map[fleet.EngineID][]*enginesapi.Engine
	// evacuations holds the same of each data centre that a gateway believes evacuated.
	evacuations map[fleet.DataCentre][]*enginesapi.Evacuation
}

func newFleetView(sources []engineSource) fleetView {
	v := fleetView{byEngine: map[fleet.EngineID][]*enginesapi.Engine{}, evacuations: map[fleet.DataCentre][]*enginesapi.Evacuation{}}
	for _, s := range sources {
		if s.Snapshot != nil {
			v.answered = append(v.answered, s)
		}
	}
	for i, s := range v.answered {
		for j, e := range s.Snapshot.Engines {
			if v.byEngine[e.ID] == nil {
				v.byEngine[e.ID] = make([]*enginesapi.Engine, len(v.answered))
			}
			v.byEngine[e.ID][i] = &s.Snapshot.Engines[j]
		}
		for j, e := range s.Snapshot.Evacuations {
			if v.evacuations[e.DataCentre] == nil {
				v.evacuations[e.DataCentre] = make([]*enginesapi.Evacuation, len(v.answered))
			}
			v.evacuations[e.DataCentre][i] = &s.Snapshot.Evacuations[j]
		}
	}
	return v
}

// sharedStates are those that every instance should see alike. The others follow from what an instance was told or
// observed itself, and differ by nature.
var sharedStates = map[string]bool{"draining": true, "evacuated": true, "unconfigured": true}

// sharedFacts returns what all instances should say of an engine alike. The revision is not among it: instances do not
// tell each other of rewrites without a change.
func sharedFacts(e *enginesapi.Engine) string {
	if e == nil {
		return "unknown"
	}
	facts := []string{string(e.Service), e.Addr, string(e.DataCentre), fmt.Sprint(e.Slots, e.StartedAtMillis)}
	for _, r := range e.Reasons {
		if sharedStates[r.State] {
			facts = append(facts, r.State)
		}
	}
	return strings.Join(facts, " ")
}

func (v fleetView) differs(id fleet.EngineID) bool {
	views := v.byEngine[id]
	return slices.ContainsFunc(views, func(e *enginesapi.Engine) bool { return sharedFacts(e) != sharedFacts(views[0]) })
}

func (v fleetView) differingEngines() []fleet.EngineID {
	list := []fleet.EngineID{}
	for _, id := range slices.Sorted(maps.Keys(v.byEngine)) {
		if v.differs(id) {
			list = append(list, id)
		}
	}
	return list
}

func (v fleetView) differingEvacuations() []fleet.DataCentre {
	list := []fleet.DataCentre{}
	for _, dc := range slices.Sorted(maps.Keys(v.evacuations)) {
		if slices.Contains(v.evacuations[dc], nil) {
			list = append(list, dc)
		}
	}
	return list
}

// text returns the evacuated data centres, a table with a line for each engine and state, and a conclusion. Lines about
// which instances differ begin with "!".
func (v fleetView) text() string {
	if len(v.answered) == 0 {
		return "no instance answered"
	}
	var b strings.Builder
	for _, dc := range slices.Sorted(maps.Keys(v.evacuations)) {
		b.WriteString(v.evacuationText(dc) + "\n")
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "  ENGINE\tSERVICE\tDATA CENTRE\tSTATE\tSINCE\tUNTIL\tREVISION\tDETAIL\tINSTANCES")
	for _, id := range slices.Sorted(maps.Keys(v.byEngine)) {
		for _, row := range v.rows(id) {
			_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
		}
	}
	_ = w.Flush()
	return trimLines(b.String()) + v.conclusion()
}

func trimLines(text string) string {
	lines := strings.Split(text, "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
	}
	return strings.Join(lines, "\n")
}

func (v fleetView) evacuationText(dc fleet.DataCentre) string {
	var with, without []string
	var first *enginesapi.Evacuation
	for i, e := range v.evacuations[dc] {
		if e == nil {
			without = append(without, v.answered[i].name())
			continue
		}
		first = cmp.Or(first, e)
		with = append(with, v.answered[i].name())
	}
	text := fmt.Sprintf("data centre %s is evacuated since %s, revision %s, engines %d", dc, first.Since.Format(time.DateTime), first.Revision, first.Engines)
	if len(without) == 0 {
		return "  " + text
	}
	return fmt.Sprintf("! %s: at %s, NOT at %s", text, joinSources(with, len(v.answered)), joinSources(without, len(v.answered)))
}

// rows returns the lines of an engine: one for each group of instances that see it in the same states.
func (v fleetView) rows(id fleet.EngineID) [][]string {
	groups := map[string][]int{}
	var order []string
	for i, e := range v.byEngine[id] {
		key := sharedFacts(e)
		if e != nil {
			key += " " + stateNames(e)
		}
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], i)
	}
	mark := "  "
	if v.differs(id) {
		mark = "! "
	}
	var rows [][]string
	for _, key := range order {
		var names []string
		for _, i := range groups[key] {
			names = append(names, v.answered[i].name())
		}
		instances := joinSources(names, len(v.answered))
		e := v.byEngine[id][groups[key][0]]
		if e == nil {
			rows = append(rows, []string{mark + string(id), "", "", "not known", "", "", "", "", instances})
			continue
		}
		since, until, revision, detail := reasonColumns(e)
		rows = append(rows, []string{mark + string(id), string(e.Service), string(e.DataCentre), stateNames(e), since, until, revision, detail, instances})
	}
	return rows
}

// stateNames returns all states of an engine, the deciding one first.
func stateNames(e *enginesapi.Engine) string {
	names := []string{e.State}
	for i, r := range e.Reasons {
		if i > 0 {
			names = append(names, r.State)
		}
	}
	return strings.Join(names, "+")
}

// reasonColumns returns since when and until when the deciding state holds and its revision, or that of the
// registration, and what is said of all states.
func reasonColumns(e *enginesapi.Engine) (since, until, revision, detail string) {
	revision = e.Revision
	var details []string
	for i, r := range e.Reasons {
		if i == 0 {
			since, until, revision = formatTime(r.Since), formatTime(r.Until), cmp.Or(r.Revision, revision)
		}
		if r.Detail != "" {
			details = append(details, r.Detail)
		}
	}
	if e.Suspended {
		details = append(details, "registration missing")
	}
	return since, until, revision, strings.Join(details, "; ")
}

func formatTime(t *time.Time) string {
	if t == nil {
		return ""
	}
	return t.Format("15:04:05.000")
}

func (v fleetView) conclusion() string {
	engines, dataCentres := len(v.differingEngines()), len(v.differingEvacuations())
	switch {
	case len(v.answered) == 1:
		return fmt.Sprintf("%d engines at %s", len(v.byEngine), v.answered[0].name())
	case engines+dataCentres == 0:
		return fmt.Sprintf("the %d instances that answered agree on %d engines", len(v.answered), len(v.byEngine))
	}
	return fmt.Sprintf("the %d instances that answered DIFFER on %d of %d engines and %d evacuated data centres", len(v.answered), engines, len(v.byEngine), dataCentres)
}
