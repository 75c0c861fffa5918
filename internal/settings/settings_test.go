package settings_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/settings"
)

var update = flag.Bool("update", false, "rewrite golden files")

// load loads settings with the given content and secret. It returns the findings without the path of
// the temporary directory.
func load(t *testing.T, content string, secret string) (settings.Settings, string) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "s.yaml"), []byte(content), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "fleet-secret"), []byte(secret), 0o600))
	s, findings := settings.Load(filepath.Join(dir, "s.yaml"))
	return s, strings.ReplaceAll(findings.String(), dir+"/", "")
}

// Guards against a sample file that lacks a field or whose documented defaults differ from the code.
func TestSampleStatesTheDefaults(t *testing.T) {
	sample, err := os.ReadFile("../../examples/bilberrywelld.yaml")
	require.NoError(t, err)
	secret := strings.Repeat("0123456789abcdef", 2)
	s, findings := load(t, string(sample), secret+"\n")
	require.Empty(t, findings)
	require.Equal(t, secret, string(s.FleetSecret))
	require.NotContains(t, fmt.Sprintf("%v %+v %#v", s, s, s), secret)
	required := "instance: entry-1\ndata_centre: sapporo\nregion: hokkaido\ncaller_addr: 127.0.0.1:20001\n" +
		"peer_addr: 127.0.0.1:20101\nadmin_addr: 127.0.0.1:20201\nstore_addr: 127.0.0.1:20900\nfleet_secret_file: fleet-secret\n"
	defaults, findings := load(t, required, secret)
	require.Empty(t, findings)
	s.FleetSecretFile, defaults.FleetSecretFile = "", ""
	require.Equal(t, defaults, s)
	_, unknown := load(t, "nothing: 1\n", secret)
	knownFields := strings.Split(strings.SplitN(strings.SplitN(unknown, "known are ", 2)[1], "\n", 2)[0], ", ")
	for _, field := range knownFields {
		require.Contains(t, string(sample), field+": ")
	}
}

// Guards against a fault that is reported only after an earlier one is fixed.
func TestAllFindingsAtOnce(t *testing.T) {
	bad, err := os.ReadFile("testdata/bad.yaml")
	require.NoError(t, err)
	_, findings := load(t, string(bad), "short")
	if *update {
		require.NoError(t, os.WriteFile("testdata/bad.golden", []byte(findings+"\n"), 0o644))
	}
	want, err := os.ReadFile("testdata/bad.golden")
	require.NoError(t, err)
	require.Equal(t, string(want), findings+"\n")
}
