// Package explain finds out from collected logs what happened to one request.
//
// Logs are lines with a JSON object each, as package logsink writes them. Anything before the
// object, such as the prefix of a log collector, is skipped.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// around is how long before the first and after the last line of a request the decisions about
	// its engines are of interest: pauses of an engine last up to four seconds.
	around = 5 * time.Second
	// maxLine bounds a line.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
}

func (l Line) text(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// Report is what the logs say of a request.
type Report struct {
	// Lines are the request's own lines in order of time, Context those about its engines.
	Lines   []Line
	Context []Line
	// Cause is the reason of the request's end in a sentence.
	Cause string
	// Missing tells which lines are missing, if any.
	Missing []string
}

// Logs holds the lines of all instances.
type Logs struct{ lines []Line }

// Read adds the lines of a log. Lines that hold no JSON object are skipped.
func (l *Logs) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			l.lines = append(l.lines, line)
		}
	}
	return scanner.Err()
}

func parse(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[at:]), &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields, Instance: fmt.Sprint(fields["instance"]), Message: fmt.Sprint(fields["msg"])}
	when, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	line.Time = when
	for _, name := range []string{"time", "level", "instance", "msg"} {
		delete(fields, name)
	}
	return line, true
}

// Request reports on the request with an id.
func (l *Logs) Request(id string) Report {
	var r Report
	for _, line := range l.lines {
		if line.text("request") == id {
			r.Lines = append(r.Lines, line)
		}
	}
	sortLines(r.Lines)
	if len(r.Lines) == 0 {
		r.Cause = "no line names the request: it reached no instance whose log is here, or its lines were dropped"
		r.Missing = l.dropped(time.Time{}, time.Time{})
		return r
	}
	first, last := r.Lines[0].Time.Add(-around), r.Lines[len(r.Lines)-1].Time.Add(around)
	r.Context = l.context(r.Lines, first, last)
	r.Cause = l.cause(r.Lines)
	r.Missing = append(missing(r.Lines), l.dropped(first, last)...)
	return r
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// context returns the decisions about the request's engines and its instances.
func (l *Logs) context(own []Line, first, last time.Time) []Line {
	var engines, instances []string
	for _, line := range own {
		engines = append(engines, line.text("engine"))
		instances = append(instances, line.Instance)
	}
	var found []Line
	for _, line := range l.lines {
		if line.text("request") != "" || line.Time.Before(first) || line.Time.After(last) {
			continue
		}
		engine := line.text("engine")
		aboutEngine := engine != "" && slices.Contains(engines, engine)
		aboutInstance := engine == "" && slices.Contains(instances, line.Instance) && isState(line.Message)
		if aboutEngine || aboutInstance {
			found = append(found, line)
		}
	}
	sortLines(found)
	return found
}

// isState tells which decisions change what an instance does for all requests.
func isState(message string) bool {
	switch message {
	case "store_lost", "store_regained", "configuration_in_force", "readiness", "draining", "stopped_accepting", "drained", "started", "stopped":
		return true
	}
	return false
}

// missing tells which ends are not in the log.
func missing(lines []Line) []string {
	sent, ended := 0, 0
	final := false
	for _, line := range lines {
		switch line.Message {
		case "attempt_sent":
			sent++
		case "attempt_ended":
			ended++
			final = final || isFinal(line)
		case "call_refused", "caller_left", "failure_delivered":
			final = true
		}
	}
	var list []string
	if sent != ended {
		list = append(list, fmt.Sprintf("%d attempts were sent and %d ended: the instance was stopped or its lines were dropped", sent, ended))
	}
	if !final {
		list = append(list, "the line of the request's end")
	}
	return list
}

func isFinal(line Line) bool {
	switch line.text("outcome") {
	case "completed", "caller_left", "errored":
		return true
	}
	return false
}

// dropped reports the lines that instances dropped in a span; a zero span is all time.
func (l *Logs) dropped(first, last time.Time) []string {
	var list []string
	for _, line := range l.lines {
		if line.Message != "log lines dropped" || !first.IsZero() && (line.Time.Before(first) || line.Time.After(last)) {
			continue
		}
		list = append(list, fmt.Sprintf("instance %s dropped log lines at %s", line.Instance, line.Time.Format(time.RFC3339Nano)))
	}
	return list
}

// cause returns the reason of a request's end in a sentence.
func (l *Logs) cause(lines []Line) string {
	var end *Line
	for i := range lines {
		if m := lines[i].Message; m == "attempt_ended" || m == "call_refused" || m == "caller_left" || m == "failure_delivered" {
			end = &lines[i]
		}
	}
	if end == nil {
		return l.unendedCause(lines[len(lines)-1])
	}
	if last := lines[len(lines)-1]; last.Message == "attempt_sent" {
		return l.unendedCause(last)
	}
	if end.Message == "attempt_ended" {
		return endedCause(*end) + triedBefore(lines)
	}
	if end.Message == "failure_delivered" {
		return fmt.Sprintf("engine %s ran the request and failed it, and %s", end.text("engine"), refusedCause(*end, lines))
	}
	if end.Message == "caller_left" {
		return "the caller left before an engine had the request"
	}
	return refusedCause(*end, lines)
}

// unendedCause tells what happened to the instance of a request whose end is not in the logs.
func (l *Logs) unendedCause(last Line) string {
	where := fmt.Sprintf("the request was at engine %s when its instance %s ", last.text("engine"), last.Instance)
	if last.Message != "attempt_sent" {
		where = fmt.Sprintf("the request was waiting when its instance %s ", last.Instance)
	}
	for _, line := range l.of(last.Instance, last.Time) {
		after := fmt.Sprintf(", %.0f ms after the request's last line", float64(line.Time.Sub(last.Time).Milliseconds()))
		switch line.Message {
		case "started":
			return where + "was lost; it started again at " + line.Time.Format(clockFormat) + after
		case "stopped":
			return where + "stopped at " + line.Time.Format(clockFormat) + after
		}
	}
	return where + "was lost, or the log was cut: it wrote no line of a stop or a new start"
}

// of returns an instance's lines after a time, in order.
func (l *Logs) of(instance string, after time.Time) []Line {
	var found []Line
	for _, line := range l.lines {
		if line.Instance == instance && line.Time.After(after) {
			found = append(found, line)
		}
	}
	sortLines(found)
	return found
}

// clockFormat shows times of day as in the lines of a report.
const clockFormat = "15:04:05.000000"

func endedCause(end Line) string {
	where := fmt.Sprintf("engine %s, after %.0f ms", end.text("engine"), end.number("ms"))
	switch end.text("outcome") {
	case "completed":
		if end.text("failed") == "true" {
			return "the engine ran the request and failed it: " + where
		}
		return "the request was answered in full by " + where
	case "errored":
		return "the engine ran the request and failed it, and no further attempt was allowed: " + where
	case "caller_left":
		return "the caller left while the request was at " + where
	}
	return "the last attempt ended as " + end.text("outcome") + " at " + where
}

// reasons explains the codes of refusals.
var reasons = map[string]string{
	"no_configuration": "the instance had not read a configuration yet",
	"no_route":         "no route of the configuration in force matches the host and path",
	"unknown_key":      "no customer of the configuration in force holds the API key",
	"quarantined":      "the request was in flight at three crashes of engines and is refused",
	"no_engine":        "no engine that was not tried already could take the request",
	"retry_budget":     "an engine did not run the request and the budget for further attempts was used up",
	"engine_lost":      "the engine was lost while it had the request, which may not run twice",
	"timed_out":        "the time for the request ended",
	"unsent":           "no engine could be reached",
	"rejected":         "engines rejected the request because they were full",
	"misdirected":      "the engine's address belongs to another engine",
}

func refusedCause(end Line, lines []Line) string {
	code := end.text("code")
	reason, ok := reasons[code]
	if !ok {
		reason = "the request was refused as " + code
	}
	if tried := attempts(lines); len(tried) > 0 {
		reason += "; tried: " + strings.Join(tried, ", ")
	}
	return fmt.Sprintf("%s; configuration %s, after %.0f ms", reason, end.text("config"), end.number("age_ms"))
}

// attempts lists the ends of attempts.
func attempts(lines []Line) []string {
	var tried []string
	for _, line := range lines {
		if line.Message == "attempt_ended" {
			tried = append(tried, line.text("engine")+" ("+line.text("outcome")+")")
		}
	}
	return tried
}

// triedBefore lists the attempts before the last one, if any.
func triedBefore(lines []Line) string {
	tried := attempts(lines)
	if len(tried) < 2 {
		return ""
	}
	return "; tried before: " + strings.Join(tried[:len(tried)-1], ", ")
}

// Write prints a report.
func (r Report) Write(w io.Writer) error {
	var b strings.Builder
	for _, line := range merged(r.Lines, r.Context) {
		mark := " "
		if line.text("request") != "" {
			mark = ">"
		}
		fmt.Fprintf(&b, "%s %s %-20s %-22s %s\n", mark, line.Time.Format(clockFormat), line.Instance, line.Message, fieldText(line))
	}
	for _, m := range r.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	fmt.Fprintf(&b, "cause: %s\n", r.Cause)
	_, err := io.WriteString(w, b.String())
	return err
}

func merged(a, b []Line) []Line {
	all := append(slices.Clone(a), b...)
	sortLines(all)
	return all
}

func fieldText(line Line) string {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, line.Fields[name])
	}
	return strings.Join(parts, " ")
}
