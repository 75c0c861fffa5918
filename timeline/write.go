package timeline

import (
	"bufio"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

const textTimeLayout = "2006-01-02T15:04:05.000Z"

// WriteText writes one line per event: time, instance, kind, then fields as key=value.
// Values with spaces or unprintable characters are quoted.
func WriteText(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	for i := range events {
		if _, err := fmt.Fprintln(out, textLine(&events[i])); err != nil {
			return err
		}
	}
	return out.Flush()
}

func textLine(e *Event) string {
	line := &strings.Builder{}
	fmt.Fprintf(line, "%s %-12s %-20s", e.HLC.Time().Format(textTimeLayout), quoteIfNeeded(string(e.Instance)), quoteIfNeeded(string(e.Kind)))
	writeField(line, "request", e.Request)
	writeField(line, "attempt", string(e.Attempt))
	if e.Chat != 0 {
		writeField(line, "chat", fmt.Sprintf("%016x", uint64(e.Chat)))
	}
	writeField(line, "engine", string(e.Engine))
	writeField(line, "customer", string(e.Customer))
	for _, key := range slices.Sorted(maps.Keys(e.Detail)) {
		writeField(line, key, e.Detail[key])
	}
	if e.Cause != nil {
		writeField(line, "cause", fmt.Sprintf("%s/%d", e.Cause.Instance, e.Cause.Sequence))
	}
	return strings.TrimRight(line.String(), " ")
}

// writeField appends key=value to a line unless the value is empty.
func writeField(line *strings.Builder, key, value string) {
	if value != "" {
		fmt.Fprintf(line, " %s=%s", quoteIfNeeded(key), quoteIfNeeded(value))
	}
}

// quoteIfNeeded returns s. It is quoted in Go syntax if it is empty or holds characters that would be
// mistaken for separators or interpreted by a terminal.
func quoteIfNeeded(s string) string {
	plain := func(r rune) bool { return r > ' ' && r != '"' && r != '=' && strconv.IsPrint(r) }
	if s == "" || strings.ContainsFunc(s, func(r rune) bool { return !plain(r) }) {
		return strconv.Quote(s)
	}
	return s
}

//go:embed page.html
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

// WriteHTML writes an HTML page that shows the events, which must be in the order of Merge. The
// page contains all its scripts and styles and loads nothing, so it can be opened from disk.
func WriteHTML(w io.Writer, events []Event) error {
	if events == nil {
		events = []Event{} // the page's script needs a list; nil would be written as null
	}
	return page.Execute(w, struct{ Events []Event }{events})
}
