// Package settingsfile reads a program's YAML settings file and collects all findings with their
// positions.
package settingsfile

import (
	"os"

	"gopkg.in/yaml.v3"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/internal/yamlfile"
)

// File is a settings file that is being read. Faults that its Reader reports become findings.
type File struct {
	yamlfile.Reader
	findings config.Findings
	path     string
}

// New returns a File for a path. Read reads it.
func New(path string) *File {
	f := &File{path: path}
	f.Report = func(n *yaml.Node, message string) { f.report(n.Line, n.Column, message) }
	return f
}

// Read returns the root node of the file. If the file cannot be read or parsed, or is empty, Read adds
// a finding and returns nil.
func (f *File) Read() *yaml.Node {
	data, err := os.ReadFile(f.path)
	if err != nil {
		f.ReportFile("cannot be read: " + err.Error())
		return nil
	}
	root, syntax := yamlfile.Parse(data)
	if syntax != nil {
		f.report(syntax.Line, 1, syntax.Message)
		return nil
	}
	if root == nil {
		f.ReportFile("the file is empty")
	}
	return root
}

// ReportFile adds a finding about the file as a whole.
func (f *File) ReportFile(message string) { f.report(1, 1, message) }

// Findings returns all findings, sorted by position.
func (f *File) Findings() config.Findings {
	f.findings.Sort()
	return f.findings
}

func (f *File) report(line, column int, message string) {
	f.findings = append(f.findings, config.Finding{File: f.path, Line: max(1, line), Column: max(1, column), Message: message})
}
