package admission_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

var update = flag.Bool("update", false, "rewrite the answers in testdata/session.txt")

func init() { _ = flag.Set("rapid.seed", "1") }

func Example() {
	home := admission.New(admission.Config{})
	home.Adopt(0, admission.Engine{ID: "e1", Pool: "chat", Slots: 1, Capacity: 1}, false)
	first := admission.Request{Attempt: "a1", Entry: "n1", Customer: "kiosk", Engine: "e1", MayQueue: true}
	second := first
	second.Attempt = "a2"
	fmt.Println(home.Offer(0, first).Kind, home.Offer(0, second).Kind)
	home.Release(time.Millisecond, "a1", admission.Done)
	fmt.Println(home.Decisions()[0].Attempt, home.Decisions())
	// Output:
	// granted queued
	// a2 []
}

// runLine executes one line of a session, "<milliseconds> <input> <engine or entry> <arguments>".
func runLine(home *admission.Home, guard *quarantine.Tracker, line string) string {
	var ms, n int
	var verb, id, arg, customer, flags string
	_, _ = fmt.Sscan(line, &ms, &verb, &id, &arg, &customer, &flags)
	now, engine, entry := time.Duration(ms)*time.Millisecond, fleet.EngineID(id), fleet.InstanceID(id)
	_, _ = fmt.Sscan(arg, &n)
	switch verb {
	case "adopt", "takeover":
		home.Adopt(now, admission.Engine{ID: engine, Pool: "chat", Slots: n, Capacity: 1}, verb == "takeover")
	case "drop":
		home.Drop(now, engine)
	case "pool":
		home.SetPool(now, "chat", n, 2)
	case "offer":
		d := home.Offer(now, admission.Request{Attempt: fleet.AttemptID(arg), Entry: "n1", Engine: engine,
			Customer: fleet.CustomerID(customer), Arrival: now, Class: admission.Class(strings.Count(flags, "b")),
			Deadline: map[bool]time.Duration{true: now + 6*time.Second}[strings.Contains(flags, "d")], Chat: 1,
			Fingerprint: fleet.Fingerprint(fleet.Hash(arg[:1])), MayQueue: strings.Contains(flags, "q"), NoRedirect: strings.Contains(flags, "l")})
		return formatDecision(d)
	case "release":
		return fmt.Sprintln(" ", home.Release(now, fleet.AttemptID(id), admission.Done))
	case "register":
		return fmt.Sprintln(" ", home.Register(now, "n2", []admission.Registration{{Attempt: fleet.AttemptID(arg), Engine: engine}}))
	case "complete":
		home.EntryComplete(now, entry, []fleet.EngineID{fleet.EngineID(arg)})
	case "peers":
		home.SetPeers(now, []fleet.InstanceID{"n1", "n2"})
	case "gone":
		return fmt.Sprintln(" ", home.InstanceGone(now, entry))
	case "drain":
		home.SetDraining(now, engine, arg == "on")
	case "crash":
		lost := home.Crash(now, engine)
		for _, l := range lost {
			guard.Crash(now, engine, uint64(ms), []fleet.Fingerprint{l.Fingerprint})
		}
		return fmt.Sprintln("  lost", len(lost))
	case "cache":
		event := admission.CacheEvent{Seq: uint64(n), At: now, Evicted: []fleet.ChatKey{7}}
		home.CacheEvent(engine, event)
		return fmt.Sprintln(" ", home.CacheStateOf(engine, 1))
	}
	home.Tick(now)
	return ""
}

func formatDecision(d admission.Decision) string {
	return fmt.Sprintf("  %s %s %s %s retry=%v waited=%v %s\n", d.Attempt, d.Kind, d.Reason, d.Engine, d.RetryAfter, d.Waited, d.CacheState)
}

// Guards against unintended changes of any answer in a whole session with a takeover, a queue, a
// crash, a gap in the cache events, a departed entry and messages that arrive twice or out of order.
func TestGoldenSession(t *testing.T) {
	want, err := os.ReadFile("testdata/session.txt")
	require.NoError(t, err)
	guard := quarantine.New(quarantine.Config{})
	home := admission.New(admission.Config{Guard: guard})
	var got bytes.Buffer
	var sent admission.Counts
	for line := range strings.Lines(string(want)) {
		if strings.HasPrefix(line, "  ") {
			continue
		}
		got.WriteString(line)
		if line[0] == '#' || line[0] == '\n' {
			continue
		}
		got.WriteString(runLine(home, guard, line))
		for _, d := range home.Decisions() {
			got.WriteString(formatDecision(d))
		}
		if s, ok := home.Status("e1"); ok {
			fmt.Fprintf(&got, "  e1 %+v\n", s)
		}
		counts := home.Counts()
		if delta := counts.Since(sent); !delta.Empty() {
			fmt.Fprintf(&got, "  heartbeat %+v\n", delta)
			sent = sent.Apply(delta)
		}
		require.Equal(t, fmt.Sprint(counts), fmt.Sprint(sent))
	}
	if *update {
		require.NoError(t, os.WriteFile("testdata/session.txt", got.Bytes(), 0o644))
	}
	require.Equal(t, string(want), got.String())
}
