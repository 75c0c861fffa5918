package config

import (
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
)

// MaxFileBytes is the size of the largest accepted file. Operators' files are short, and a file
// is stored as one blob, which must stay well below the platform's value limit of 1 MB.
const MaxFileBytes = 256 << 10

// Bundle is a set of files that are published together.
type Bundle struct {
	// Files maps the path in the bundle to the content. A path starts with the base name of
	// the loaded directory and uses forward slashes.
	Files map[string][]byte
	// Prefixes are the base names of the loaded directories, each with a trailing slash.
	Prefixes []string
}

// Paths returns the paths in ascending order.
func (b *Bundle) Paths() []string {
	return slices.Sorted(maps.Keys(b.Files))
}

// Load reads the *.yaml files below each directory. Hidden files and directories are skipped.
// The findings report files and directories that cannot be read. Compile checks the content.
func Load(dirs ...string) (*Bundle, Findings) {
	l := &loader{bundle: &Bundle{Files: map[string][]byte{}}}
	for _, dir := range dirs {
		l.readDirectory(dir)
	}
	l.findings.Sort()
	return l.bundle, l.findings
}

type loader struct {
	bundle   *Bundle
	findings Findings
}

func (l *loader) report(file, format string, args ...any) {
	l.findings = append(l.findings, Finding{File: file, Line: 1, Column: 1, Message: fmt.Sprintf(format, args...)})
}

func (l *loader) readDirectory(dir string) {
	absolute, err := filepath.Abs(dir)
	if err != nil {
		l.report(dir, "cannot resolve the directory: %v", err)
		return
	}
	prefix := filepath.Base(absolute) + "/"
	if slices.Contains(l.bundle.Prefixes, prefix) {
		l.report(dir, "another directory has the base name %q, which must be unique in a bundle", filepath.Base(absolute))
		return
	}
	l.bundle.Prefixes = append(l.bundle.Prefixes, prefix)
	// Links are resolved here, because WalkDir does not follow a link at its root.
	root, err := filepath.EvalSymlinks(absolute)
	if err != nil {
		l.report(dir, "cannot be read: %v", withoutPath(err))
		return
	}
	if info, err := os.Stat(root); err == nil && !info.IsDir() {
		l.report(dir, "is not a directory")
		return
	}
	before := len(l.bundle.Files)
	_ = filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		return l.visit(root, prefix, name, entry, err)
	})
	if len(l.bundle.Files) == before && len(l.findings) == 0 {
		l.report(dir, "the directory holds no *.yaml file")
	}
}

// visit reads an entry of a directory if it is a *.yaml file that is not hidden.
func (l *loader) visit(root, prefix, name string, entry fs.DirEntry, err error) error {
	relative, _ := filepath.Rel(root, name)
	bundlePath := path.Join(prefix, filepath.ToSlash(relative))
	if err != nil {
		l.report(bundlePath, "cannot be read: %v", withoutPath(err))
		return nil
	}
	if name != root && entry.Name()[0] == '.' {
		if entry.IsDir() {
			return filepath.SkipDir
		}
		return nil
	}
	if entry.IsDir() || filepath.Ext(name) != ".yaml" {
		return nil
	}
	l.readFile(bundlePath, name)
	return nil
}

func (l *loader) readFile(bundlePath, name string) {
	info, err := os.Stat(name)
	switch {
	case err != nil:
		l.report(bundlePath, "cannot be read: %v", withoutPath(err))
		return
	case !info.Mode().IsRegular():
		l.report(bundlePath, "is not a regular file")
		return
	case info.Size() > MaxFileBytes:
		l.report(bundlePath, "has %d bytes, the limit is %d", info.Size(), MaxFileBytes)
		return
	}
	data, err := os.ReadFile(name)
	if err != nil {
		l.report(bundlePath, "cannot be read: %v", withoutPath(err))
		return
	}
	l.bundle.Files[bundlePath] = data
}

// withoutPath returns a file error without its path, because the finding names the file.
func withoutPath(err error) error {
	if p, ok := err.(*fs.PathError); ok {
		return p.Err
	}
	return err
}
