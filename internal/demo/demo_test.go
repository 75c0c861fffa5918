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

// Guards against a copy of the files that leaves an engine at its placeholder address, and
// against a planned stop that the files do not say.
func TestExampleIsRewritten(t *testing.T) {
	example, err := LoadExample("testdata/sample")
	require.NoError(t, err)
	require.Len(t, example.first(kindChat).Engines, 10)
	require.Len(t, example.plain().Engines, 4)
	require.Equal(t, "sample-key-sample-01", example.Customers[0].Key)

	dir := t.TempDir()
	require.NoError(t, example.Write(dir, map[string]string{"127.0.0.1:25001": "127.0.0.1:1"}))
	require.NoError(t, writeStop(dir, "engine-02"))
	copied, err := LoadExample(dir)
	require.Error(t, err, "the sample keys carry the name of the directory")
	require.Equal(t, "127.0.0.1:1", copied.first(kindChat).Engines[0].Addr)
	require.Equal(t, "127.0.0.1:25002", copied.first(kindChat).Engines[1].Addr)
	stopped, err := stoppedEngines(dir)
	require.NoError(t, err)
	require.Equal(t, map[string]bool{"engine-02": true}, stopped)
}

// Guards against a driver that reports success after a wrong, lost, cut or doubled call.
func TestReportFails(t *testing.T) {
	verdict := func(change func(r *run)) bool {
		r := &run{example: &Example{}, world: &World{Services: map[string]*servicesim.Service{}}}
		r.traffic = newTraffic(Plan{}, r.example, nil)
		world, err := NewWorld(r.example)
		require.NoError(t, err)
		defer world.Close()
		r.world = world
		change(r)
		r.fill()
		return r.report.Failed()
	}
	chat := func(kind callersim.Kind) func(*run) {
		return func(r *run) { r.traffic.tally.chat(callersim.ChatResult{Kind: kind}, 0) }
	}
	require.False(t, verdict(chat(callersim.OK)))
	require.True(t, verdict(chat(callersim.Wrong)))
	require.True(t, verdict(chat(callersim.NotRun)))
	require.True(t, verdict(func(r *run) { r.traffic.tally.resend(callersim.Cut, false, "") }))
	require.False(t, verdict(func(r *run) { r.traffic.tally.resend(callersim.Cut, true, "") }))
	require.True(t, verdict(func(r *run) { r.traffic.orders["k"] = callersim.OK }))
	require.True(t, verdict(func(r *run) {
		first := callersim.CallResult{Kind: callersim.OK}
		second := callersim.CallResult{Kind: callersim.OK, Receipt: servicesim.Receipt{Run: 2}}
		r.traffic.tally.resent(first, second)
	}))
}

// Guards against a child that outlives the driver.
func TestChildrenAreKilled(t *testing.T) {
	if os.Getenv("DEMO_TEST_CHILD") != "" {
		for {
			_ = syscall.Pause()
		}
	}
	t.Setenv("DEMO_TEST_CHILD", "1")
	children := &processes{}
	log := filepath.Join(t.TempDir(), "log")
	args := []string{"-test.run", "^TestChildrenAreKilled$"}
	require.NoError(t, children.start(os.Args[0], args, log))
	child := children.children[0]
	children.close()
	children.close()
	require.ErrorIs(t, syscall.Kill(child.Process.Pid, 0), syscall.ESRCH)
	require.Equal(t, syscall.SIGKILL, child.ProcessState.Sys().(syscall.WaitStatus).Signal())
}

// Guards against a metric with labels that is read as one label set only, and against bytes
// of one direction that are counted in the other.
func TestUsage(t *testing.T) {
	text := "bilberry_control_bytes_total{direction=\"sent\",kind=\"a\"} 3\nbilberry_control_bytes_total_x 9\n" +
		"bilberry_control_bytes_total{direction=\"sent\",kind=\"b\"} 4.5\n" +
		"bilberry_control_bytes_total{direction=\"received\",kind=\"b\"} 2\nbilberry_overflow_total 6\n"
	last, err := parseSeries(bufio.NewScanner(strings.NewReader(text)))
	require.NoError(t, err)
	u := usageOf(map[int]series{0: {}}, map[int]series{0: last, 1: last}, time.Second)
	require.Equal(t, []float64{7.5}, u.sent)
	require.Equal(t, []float64{2}, u.received)
	require.Equal(t, "b 4, a 3", u.largest("sent"))
	require.Equal(t, 6, u.counter("overflow"))
	_, err = parseSeries(bufio.NewScanner(strings.NewReader("other x\n")))
	require.Error(t, err)
}
