// Package explain reports from collected logs what happened to one request: its log lines, the
// decisions about its engines and instances, the cause of its end, and which lines are missing.
//
// Each line of a log holds a JSON object, as package logsink writes it. Text before the object, such
// as the prefix of a log collector, is skipped.
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
	// contextMargin is the time before the first and after the last line of a request in which the
	// decisions about its engines are reported too. Pauses of an engine last up to four seconds.
	contextMargin = 5 * time.Second
	// maxLineBytes limits the length of a line.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
}

func (l Line) stringField(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

func (l Line) numberField(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// Report is what the logs contain about a request.
type Report struct {
	// Lines are the request's own lines, and Context those about its engines and instances. Both are
	// in order of time.
	Lines   []Line
	Context []Line
	// Cause states in a sentence why the request ended.
	Cause string
	// Missing lists the lines that are missing.
	Missing []string
}

// Logs holds the lines of all instances.
type Logs struct{ lines []Line }

// Read adds the lines of a log. Lines that hold no JSON object are skipped.
func (l *Logs) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			l.lines = append(l.lines, line)
		}
	}
	return scanner.Err()
}

func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
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
		if line.stringField("request") == id {
			r.Lines = append(r.Lines, line)
		}
	}
	sortLines(r.Lines)
	if len(r.Lines) == 0 {
		r.Cause = "no line names the request: it reached no instance whose log was read, or its lines were dropped"
		r.Missing = l.dropNotices(time.Time{}, time.Time{})
		return r
	}
	first, last := r.Lines[0].Time.Add(-contextMargin), r.Lines[len(r.Lines)-1].Time.Add(contextMargin)
	r.Context = l.contextLines(r.Lines, first, last)
	r.Cause = l.causeOf(r.Lines)
	r.Missing = append(missingLines(r.Lines), l.dropNotices(first, last)...)
	return r
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// contextLines returns, in order, the lines from first to last about the engines and instances of a
// request.
func (l *Logs) contextLines(requestLines []Line, first, last time.Time) []Line {
	var engines, instances []string
	for _, line := range requestLines {
		engines = append(engines, line.stringField("engine"))
		instances = append(instances, line.Instance)
	}
	var found []Line
	for _, line := range l.lines {
		if line.stringField("request") != "" || line.Time.Before(first) || line.Time.After(last) {
			continue
		}
		engine := line.stringField("engine")
		aboutEngine := engine != "" && slices.Contains(engines, engine)
		aboutInstance := engine == "" && slices.Contains(instances, line.Instance) && isInstanceEvent(line.Message)
		if aboutEngine || aboutInstance {
			found = append(found, line)
		}
	}
	sortLines(found)
	return found
}

// isInstanceEvent reports whether a message is of an event that affects all requests of an instance.
func isInstanceEvent(message string) bool {
	switch message {
	case "store_lost", "store_regained", "configuration_in_force", "readiness", "draining", "stopped_accepting", "drained", "started", "stopped":
		return true
	}
	return false
}

// missingLines describes which of a request's lines are not in the logs: the ends of attempts and the
// end of the request.
func missingLines(lines []Line) []string {
	sent, ended := 0, 0
	final := false
	for _, line := range lines {
		switch line.Message {
		case "attempt_sent":
			sent++
		case "attempt_ended":
			ended++
			final = final || isFinalAttempt(line)
		case "call_refused", "caller_left", "failure_delivered":
			final = true
		}
	}
	var list []string
	if sent != ended {
		list = append(list, fmt.Sprintf("%d attempts were sent and %d ended: the instance was stopped or its lines were dropped", sent, ended))
	}
	if !final {
		list = append(list, "the line with the request's end")
	}
	return list
}

// isFinalAttempt reports whether the end of an attempt can be the end of its request.
func isFinalAttempt(line Line) bool {
	switch line.stringField("outcome") {
	case "completed", "caller_left", "errored":
		return true
	}
	return false
}

// dropNotices lists when instances logged that they dropped lines, from first to last. A zero first
// means at any time.
func (l *Logs) dropNotices(first, last time.Time) []string {
	var list []string
	for _, line := range l.lines {
		if line.Message != "log lines dropped" || !first.IsZero() && (line.Time.Before(first) || line.Time.After(last)) {
			continue
		}
		list = append(list, fmt.Sprintf("instance %s dropped log lines at %s", line.Instance, line.Time.Format(time.RFC3339Nano)))
	}
	return list
}

// causeOf states in a sentence why a request ended.
func (l *Logs) causeOf(lines []Line) string {
	lines = stateLines(lines)
	var end *Line
	for i := range lines {
		if m := lines[i].Message; m == "attempt_ended" || m == "call_refused" || m == "caller_left" || m == "failure_delivered" {
			end = &lines[i]
		}
	}
	if end == nil {
		return l.missingEndCause(lines[len(lines)-1])
	}
	// An earlier attempt ended, but the logs hold no end of the last one.
	if last := lines[len(lines)-1]; last.Message == "attempt_sent" {
		return l.missingEndCause(last)
	}
	if end.Message == "attempt_ended" {
		return attemptEndCause(*end) + earlierAttempts(lines) + waits(lines)
	}
	if end.Message == "failure_delivered" {
		return fmt.Sprintf("engine %s ran the request and failed it, and %s", end.stringField("engine"), refusalCause(*end, lines))
	}
	if end.Message == "caller_left" {
		if lines[0].Message == "call_waits" {
			return "the caller left while the request waited for an engine with a free slot"
		}
		return "the caller left before an engine had the request"
	}
	return refusalCause(*end, lines)
}

// stateLines leaves out the lines about the crash of an engine of the request: they may follow the next
// attempt, whose state they don't change.
func stateLines(lines []Line) []Line {
	state := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Message == "crash_suspect" })
	if len(state) == 0 {
		return lines
	}
	return state
}

// missingEndCause states what happened to the instance of a request whose end is not in the logs.
func (l *Logs) missingEndCause(last Line) string {
	prefix := fmt.Sprintf("the request was at engine %s when its instance %s ", last.stringField("engine"), last.Instance)
	if last.Message != "attempt_sent" {
		prefix = fmt.Sprintf("the request was waiting when its instance %s ", last.Instance)
	}
	for _, line := range l.linesAfter(last.Instance, last.Time) {
		after := fmt.Sprintf(", %.0f ms after the request's last line", float64(line.Time.Sub(last.Time).Milliseconds()))
		switch line.Message {
		case "started":
			return prefix + "was lost; it started again at " + line.Time.Format(clockFormat) + after
		case "stopped":
			return prefix + "stopped at " + line.Time.Format(clockFormat) + after
		}
	}
	return prefix + "was lost, or the log was cut: it logged neither a stop nor a new start"
}

// linesAfter returns an instance's lines after a time, in order of time.
func (l *Logs) linesAfter(instance string, after time.Time) []Line {
	var found []Line
	for _, line := range l.lines {
		if line.Instance == instance && line.Time.After(after) {
			found = append(found, line)
		}
	}
	sortLines(found)
	return found
}

// clockFormat is the format of times of day in a report.
const clockFormat = "15:04:05.000000"

func attemptEndCause(end Line) string {
	engineAndTime := fmt.Sprintf("engine %s, after %.0f ms", end.stringField("engine"), end.numberField("ms"))
	switch end.stringField("outcome") {
	case "completed":
		if end.stringField("failed") == "true" {
			return "the engine ran the request and failed it: " + engineAndTime
		}
		return "the request was answered in full by " + engineAndTime
	case "errored":
		return "the engine ran the request and failed it, and no further attempt was allowed: " + engineAndTime
	case "caller_left":
		return "the caller left while the request was at " + engineAndTime
	}
	return "the last attempt ended as " + end.stringField("outcome") + " at " + engineAndTime
}

// refusalReasons explains the codes of refusals.
var refusalReasons = map[string]string{
	"no_configuration":       "the instance had not read a configuration yet",
	"no_route":               "no route of the configuration in force matches the host and path",
	"unknown_key":            "no customer of the configuration in force holds the API key",
	"stream_version_unknown": "the version that began the stream is not known, and versions serve that don't fit together",
	"stream_version_gone":    "no engine of the version that began the stream is in service",
	"quarantined":            "engines crashed while they ran this request, or others with a part of its prompt, and it is refused",
	"no_engine":              "no engine that was not tried already could take the request",
	"stopping":               "the instance was about to stop, and the request could take longer than the time that was left",
	"engines_quiet":          "all engines that could take the request had asked this instance for no requests",
	"rate_limited":           "the rate limits that engines have named admitted no further request",
	"overloaded":             "all engines were full, and by the requests ahead of it this one could not be served in time or had no place in the queue",
	"route_removed":          "the request waited for an engine when a configuration without its route or service came into force",
	"retry_budget":           "an engine did not run the request and the budget for further attempts was used up",
	"engine_lost":            "the engine was lost while it had the request, which may not run twice",
	"timed_out":              "the time for the request ended",
	"unsent":                 "no engine could be reached",
	"rejected":               "engines rejected the request because they were full",
	"misdirected":            "the engine's address belongs to another engine",
}

func refusalCause(end Line, lines []Line) string {
	code := end.stringField("code")
	reason, ok := refusalReasons[code]
	if !ok {
		reason = "the request was refused as " + code
	}
	if tried := endedAttempts(lines); len(tried) > 0 {
		reason += "; tried: " + strings.Join(tried, ", ")
	}
	return fmt.Sprintf("%s; configuration %s, after %.0f ms", reason, end.stringField("config"), end.numberField("age_ms"))
}

// endedAttempts lists the engines of ended attempts with their outcomes.
func endedAttempts(lines []Line) []string {
	var tried []string
	for _, line := range lines {
		if line.Message == "attempt_ended" {
			tried = append(tried, line.stringField("engine")+" ("+line.stringField("outcome")+")")
		}
	}
	return tried
}

// earlierAttempts lists the attempts before the last one, if any.
func earlierAttempts(lines []Line) string {
	tried := endedAttempts(lines)
	if len(tried) < 2 {
		return ""
	}
	return "; tried before: " + strings.Join(tried[:len(tried)-1], ", ")
}

// waits states how long a request waited for an engine with a free slot, or nothing if it did not wait.
func waits(lines []Line) string {
	text := ""
	for i, line := range lines {
		if line.Message != "call_waits" || i+1 == len(lines) {
			continue
		}
		text += fmt.Sprintf("; waited %d ms behind %.0f requests", lines[i+1].Time.Sub(line.Time).Milliseconds(), line.numberField("ahead"))
	}
	return text
}

// Write prints a report. The request's own lines are marked with ">".
func (r Report) Write(w io.Writer) error {
	var b strings.Builder
	for _, line := range mergeLines(r.Lines, r.Context) {
		marker := " "
		if line.stringField("request") != "" {
			marker = ">"
		}
		fmt.Fprintf(&b, "%s %s %-20s %-22s %s\n", marker, line.Time.Format(clockFormat), line.Instance, line.Message, formatFields(line))
	}
	for _, m := range r.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	fmt.Fprintf(&b, "cause: %s\n", r.Cause)
	_, err := io.WriteString(w, b.String())
	return err
}

func mergeLines(a, b []Line) []Line {
	all := append(slices.Clone(a), b...)
	sortLines(all)
	return all
}

func formatFields(line Line) string {
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
