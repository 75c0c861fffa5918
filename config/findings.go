package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/oops"
)

// Finding is one fault in a file.
type Finding struct {
	// File is the path in the bundle, or as given for files outside a bundle.
	File string `json:"file"`
	// Line and Column count from 1.
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String returns file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings are all faults that one check found, sorted by position.
type Findings []Finding

// String returns the findings, one per line.
func (fs Findings) String() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if there are no findings, otherwise an error that lists them all.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return oops.In("config").Code("findings").Errorf("%d findings:\n%s", len(fs), fs)
}

// Sort orders findings by file, line, column and message.
func (fs Findings) Sort() {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Message, b.Message),
		)
	})
}
