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

const textTime = "2006-01-02T15:04:05.000Z"

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
	fmt.Fprintf(line, "%s %-12s %-20s", e.HLC.Time().Format(textTime), quoted(string(e.Instance)), quoted(string(e.Kind)))
	field(line, "request", e.Request)
	field(line, "attempt", string(e.Attempt))
	if e.Chat != 0 {
		field(line, "chat", fmt.Sprintf("%016x", uint64(e.Chat)))
	}
	field(line, "engine", string(e.Engine))
	field(line, "customer", string(e.Customer))
	for _, key := range slices.Sorted(maps.Keys(e.Detail)) {
		field(line, key, e.Detail[key])
	}
	if e.Cause != nil {
		field(line, "cause", fmt.Sprintf("%s/%d", e.Cause.Instance, e.Cause.Sequence))
	}
	return strings.TrimRight(line.String(), " ")
}

func field(line *strings.Builder, key, value string) {
	if value != "" {
		fmt.Fprintf(line, " %s=%s", quoted(key), quoted(value))
	}
}

// quoted returns s, or s in Go syntax if it could be taken for something else on a terminal.
func quoted(s string) string {
	plain := func(r rune) bool { return r > ' ' && r != '"' && r != '=' && strconv.IsPrint(r) }
	if s == "" || strings.ContainsFunc(s, func(r rune) bool { return !plain(r) }) {
		return strconv.Quote(s)
	}
	return s
}

//go:embed page.html
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

// WriteHTML writes a page that shows the events, which must be in the order of Merge. The
// page holds all it needs and loads nothing, so it opens from disk.
func WriteHTML(w io.Writer, events []Event) error {
	if events == nil {
		events = []Event{} // null would not be a list in the page's script
	}
	return page.Execute(w, struct{ Events []Event }{events})
}
