package config_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/config"
)

var update = flag.Bool("update", false, "rewrite golden files")

func directories(t *testing.T, pattern string) []string {
	dirs, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, dirs)
	return dirs
}

// Guards against a fault that is not reported, is reported at a wrong position or hides a later one.
func TestFindingsGolden(t *testing.T) {
	bundle, findings := config.Load(directories(t, "testdata/bad/*")...)
	require.Empty(t, findings)
	snapshot, findings := config.Compile(bundle.Files)
	require.Nil(t, snapshot)
	require.NotContains(t, findings.String(), "SECRET-KEY")
	golden := "testdata/bad.golden"
	if *update {
		require.NoError(t, os.WriteFile(golden, []byte(findings.String()+"\n"), 0o644))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), findings.String()+"\n")
}

// Guards against example files that do not compile, or whose engines or customers get lost.
func TestExamples(t *testing.T) {
	for name, want := range map[string]struct{ services, engines, centres, customers int }{
		"kitaminato": {2, 14, 4, 10},
		"fes":        {2, 23, 3, 10},
	} {
		bundle, findings := config.Load(directories(t, "../examples/"+name+"/*")...)
		require.Empty(t, findings, name)
		s, findings := config.Compile(bundle.Files)
		require.Empty(t, findings, name)
		engines, centres := 0, map[any]bool{}
		for _, service := range s.Services {
			engines += len(service.Engines)
			for _, e := range service.Engines {
				centres[e.DataCentre] = true
			}
		}
		require.Len(t, s.Services, want.services)
		require.Equal(t, want.engines, engines)
		require.Len(t, centres, want.centres)
		require.Len(t, s.Customers, want.customers)
		require.Len(t, s.KeyDigests, want.customers)
	}
}

// Guards against spellings of a path with which a call that may run at most once is not recognized,
// and so runs without a claim.
func TestIsNonIdempotent(t *testing.T) {
	s := config.Service{NonIdempotent: []config.CallPattern{{Method: "POST", Path: "/orders"}, {Method: "*", Path: "/pay/"}}}
	for _, call := range []string{"POST /orders", "POST /orders/7", "post /orders/", "POST //orders", "POST /a/../orders", "GET /pay"} {
		method, path, _ := strings.Cut(call, " ")
		require.True(t, s.IsNonIdempotent(method, path), call)
	}
	for _, call := range []string{"GET /orders", "POST /orders-report", "POST /"} {
		method, path, _ := strings.Cut(call, " ")
		require.False(t, s.IsNonIdempotent(method, path), call)
	}
}

// Guards against computing a deadline in the wrong zone or in the past.
func TestDeadlineNext(t *testing.T) {
	s, findings := config.Compile(map[string][]byte{"a.yaml": []byte("priorities: {night: {class: 2, deadline: 05:30 Asia/Tokyo}}")})
	require.Empty(t, findings)
	at := time.Date(2027, 1, 10, 20, 30, 0, 0, time.UTC)
	require.Equal(t, "2027-01-12T05:30:00+09:00", s.Priorities["night"].Deadline.Next(at).Format(time.RFC3339))
	require.Equal(t, "2027-01-11T05:30:00+09:00", s.Priorities["night"].Deadline.Next(at.Add(-1)).Format(time.RFC3339))
}

// Guards against unreadable input that is accepted as an empty bundle, and against directories with
// the same base name.
func TestLoadFindings(t *testing.T) {
	root := t.TempDir()
	for _, name := range []string{"a/x/.hidden.yaml", "b/x/big.yaml", "c/empty/readme.txt"} {
		require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(root, name)), 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(root, name), make([]byte, config.MaxFileBytes+1), 0o644))
	}
	_, findings := config.Load(root+"/b/x", root+"/a/x", root+"/none")
	text := strings.ReplaceAll(findings.String(), root, "")
	require.Contains(t, text, "x/big.yaml:1:1: has 262145 bytes, the limit is 262144")
	require.Contains(t, text, `/a/x:1:1: another directory has the base name "x"`)
	require.Contains(t, text, "none:1:1: cannot be read")
	_, findings = config.Load(root + "/c/empty")
	require.Contains(t, findings.String(), "holds no *.yaml file")
	_, findings = config.Load(root + "/b/x/big.yaml")
	require.Contains(t, findings.String(), "is not a directory")
	require.NoError(t, os.Symlink(root+"/b/x", root+"/link"))
	_, findings = config.Load(root + "/link")
	require.Contains(t, findings.String(), "link/big.yaml:1:1: has 262145 bytes")
}

// Guards against input that causes a panic, and input that neither compiles nor yields findings.
func FuzzCompile(f *testing.F) {
	for _, dir := range []string{"testdata/bad/team-a", "testdata/bad/team-b", "../examples/fes/ledger", "../examples/kitaminato/ordering"} {
		bundle, _ := config.Load(dir)
		for _, name := range bundle.Paths() {
			f.Add(bundle.Files[name], []byte("limits: {}"))
		}
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		snapshot, findings := config.Compile(map[string][]byte{"a.yaml": a, "b.yaml": b})
		require.Equal(t, snapshot == nil, len(findings) > 0)
		for _, finding := range findings {
			require.Positive(t, finding.Line)
			require.Positive(t, finding.Column)
		}
	})
}

// BenchmarkCompile compiles a bundle of the size expected in two years: 1,600 engines and 680
// customers in 40 files.
func BenchmarkCompile(b *testing.B) {
	files := map[string][]byte{}
	for team := range 40 {
		var text strings.Builder
		fmt.Fprintf(&text, "services:\n  s%d: {kind: chat, model: m, select: {pool: p%d}}\nengines:\n", team, team)
		for i := range 40 {
			fmt.Fprintf(&text, "  e%d-%d: {addr: \"10.0.%d.%d:80\", data_centre: d, region: r, labels: {pool: p%d}}\n", team, i, team, i, team)
		}
		text.WriteString("customers:\n")
		for i := range 17 {
			fmt.Fprintf(&text, "  c%d-%d: {rate: 1, services: [s%d]}\n", team, i, team)
		}
		files[fmt.Sprintf("team%d/a.yaml", team)] = []byte(text.String())
	}
	for b.Loop() {
		_, findings := config.Compile(files)
		require.Empty(b, findings)
	}
}
