package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/whereapi"
)

// shownCandidates is the number of engines that a table shows without -all, besides the chosen ones.
const shownCandidates = 12

// whereView compares what several gateways say of a request.
type whereView struct {
	answered []whereSource
	all      bool
	// engines lists the engines in the order of the first answer that has them, and byEngine what each gateway says of
	// one, in the order of answered; nil if it does not know it.
	engines  []fleet.EngineID
	byEngine map[fleet.EngineID][]*whereapi.Candidate
}

func newWhereView(sources []whereSource, all bool) whereView {
	v := whereView{all: all, byEngine: map[fleet.EngineID][]*whereapi.Candidate{}}
	for _, s := range sources {
		if s.Answer != nil {
			v.answered = append(v.answered, s)
		}
	}
	for i, s := range v.answered {
		for j, e := range s.Answer.Candidates {
			if v.byEngine[e.ID] == nil {
				v.byEngine[e.ID] = make([]*whereapi.Candidate, len(v.answered))
				v.engines = append(v.engines, e.ID)
			}
			v.byEngine[e.ID][i] = &s.Answer.Candidates[j]
		}
	}
	return v
}

// groups returns the names of the instances by what they say, in the order in which it is said first.
func (v whereView) groups(say func(i int) string) (texts []string, instances map[string][]string) {
	instances = map[string][]string{}
	for i, s := range v.answered {
		text := say(i)
		if instances[text] == nil {
			texts = append(texts, text)
		}
		instances[text] = append(instances[text], string(s.Answer.Instance))
	}
	return texts, instances
}

// request describes a request and its route as an instance reads them.
func (v whereView) request(i int) string {
	a := v.answered[i].Answer
	text := fmt.Sprintf("%s%s, configuration %d", a.Call.Host, a.Call.Path, a.ConfigVersion)
	if a.Route == nil {
		return text + ", no route"
	}
	text += fmt.Sprintf(", route %s (%s), customer %s, urgency %d", a.Route.Name, a.Route.Kind, cmp.Or(string(a.Call.Customer), "none"), a.Call.Urgency)
	if a.Route.Service != "" {
		text += fmt.Sprintf(", service %s, time limit %s", a.Route.Service, formatMillis(a.Call.TimeLimitMillis))
	}
	if a.Call.Prompt == "" {
		return text + ", no prompt"
	}
	text += ", prompt " + a.Call.Prompt
	if len(a.Call.PromptParts) > 0 {
		text += " of the parts " + strings.Join(a.Call.PromptParts, " ")
	}
	if a.Call.PromptTokens > 0 {
		text += fmt.Sprintf(", %d tokens, %d of them its own", a.Call.PromptTokens, a.Call.OwnTokens)
	}
	return text
}

// result describes what would become of a request at an instance.
func (v whereView) result(i int) string {
	a := v.answered[i].Answer
	switch {
	case a.Result == "refuse" && a.Refusal != nil:
		return refusalText(a)
	case a.Result == "await_configuration" && a.Wait != nil:
		return fmt.Sprintf("waits up to %s for a configuration", formatMillis(a.Wait.LongestMillis))
	case a.Wait != nil:
		return "waits here for room, " + waitText(a.Wait)
	case a.Choice == nil:
		return a.Result
	}
	text := fmt.Sprintf("goes to %s (%s)", a.Choice.Engine, a.Choice.Reason)
	if a.Choice.FetchFrom != "" {
		text += ", prompt fetched from " + a.Choice.FetchFrom
	}
	if a.Choice.Owner != "" {
		text += ", if " + string(a.Choice.Owner) + " admits it"
	}
	return text
}

func refusalText(a *whereapi.Answer) string {
	r := a.Refusal
	text := fmt.Sprintf("refused with %d, %s", r.Status, r.Code)
	switch {
	case r.RetryAfterToMillis == 0:
	case r.RetryAfterFromMillis == r.RetryAfterToMillis:
		text += ", Retry-After " + formatMillis(r.RetryAfterToMillis)
	default:
		text += fmt.Sprintf(", Retry-After %s to %s at random", formatMillis(r.RetryAfterFromMillis), formatMillis(r.RetryAfterToMillis))
	}
	if a.Wait != nil {
		text += "; expected: " + waitText(a.Wait)
	}
	return text
}

func waitText(w *whereapi.Wait) string {
	return fmt.Sprintf("%d ahead, %.1f turns/s, %s", w.Ahead, w.TurnsPerSecond, formatMillis(w.ExpectedMillis))
}

func formatMillis(ms int64) string { return fmt.Sprintf("%.3g s", float64(ms)/1000) }

// outcome returns what instances are compared by: what becomes of a request, without what changes at any moment.
func (v whereView) outcome(i int) string {
	a := v.answered[i].Answer
	switch {
	case a.Refusal != nil:
		return a.Result + " " + a.Refusal.Code
	case a.Choice != nil:
		return a.Result + " " + string(a.Choice.Engine)
	}
	return a.Result
}

// engine says whether an engine is chosen at an instance, or what keeps it from the request.
func (v whereView) engine(id fleet.EngineID, i int) string {
	e, choice := v.byEngine[id][i], v.answered[i].Answer.Choice
	chosen := choice != nil && choice.Engine == id
	switch {
	case e == nil:
		return "not known"
	case chosen && len(e.Excluded) > 0:
		return "chosen although " + strings.Join(e.Excluded, "+")
	case chosen:
		return "chosen"
	case len(e.Excluded) > 0:
		return "excluded: " + strings.Join(e.Excluded, "+")
	case e.Skipped != "":
		return "skipped: " + e.Skipped
	}
	return "free"
}

func (v whereView) differs(say func(i int) string) bool {
	texts, _ := v.groups(say)
	return len(texts) > 1
}

func (v whereView) differing() []string {
	list := []string{}
	if v.differs(v.request) {
		list = append(list, "request")
	}
	if v.differs(v.outcome) {
		list = append(list, "result")
	}
	for _, id := range v.engines {
		if v.differs(func(i int) string { return v.engine(id, i) }) {
			list = append(list, "engine "+string(id))
		}
	}
	return list
}

// text returns the request, what becomes of it, and a table of the engines. Lines on which instances differ begin with "!".
func (v whereView) text() string {
	if len(v.answered) == 0 {
		return "no instance answered"
	}
	var b strings.Builder
	v.lines(&b, v.request, v.differs(v.request))
	v.lines(&b, v.result, v.differs(v.outcome))
	if len(v.engines) > 0 {
		v.table(&b)
	}
	return trimLines(b.String())
}

// lines writes a line for each group of instances that say the same.
func (v whereView) lines(b *strings.Builder, say func(i int) string, differ bool) {
	texts, instances := v.groups(say)
	for _, text := range texts {
		mark := "  "
		if differ {
			mark = "! "
		}
		fmt.Fprintf(b, "%s%s: %s\n", mark, joinSources(instances[text], len(v.answered)), text)
	}
}

func (v whereView) table(b *strings.Builder) {
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "  ENGINE\tDATA CENTRE\tRANK\tLOAD\tBOUND\tSLOTS\tUNREAD\tFIRST EVENT\tHERE\tSTATES\tINSTANCES")
	hidden := map[string]int{}
	for n, id := range v.engines {
		if n >= shownCandidates && !v.all && !v.isChosen(id) {
			hidden[v.engine(id, 0)]++
			continue
		}
		for _, row := range v.rows(id) {
			_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
		}
	}
	_ = w.Flush()
	for _, reason := range slices.Sorted(maps.Keys(hidden)) {
		fmt.Fprintf(b, "  %d more engines, at %s %s\n", hidden[reason], v.answered[0].Answer.Instance, reason)
	}
}

func (v whereView) isChosen(id fleet.EngineID) bool {
	return slices.ContainsFunc(v.answered, func(s whereSource) bool { return s.Answer.Choice != nil && s.Answer.Choice.Engine == id })
}

// rows returns the lines of an engine: one for each group of instances for which the same keeps it from the request. Figures
// are those of the first instance of a group.
func (v whereView) rows(id fleet.EngineID) [][]string {
	texts, instances := v.groups(func(i int) string { return v.engine(id, i) })
	mark := "  "
	if len(texts) > 1 {
		mark = "! "
	}
	var rows [][]string
	for _, text := range texts {
		first := slices.IndexFunc(v.answered, func(s whereSource) bool { return string(s.Answer.Instance) == instances[text][0] })
		names := joinSources(instances[text], len(v.answered))
		e := v.byEngine[id][first]
		if e == nil {
			rows = append(rows, []string{mark + string(id), "", "", "", "", "", "", "", text, "", names})
			continue
		}
		rows = append(rows, []string{mark + string(id), string(e.DataCentre), blankIf(e.Rank, 0), fmt.Sprint(e.Load), blankIf(e.LoadBound, 0), fmt.Sprint(e.Slots),
			blankIf(e.UnreadTokens, 0), firstEventText(e), text, candidateStates(e), names})
	}
	return rows
}

func blankIf(n, blank int) string {
	if n == blank {
		return ""
	}
	return fmt.Sprint(n)
}

func firstEventText(e *whereapi.Candidate) string {
	if e.FirstEventMillis < 0 {
		return ""
	}
	return formatMillis(e.FirstEventMillis)
}

// candidateStates returns the states of an engine, with until when and details as known.
func candidateStates(e *whereapi.Candidate) string {
	var parts []string
	for _, r := range e.States {
		text := r.State
		if r.Until != nil {
			text += " until " + formatTime(r.Until)
		}
		if r.Detail != "" {
			text += " (" + r.Detail + ")"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}
