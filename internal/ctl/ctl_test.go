package ctl_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/ctl"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/revision"
	"github.com/bilberrywell/bilberrywell/timeline"
)

var update = flag.Bool("update", false, "rewrite golden files")

// memoryStore is a key-value service in memory that fails one call.
type memoryStore struct {
	platform.RecordStore
	mutex     sync.Mutex
	entries   map[string]platform.Entry
	instances []platform.Instance
	// failAt is the number of the call that fails with fault; calls counts from 1.
	calls, failAt int
	fault         string
}

// nextFault counts a call and returns the fault to inject into it, or an empty string.
func (m *memoryStore) nextFault() string {
	m.calls++
	if m.calls == m.failAt {
		return m.fault
	}
	return ""
}

func (m *memoryStore) Get(_ context.Context, key string) (platform.Entry, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.nextFault() != "" {
		return platform.Entry{}, platform.ErrUnavailable
	}
	if entry, ok := m.entries[key]; ok {
		return entry, nil
	}
	return platform.Entry{}, platform.ErrNotFound
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, value []byte, expect uint64) (uint64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fault := m.nextFault()
	switch {
	case fault == "unavailable":
		return 0, platform.ErrUnavailable
	case fault == "dropped":
		return 0, platform.ErrUnknown
	case m.entries[key].Revision != expect:
		return 0, platform.ErrConflict
	}
	m.entries[key] = platform.Entry{Value: value, Revision: expect + 1}
	if fault == "answer lost" {
		return 0, platform.ErrUnknown
	}
	return expect + 1, nil
}

func (m *memoryStore) Instances(context.Context) ([]platform.Instance, error) {
	return m.instances, nil
}

// timelines holds the events of each instance. The clock of entry-2 is behind, so its event follows
// the one of entry-1 only because of its cause.
var timelines = map[string]string{
	"entry-1": `[{"instance":"entry-1","incarnation":"7","sequence":1,"hlc":"131072000","kind":"attempt_started","request":"entry-1-1","chat":"255","engine":"e1"},
		{"instance":"entry-1","incarnation":"7","sequence":2,"hlc":"262144000","kind":"request_ended","request":"entry-1-1","chat":"255","engine":"e1","detail":{"detail":"complete"}}]`,
	"entry-2": `[{"instance":"entry-2","incarnation":"8","sequence":1,"hlc":"65536000","kind":"home_taken","engine":"e1","from_a_newer_daemon":1,
		"cause":{"instance":"entry-1","incarnation":"7","sequence":1}}]`,
}

// rejectingDataCentre is the data centre of instances that reject bundles.
const rejectingDataCentre = "otaru"

// startInstance starts a fake admin listener of an instance and adds the instance to the list.
func startInstance(t *testing.T, m *memoryStore, id string, dc fleet.DataCentre) {
	adopter := revision.NewAdopter(func(files map[string][]byte) error {
		_, findings := config.Compile(files)
		return findings.Err()
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.PathStatus, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "Bearer fleet-secret", r.Header.Get("Authorization"))
		_ = json.NewEncoder(w).Encode(adminapi.Status{Instance: fleet.InstanceID(id), DataCentre: dc, Ready: true,
			Version: adopter.Current().Version, Engines: []adminapi.Engine{{ID: "e1", Home: "entry-1", InFlight: 3, Bound: 9}}})
	})
	mux.HandleFunc("GET "+adminapi.PathTimeline, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, cmp.Or(timelines[id], "[]"))
	})
	mux.HandleFunc("POST "+adminapi.PathConfig, func(w http.ResponseWriter, r *http.Request) {
		var request adminapi.ConfigRequest
		require.NoError(t, json.NewDecoder(r.Body).Decode(&request))
		manifest, err := revision.Decode(request.Manifest)
		require.NoError(t, err)
		if dc == rejectingDataCentre {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		result := adopter.Offer(manifest)
		for _, content := range request.Files {
			adopter.Add(content)
		}
		_ = json.NewEncoder(w).Encode(adminapi.ConfigResponse{Outcome: result.Outcome.String(), Version: adopter.Current().Version})
	})
	mux.HandleFunc("POST "+adminapi.PathDrain, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	m.instances = append(m.instances, platform.Instance{ID: fleet.InstanceID(id), AdminAddr: strings.TrimPrefix(server.URL, "http://"), DataCentre: dc})
}

// session runs commands on a directory of files and records their output in transcript.
type session struct {
	t          *testing.T
	root       string
	store      *memoryStore
	transcript strings.Builder
	// cancelAfterSleeps is the number of sleeps after which a command's context is canceled.
	cancelAfterSleeps int
	// stdout is the standard output of the last command.
	stdout string
}

func newSession(t *testing.T) *session {
	s := &session{t: t, root: t.TempDir(), store: &memoryStore{entries: map[string]platform.Entry{}}}
	s.write("secret", "fleet-secret\n")
	s.write("chat/a.yaml", "services:\n  chat: {kind: chat, model: m, engines: [e1]}\nengines:\n  e1: {addr: \"127.0.0.1:9\", data_centre: d, region: r}\n")
	s.write("desk/c.yaml", "customers:\n  desk: {rate: 5, services: [chat]}\n")
	return s
}

func (s *session) write(name, content string) {
	require.NoError(s.t, os.MkdirAll(filepath.Dir(filepath.Join(s.root, name)), 0o755))
	require.NoError(s.t, os.WriteFile(filepath.Join(s.root, name), []byte(content), 0o600))
}

// run executes a command line, in which @ stands for the directory, and returns the exit code.
func (s *session) run(line string) int {
	var out, stdout bytes.Buffer
	env := map[string]string{"BILBERRY_STORE": "127.0.0.1:1", "BILBERRY_SECRET_FILE": s.root + "/secret", "USER": "aya"}
	app := ctl.New(io.MultiWriter(&out, &stdout), &out, nil)
	app.Getenv = func(name string) string { return env[name] }
	now := time.Date(2027, 1, 10, 2, 0, 30, 0, time.UTC)
	app.Now = func() time.Time { return now }
	app.Random = bytes.NewReader(bytes.Repeat([]byte{byte(s.store.calls)}, 64))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sleeps := 0
	app.Sleep = func(_ context.Context, d time.Duration) {
		now = now.Add(d)
		if sleeps++; sleeps == s.cancelAfterSleeps {
			cancel()
		}
	}
	app.Connect = func(string) (platform.RecordStore, platform.Directory) { return s.store, s.store }
	code := app.Run(ctx, strings.Fields(strings.ReplaceAll(line, "@", s.root+"/")))
	s.stdout = stdout.String()
	fmt.Fprintf(&s.transcript, "$ bilberryctl %s\n%sexit %d\n\n", line, strings.ReplaceAll(out.String(), s.root, ""), code)
	return code
}

// Guards against an unintended change of the output or the exit code of any command.
func TestSessionGolden(t *testing.T) {
	s := newSession(t)
	startInstance(t, s.store, "entry-1", "sapporo")
	for _, line := range []string{"check @chat @desk", "check @desk", "publish @desk", "publish @chat @desk -wait", "publish @chat -as ben"} {
		s.run(line)
	}
	s.write("desk/c.yaml", "customers:\n  desk: {rate: 7, services: [chat]}\n  new: {rate: 1}\n")
	s.write("desk/l.yaml", "limits: {queue_length: 9}\n")
	for _, line := range []string{"diff @desk", "publish @desk -wait -output json", "publish @chat @desk -base 1", "check @desk -published"} {
		s.run(line)
	}
	s.write("chat/a.yaml", "services: {}\n")
	s.write("desk/c.yaml", "customers:\n  desk: {rate: 8, services: [chat]}\n")
	for _, line := range []string{"publish @chat", "publish -base 1 @desk", "rollback 1 -wait -as ben", "rollback 9", "rollback x", "diff @desk -output json",
		"status", "timeline -engine e1", "drain entry-1", "drain entry-2", "stop e1 -for 30m",
		"stop entry-1 -at 2027-01-10T02:00:00+09:00 -for 1h -output json", "stop e1", "stop nothing -for 1s", "keygen",
		"version extra", "check @none -output json", "frobnicate", "status -colour"} {
		s.run(line)
	}
	startInstance(t, s.store, "entry-2", "asahikawa")
	for _, line := range []string{"status", "timeline", "timeline -engine e1 -instance entry-2", "timeline -chat 00000000000000ff -kind request_ended -output json",
		"timeline -chat 255 -request entry-1-1", "timeline -chat ff", "timeline -instance entry-3 -output json", "timeline -html @page.html",
		"timeline -html @none/page.html", "publish @desk -wait-timeout 0s -wait"} {
		s.run(line)
	}
	page, err := os.ReadFile(filepath.Join(s.root, "page.html"))
	require.NoError(t, err)
	require.Contains(t, string(page), "home_taken")
	s.store.instances = append(s.store.instances, platform.Instance{ID: "entry-9", AdminAddr: "127.0.0.1:none"})
	require.Equal(t, ctl.ExitFailed, s.run("status -output json"))
	require.Equal(t, ctl.ExitFailed, s.run("timeline -kind home_taken"))
	golden := "testdata/session.golden"
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(golden, []byte(s.transcript.String()), 0o644))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), s.transcript.String())
}

// Guards against a publish that is lost, applied twice or reported wrongly when any one of its calls
// to the store fails.
func TestPublishFaultMatrix(t *testing.T) {
	faultless := newSession(t)
	faultless.run("publish @chat")
	before := faultless.store.calls
	faultless.run("publish @chat @desk")
	steps := faultless.store.calls - before
	for _, fault := range []string{"unavailable", "dropped", "answer lost"} {
		for step := 1; step <= steps; step++ {
			s := newSession(t)
			s.run("publish @chat")
			s.store.failAt, s.store.fault = s.store.calls+step, fault
			require.Equal(t, ctl.ExitOK, s.run("publish @chat @desk"), "%s at %d: %s", fault, step, &s.transcript)
			head, err := revision.Decode(s.store.entries[revision.HeadKey].Value)
			require.NoError(t, err)
			require.Equal(t, uint64(2), head.Version, "%s at %d", fault, step)
			require.Contains(t, head.Files, "desk/c.yaml")
			require.Contains(t, s.store.entries, revision.VersionKey(1))
		}
	}
}

// Guards against a wait that reports success before the last instance has the version.
func TestWaitReportsLaggingInstances(t *testing.T) {
	s := newSession(t)
	startInstance(t, s.store, "entry-1", "sapporo")
	startInstance(t, s.store, "entry-2", rejectingDataCentre)
	s.cancelAfterSleeps = 3
	require.Equal(t, ctl.ExitNotInForce, s.run("publish @chat -wait"))
	require.Contains(t, s.transcript.String(), "version 1 is accepted but not in force on entry-2")
}

// Guards against a wait that continues after -wait-timeout.
func TestWaitEndsAtItsTimeout(t *testing.T) {
	s := newSession(t)
	startInstance(t, s.store, "entry-1", rejectingDataCentre)
	require.Equal(t, ctl.ExitNotInForce, s.run("publish @chat -wait -wait-timeout 2s"))
	require.Contains(t, s.transcript.String(), "version 1 is accepted but not in force on entry-1")
}

// Guards against a hand-over whose copies are all in one data centre, are fewer than three because
// an instance does not answer, or include a leaving instance.
func TestHandOverSpreads(t *testing.T) {
	s := newSession(t)
	for _, i := range []struct {
		id string
		dc fleet.DataCentre
	}{{"a", "sapporo"}, {"b", "sapporo"}, {"c", "sapporo"}, {"d", rejectingDataCentre}, {"e", "asahikawa"}} {
		startInstance(t, s.store, i.id, i.dc)
	}
	s.store.instances = append(s.store.instances, platform.Instance{ID: "f", DataCentre: "abashiri", Leaving: true, AdminAddr: "127.0.0.1:none"})
	require.Equal(t, ctl.ExitOK, s.run("publish @chat"))
	require.Contains(t, s.stdout, "handed to a, e, b\n")
	require.Contains(t, s.transcript.String(), "bilberryctl: d: ")
}

// Guards against status reporting one version for a fleet whose instances have two.
func TestStatusComparesVersions(t *testing.T) {
	s := newSession(t)
	startInstance(t, s.store, "entry-1", "sapporo")
	startInstance(t, s.store, "entry-2", rejectingDataCentre)
	s.run("publish @chat")
	require.Equal(t, ctl.ExitOK, s.run("status"))
	require.Contains(t, s.stdout, "live instances DIFFER: version 1 on 1 (entry-1), version 0 on 1 (entry-2)")
	s.run("status -output json")
	require.Contains(t, s.stdout, `"same_version": false`)
}

// Guards against a time line without the newest events when an instance's events take several pages.
func TestTimelineReadsAllPages(t *testing.T) {
	s := newSession(t)
	const total = 2*timeline.DefaultCapacity + 1
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.Atoi(r.URL.Query().Get("after"))
		require.NoError(t, err)
		page := []timeline.Event{}
		for n := after + 1; n <= min(total, after+timeline.DefaultCapacity); n++ {
			page = append(page, timeline.Event{Instance: "entry-1", Sequence: uint64(n), Kind: "ready"})
		}
		_ = json.NewEncoder(w).Encode(page)
	}))
	t.Cleanup(server.Close)
	s.store.instances = []platform.Instance{{ID: "entry-1", AdminAddr: strings.TrimPrefix(server.URL, "http://")}}
	require.Equal(t, ctl.ExitOK, s.run("timeline"))
	require.Equal(t, total, strings.Count(s.stdout, "\n"))
}

// Guards against status not showing that every instance rejects the published version.
func TestStatusShowsRefusedVersion(t *testing.T) {
	s := newSession(t)
	startInstance(t, s.store, "entry-1", rejectingDataCentre)
	s.run("publish @chat")
	require.Equal(t, ctl.ExitOK, s.run("status"))
	require.Contains(t, s.stdout, "all 1 live instances have version 0; the published version 1 is NOT in force")
}

// Guards against a command without help text, exit codes or JSON output.
func TestHelp(t *testing.T) {
	s := newSession(t)
	startInstance(t, s.store, "entry-1", "sapporo")
	s.run("help")
	require.Contains(t, s.stdout, "Exit codes:")
	for name, args := range map[string]string{"check": "@chat", "publish": "@chat", "diff": "@chat", "rollback": "1", "status": "", "timeline": "",
		"drain": "entry-1", "stop": "entry-1 -for 1m", "keygen": "", "version": ""} {
		require.Contains(t, s.transcript.String(), "\n  "+name)
		require.Equal(t, ctl.ExitOK, s.run("help "+name))
		require.Contains(t, s.stdout, "Exit codes:")
		require.Contains(t, s.stdout, "-output")
		require.Equal(t, ctl.ExitOK, s.run(name+" -h"))
		s.run("publish @chat")
		require.Equal(t, ctl.ExitOK, s.run(name+" "+args+" -output json"))
		require.True(t, json.Valid([]byte(s.stdout)), s.stdout)
	}
}
