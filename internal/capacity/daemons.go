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
	loopback           = "127.0.0.1:0"
	callerKey          = "capacity-caller"
	enginesPerInstance = 3
	startTimeout       = 60 * time.Second
	// storeWrites and storeReads are the maximum calls per second that the stand-in of the store
	// serves.
	storeWrites = 300
	storeReads  = 2000
)

// daemonFleet is a fleet of daemon processes in one region. The stand-ins of its store and engines run
// in this process.
type daemonFleet struct {
	dir           string
	store         *standin.Server
	engineServers []*simutil.Server
	engineAddrs   []string
	daemons       []*exec.Cmd
	// adminAddrs and callerURLs hold the admin address and the URL for callers of each instance.
	adminAddrs []string
	callerURLs []string
	version    uint64
}

// startDaemonFleet starts n daemons and waits until they have the first version in force. The
// calling goroutine must be locked to its thread, because the kernel kills a child process when the
// thread that started it ends.
func startDaemonFleet(bin, dir string, n int) (*daemonFleet, error) {
	store, err := standin.ServeStore(loopback)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	store.SetRates(standin.Rates{Writes: storeWrites, Reads: storeReads})
	p := &daemonFleet{dir: dir, store: store}
	if err := p.startEngines(n * enginesPerInstance); err != nil {
		return p, err
	}
	files, err := p.writeSettings(n)
	if err != nil {
		return p, err
	}
	if _, err := p.publish(p.configFiles(0)); err != nil {
		return p, err
	}
	for i, file := range files {
		if err := p.startDaemon(filepath.Join(bin, "bilberrywelld"), file, p.logFile(i)); err != nil {
			return p, err
		}
	}
	return p, p.awaitVersion(p.version, startTimeout)
}

func (p *daemonFleet) startEngines(n int) error {
	for i := range n {
		engine := enginesim.New(enginesim.Options{ID: string(engineID(i)), Model: "chat", Slots: 64, TokensPerSecond: 500, FirstToken: time.Millisecond})
		server, err := engine.Start(loopback)
		if err != nil {
			return oops.Wrap(err)
		}
		p.engineServers = append(p.engineServers, server)
		p.engineAddrs = append(p.engineAddrs, server.Addr)
	}
	return nil
}

func (p *daemonFleet) writeSettings(n int) ([]string, error) {
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
		p.callerURLs = append(p.callerURLs, "http://"+a[0])
		p.adminAddrs = append(p.adminAddrs, a[2])
	}
	return files, nil
}

// startDaemon starts a daemon. The kernel kills it when this process ends.
func (p *daemonFleet) startDaemon(name, settings, logFile string) error {
	log, err := os.Create(logFile)
	if err != nil {
		return oops.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	daemon := exec.Command(name, "-settings", settings)
	daemon.Stdout, daemon.Stderr = log, log
	daemon.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := daemon.Start(); err != nil {
		return oops.Wrapf(err, "start %s", name)
	}
	p.daemons = append(p.daemons, daemon)
	return nil
}

func (p *daemonFleet) logFile(i int) string { return filepath.Join(p.dir, fmt.Sprintf("%04d.log", i)) }

// close kills the daemons by their process ids and stops the stand-ins.
func (p *daemonFleet) close() {
	for _, daemon := range p.daemons {
		_ = daemon.Process.Kill()
		// Wait returns the signal as an error although the daemon has ended.
		_ = daemon.Wait()
	}
	for _, server := range p.engineServers {
		_ = server.Close()
	}
	_ = p.store.Close()
}

// configFiles returns a configuration of TargetSize. It has the engines of this fleet, and the
// engines of TargetSize in regions without instances, so that nobody probes them.
func (p *daemonFleet) configFiles(change int) map[string][]byte {
	size := TargetSize
	remote := size.configFiles()
	files := make(map[string][]byte)
	for name, content := range remote {
		files[name] = []byte(strings.ReplaceAll(string(content), "region: region-", "region: far-"))
	}
	var chat strings.Builder
	chat.WriteString("services:\n  chat:\n    kind: chat\n    model: chat\n    engines:\n")
	for i, addr := range p.engineAddrs {
		fmt.Fprintf(&chat, "      - {id: local-%d, addr: %q, data_centre: dc-%d, region: region, slots: 64, reports_load: true}\n", i, addr, i%3)
	}
	files["chat.yaml"] = []byte(chat.String())
	digest := sha256.Sum256([]byte(callerKey))
	files["caller.yaml"] = fmt.Appendf(nil, "customers:\n  caller:\n    rate: %d\n    burst: 10000\n    keys: [%s]\n", 10000+change, hex.EncodeToString(digest[:]))
	files["customers.yaml"] = append(harness.Customers(size.Customers, 100), fmt.Sprintf("# change %d\n", change)...)
	return files
}

// publish publishes files as the next version and returns the time at which the store accepted it.
func (p *daemonFleet) publish(files map[string][]byte) (time.Time, error) {
	ctx := context.Background()
	records := platform.NewRecords(userplatform.NewStore(p.store.Addr, nil))
	for digest, content := range blobsOf(files) {
		// The write fails if the blob exists, which is fine because its key is its digest.
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
