package capacity

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/harness"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	userplatform "github.com/bilberrywell/bilberrywell/platform"
	"github.com/bilberrywell/bilberrywell/platform/standin"
	"github.com/bilberrywell/bilberrywell/revision"
)

const (
	loopback   = "127.0.0.1:0"
	callerKey  = "capacity-caller"
	enginesPer = 3
	startLimit = 60 * time.Second
	// storeWrites and storeReads are the calls per second that the stand-in of the store carries out.
	storeWrites = 300
	storeReads  = 2000
)

// processes is a fleet of daemon processes of one region with stand-ins in this process.
type processes struct {
	dir      string
	store    *standin.Server
	servers  []*simutil.Server
	engines  []string
	children []*exec.Cmd
	// admin holds the admin addresses of the instances.
	admin   []string
	callers []string
	version uint64
}

// startProcesses starts n daemons. The goroutine must be locked to its thread, because the
// kernel kills a child when the thread that started it ends.
func startProcesses(bin, dir string, n int) (*processes, error) {
	store, err := standin.ServeStore(loopback)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	store.SetRates(standin.Rates{Writes: storeWrites, Reads: storeReads})
	p := &processes{dir: dir, store: store}
	if err := p.startEngines(n * enginesPer); err != nil {
		return p, err
	}
	files, err := p.writeSettings(n)
	if err != nil {
		return p, err
	}
	if _, err := p.publish(p.files(0)); err != nil {
		return p, err
	}
	for i, file := range files {
		if err := p.start(filepath.Join(bin, "bilberrywelld"), file, p.logFile(i)); err != nil {
			return p, err
		}
	}
	return p, p.awaitVersion(p.version, startLimit)
}

func (p *processes) startEngines(n int) error {
	for i := range n {
		engine := enginesim.New(enginesim.Options{ID: string(engineID(i)), Model: "chat", Slots: 64, TokensPerSecond: 500, FirstToken: time.Millisecond})
		server, err := engine.Start(loopback)
		if err != nil {
			return oops.Wrap(err)
		}
		p.servers = append(p.servers, server)
		p.engines = append(p.engines, server.Addr)
	}
	return nil
}

func (p *processes) writeSettings(n int) ([]string, error) {
	secret := filepath.Join(p.dir, "secret")
	if err := os.WriteFile(secret, []byte(rand.Text()+rand.Text()), 0o600); err != nil {
		return nil, oops.Wrap(err)
	}
	addrs, err := simutil.FreeAddrs(3 * n)
	if err != nil {
		return nil, err
	}
	files := make([]string, n)
	for i := range files {
		a := addrs[3*i : 3*i+3]
		id := fmt.Sprintf("instance-%04d", i)
		dc := fmt.Sprint("dc-", i%3)
		text := fmt.Sprintf("instance: %s\ndata_centre: %s\nregion: region\ncaller_addr: %q\npeer_addr: %q\nadmin_addr: %q\nstore_addr: %q\nfleet_secret_file: %q\n",
			id, dc, a[0], a[1], a[2], p.store.Addr, secret)
		files[i] = filepath.Join(p.dir, id+".yaml")
		if err := os.WriteFile(files[i], []byte(text), 0o600); err != nil {
			return nil, oops.Wrap(err)
		}
		p.callers = append(p.callers, "http://"+a[0])
		p.admin = append(p.admin, a[2])
	}
	return files, nil
}

// start starts a child that ends with this process.
func (p *processes) start(name, settings, logFile string) error {
	log, err := os.Create(logFile)
	if err != nil {
		return oops.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	child := exec.Command(name, "-settings", settings)
	child.Stdout, child.Stderr = log, log
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := child.Start(); err != nil {
		return oops.Wrapf(err, "start %s", name)
	}
	p.children = append(p.children, child)
	return nil
}

func (p *processes) logFile(i int) string { return filepath.Join(p.dir, fmt.Sprintf("%04d.log", i)) }

// close kills the children by their process ids and stops the stand-ins.
func (p *processes) close() {
	for _, child := range p.children {
		_ = child.Process.Kill()
		// Wait reports the signal as an error; the child has ended all the same.
		_ = child.Wait()
	}
	for _, server := range p.servers {
		_ = server.Close()
	}
	_ = p.store.Close()
}

// files returns a configuration of the target's size: the engines of this fleet, and the
// target's engines in a region without instances, which nobody probes.
func (p *processes) files(change int) map[string][]byte {
	size := Target
	far := size.files()
	files := make(map[string][]byte)
	for name, content := range far {
		files[name] = []byte(strings.ReplaceAll(string(content), "region: region-", "region: far-"))
	}
	var chat strings.Builder
	chat.WriteString("services:\n  chat:\n    kind: chat\n    model: chat\n    engines:\n")
	for i, addr := range p.engines {
		fmt.Fprintf(&chat, "      - {id: local-%d, addr: %q, data_centre: dc-%d, region: region, slots: 64, reports_load: true}\n", i, addr, i%3)
	}
	files["chat.yaml"] = []byte(chat.String())
	digest := sha256.Sum256([]byte(callerKey))
	files["caller.yaml"] = fmt.Appendf(nil, "customers:\n  caller:\n    rate: %d\n    burst: 10000\n    keys: [%s]\n", 10000+change, hex.EncodeToString(digest[:]))
	files["customers.yaml"] = append(harness.Customers(size.Customers, 100), fmt.Sprintf("# change %d\n", change)...)
	return files
}

// publish puts files in force as the next version and returns the time of its acceptance.
func (p *processes) publish(files map[string][]byte) (time.Time, error) {
	ctx := context.Background()
	records := platform.NewRecords(userplatform.NewStore(p.store.Addr, nil))
	for digest, content := range blobsOf(files) {
		// A blob that exists is as good as a new one.
		_, _ = records.CompareAndSwap(ctx, revision.BlobKey(digest), content, 0)
	}
	head, _ := records.Get(ctx, revision.HeadKey)
	manifest := revision.Manifest{
		Version: p.version + 1, PublishID: fmt.Sprint("publish-", p.version+1), Files: revision.Digests(files), Publisher: "capacity",
	}
	_, err := records.CompareAndSwap(ctx, revision.HeadKey, manifest.Encode(), head.Revision)
	if err != nil {
		return time.Time{}, oops.Wrap(err)
	}
	p.version++
	return time.Now(), nil
}
