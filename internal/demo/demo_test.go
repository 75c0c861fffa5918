package demo

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
)

// Guards against a copy of the files in which an engine keeps its placeholder address, and against a
// planned stop that is missing from the files.
func TestExampleIsRewritten(t *testing.T) {
	example, err := LoadExample("testdata/sample")
	require.NoError(t, err)
	require.Len(t, example.firstService(kindChat).Engines, 10)
	require.Len(t, example.plainService().Engines, 4)
	require.Equal(t, "sample-key-sample-01", example.Customers[0].Key)

	dir := t.TempDir()
	require.NoError(t, example.Write(dir, map[string]string{"127.0.0.1:25001": "127.0.0.1:1"}))
	require.NoError(t, writeStop(dir, "engine-02"))
	copied, err := LoadExample(dir)
	require.Error(t, err, "the sample keys carry the name of the directory")
	require.Equal(t, "127.0.0.1:1", copied.firstService(kindChat).Engines[0].Addr)
	require.Equal(t, "127.0.0.1:25002", copied.firstService(kindChat).Engines[1].Addr)
	stopped, err := readStoppedEngines(dir)
	require.NoError(t, err)
	require.Equal(t, map[string]bool{"engine-02": true}, stopped)
}

// Guards against a report of success although a call was answered wrongly, lost, cut off or run
// twice.
func TestReportFails(t *testing.T) {
	fails := func(change func(r *run)) bool {
		r := &run{example: &Example{}, standIns: &StandIns{Services: map[string]*servicesim.Service{}}}
		r.traffic = newTraffic(Plan{}, r.example, nil)
		standIns, err := NewStandIns(r.example)
		require.NoError(t, err)
		defer standIns.Close()
		r.standIns = standIns
		change(r)
		r.fillReport()
		return r.report.Failed()
	}
	chat := func(kind callersim.Kind) func(*run) {
		return func(r *run) { r.traffic.tally.addChat(callersim.ChatResult{Kind: kind}, 0) }
	}
	require.False(t, fails(chat(callersim.Complete)))
	require.True(t, fails(chat(callersim.WrongAnswer)))
	require.True(t, fails(chat(callersim.NotRun)))
	require.True(t, fails(func(r *run) { r.traffic.tally.addResend(callersim.Cut, false, "") }))
	require.False(t, fails(func(r *run) { r.traffic.tally.addResend(callersim.Cut, true, "") }))
	require.True(t, fails(func(r *run) { r.traffic.orderKinds["k"] = callersim.Complete }))
	require.True(t, fails(func(r *run) {
		first := callersim.CallResult{Kind: callersim.Complete}
		second := callersim.CallResult{Kind: callersim.Complete, Receipt: servicesim.Receipt{Run: 2}}
		r.traffic.tally.compareDuplicates(first, second)
	}))
}

// Guards against a child process that is still alive after close.
func TestChildrenAreKilled(t *testing.T) {
	if os.Getenv("DEMO_TEST_CHILD") != "" {
		for {
			_ = syscall.Pause()
		}
	}
	t.Setenv("DEMO_TEST_CHILD", "1")
	children := &childProcesses{}
	log := filepath.Join(t.TempDir(), "log")
	args := []string{"-test.run", "^TestChildrenAreKilled$"}
	require.NoError(t, children.start(os.Args[0], args, log))
	child := children.children[0]
	children.close()
	children.close()
	require.ErrorIs(t, syscall.Kill(child.Process.Pid, 0), syscall.ESRCH)
	require.Equal(t, syscall.SIGKILL, child.ProcessState.Sys().(syscall.WaitStatus).Signal())
}

// Guards against a metric of which only one label set is read, and against bytes of one direction
// that are counted in the other.
func TestUsage(t *testing.T) {
	text := "bilberry_control_bytes_total{direction=\"sent\",kind=\"a\"} 3\nbilberry_control_bytes_total_x 9\n" +
		"bilberry_control_bytes_total{direction=\"sent\",kind=\"b\"} 4.5\n" +
		"bilberry_control_bytes_total{direction=\"received\",kind=\"b\"} 2\nbilberry_overflow_total 6\n"
	last, err := parseSeries(bufio.NewScanner(strings.NewReader(text)))
	require.NoError(t, err)
	u := usageBetween(map[int]metricValues{0: {}}, map[int]metricValues{0: last, 1: last}, time.Second)
	require.Equal(t, []float64{7.5}, u.sent)
	require.Equal(t, []float64{2}, u.received)
	require.Equal(t, "b 4, a 3", u.largestKinds("sent"))
	require.Equal(t, 6, u.counter("overflow"))
	_, err = parseSeries(bufio.NewScanner(strings.NewReader("other x\n")))
	require.Error(t, err)
}
