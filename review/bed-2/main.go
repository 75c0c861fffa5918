//go:build review

// Command bed-2 plays the cases of the second review against real gateway processes on loopback addresses.
// The store and the engines are the project's own stand-ins and run in this process.
//
// Usage: bed-2 CASE DIR, where DIR receives record.txt. The environment variable TROUBLE=0 leaves the disruption out.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*bed) (broken bool, err error){
	"lagging-configuration": laggingConfiguration,
	"departed-entries":      departedEntries,
	"odd-entry":             oddEntry,
	"deaf-readers":          deafReaders,
	"repeated-refusals":     repeatedRefusals,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed-2 CASE DIR")
		return exitNotRun
	}
	b, err := newBed(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	broken, err := cases[os.Args[1]](b)
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		b.note("RESULT: the rule was broken")
		return exitBroken
	}
	b.note("RESULT: the rule held")
	return exitHeld
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// line writes one line with the time since the start in seconds.
func (r *record) line(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// note writes a line to the record and to standard output.
func (b *bed) note(format string, args ...any) {
	now := time.Now()
	b.record.line(now, format, args...)
	fmt.Printf("%8.3f %s\n", now.Sub(b.record.start).Seconds(), fmt.Sprintf(format, args...))
}
