//go:build review

// Command bed-3 plays the scripted cases of the third review. It starts the project's gateways as processes of their own, and plays the
// platform's store, the engines, the operator and the clients on loopback addresses.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	"github.com/bilberrywell/bilberrywell/platform/standin"
	"github.com/bilberrywell/bilberrywell/platform/standin/subprocess"
)

// heartbeat is the interval at which engines write their entries, as the settings of a small deployment name it.
const heartbeat = 1200 * time.Millisecond

// bed is the deployment of one run.
type bed struct {
	store    *standin.Server
	gateways []*subprocess.Gateway
	engines  []*engine
	trouble  string
	began    time.Time

	mu     sync.Mutex
	record *os.File
	// storeAway is set while engines and the operator can't write to the store.
	storeAway bool
}

// logf adds a line to the record.
func (b *bed) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// settingsText holds the settings that the template of the deploy file renders for a small deployment, without the addresses.
const settingsText = `region: hokkaido
seeds: [%s]
stop_grace: 8s
retry_ratio: 0.2
retry_reserve: 54
retry_window: 10s
load_limit: 2
contracts: [base, drain, config, cost, retry, recover, engine, stream, tenants, platform]
log_lines: 2000
`

// startGateways starts n gateways and waits until they are ready.
func (b *bed) startGateways(daemon, dir string, n int) error {
	for i := range n {
		g, err := subprocess.NewGateway(daemon, dir, fmt.Sprintf("front-%d", i+1), b.store.Addr, fmt.Sprintf(settingsText, ""))
		if err != nil {
			return err
		}
		command := g.Command
		g.Command = func() *exec.Cmd {
			cmd := command()
			// The gateway ends with this process, however that ends.
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			return cmd
		}
		b.gateways = append(b.gateways, g)
		if err := g.Start(); err != nil {
			return err
		}
	}
	return b.awaitReady(10 * time.Second)
}

func (b *bed) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, g := range b.gateways {
		for !g.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %s", g.LogPath, g.LastLines())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// publish writes a configuration as the operator does.
func (b *bed) publish(config map[string]any) {
	value, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	b.store.Put("op/config", value)
	b.logf("operator writes configuration %v", config["version"])
}

// addEngine starts an engine on a free address and its heartbeat.
func (b *bed) addEngine(e *engine) error {
	addrs, err := simutil.FreeAddrs(1)
	if err != nil {
		return err
	}
	e.addr, e.bed = addrs[0], b
	b.engines = append(b.engines, e)
	return e.start()
}

func (b *bed) close() {
	for _, g := range b.gateways {
		g.Kill()
	}
	for _, e := range b.engines {
		e.stop()
	}
	if b.store != nil {
		_ = b.store.Close()
	}
}

// setStoreAway lets the store refuse all calls, or answer again. Engines and the operator can't write meanwhile.
func (b *bed) setStoreAway(away bool) {
	b.mu.Lock()
	b.storeAway = away
	b.mu.Unlock()
	if away {
		b.store.SetFault(standin.Refusing)
	} else {
		b.store.SetFault(standin.NoFault)
	}
}

func (b *bed) away() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.storeAway
}

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

var cases = map[string]func(b *bed, daemon, dir string) (int, error){}

func main() {
	name := flag.String("case", "", "case to play")
	daemon := flag.String("daemon", "target/bilberrywelld", "path of the daemon")
	path := flag.String("record", "", "file to write the record to")
	flag.Parse()
	if *engineAddr != "" {
		runEngineProcess(*engineAddr, *engineID)
		return
	}
	os.Exit(play(*name, *daemon, *path))
}

func play(name, daemon, path string) int {
	run := cases[name]
	record, err := os.Create(path)
	if run == nil || err != nil {
		fmt.Println("no such case, or no record:", name, err)
		return notPlayed
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Println(err)
		return notPlayed
	}
	defer os.RemoveAll(dir)
	b := &bed{record: record, began: time.Now(), trouble: os.Getenv("TROUBLE")}
	if b.trouble == "" {
		b.trouble = "1"
	}
	defer b.close()
	if b.store, err = standin.ServeStore("127.0.0.1:0"); err != nil {
		fmt.Println(err)
		return notPlayed
	}
	absolute, err := filepath.Abs(daemon)
	if err != nil {
		fmt.Println(err)
		return notPlayed
	}
	code, err := run(b, absolute, dir)
	if err != nil {
		b.logf("not played: %v", err)
		fmt.Println("not played:", err)
		return notPlayed
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	return code
}

// conclude writes the result to the record and to standard output.
func (b *bed) conclude(violated bool, format string, args ...any) (int, error) {
	text := fmt.Sprintf(format, args...)
	code, word := held, "held"
	if violated {
		code, word = broken, "BROKEN"
	}
	b.logf("rule %s: %s", word, text)
	fmt.Printf("rule %s: %s\n", word, text)
	return code, nil
}
