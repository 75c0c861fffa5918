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
	f := &daemonFleet{dir: dir, store: store}
	if err := f.startEngines(n * enginesPerInstance); err != nil {
		return f, err
	}
	files, err := f.writeSettings(n)
	if err != nil {
		return f, err
	}
	if _, err := f.publish(f.configFiles(0)); err != nil {
		return f, err
	}
	for i, file := range files {
		if err := f.startDaemon(filepath.Join(bin, "bilberrywelld"), file, f.logFile(i)); err != nil {
			return f, err
		}
	}
	return f, f.awaitVersion(f.version, startTimeout)
}

func (f *daemonFleet) startEngines(n int) error {
	for i := range n {
		engine := enginesim.New(enginesim.Options{ID: string(engineID(i)), Model: "chat", Slots: 64, TokensPerSecond: 500, FirstToken: time.Millisecond})
		server, err := engine.Start(loopback)
		if err != nil {
			return oops.Wrap(err)
		}
		f.engineServers = append(f.engineServers, server)
		f.engineAddrs = append(f.engineAddrs, server.Addr)
	}
	return nil
}

func (f *daemonFleet) writeSettings(n int) ([]string, error) {
	secret := filepath.Join(f.dir, "secret")
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
			id, dc, a[0], a[1], a[2], f.store.Addr, secret)
		files[i] = filepath.Join(f.dir, id+".yaml")
		if err := os.WriteFile(files[i], []byte(text), 0o600); err != nil {
			return nil, oops.Wrap(err)
		}
		f.callerURLs = append(f.callerURLs, "http://"+a[0])
		f.adminAddrs = append(f.adminAddrs, a[2])
	}
	return files, nil
}

// startDaemon starts a daemon. The kernel kills it when this process ends.
func (f *daemonFleet) startDaemon(name, settings, logFile string) error {
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
	f.daemons = append(f.daemons, daemon)
	return nil
}

func (f *daemonFleet) logFile(i int) string { return filepath.Join(f.dir, fmt.Sprintf("%04d.log", i)) }

// close kills the daemons by their process ids and stops the stand-ins.
func (f *daemonFleet) close() {
	for _, daemon := range f.daemons {
		_ = daemon.Process.Kill()
		// Wait returns the signal as an error although the daemon has ended.
		_ = daemon.Wait()
	}
	for _, server := range f.engineServers {
		_ = server.Close()
	}
	_ = f.store.Close()
}

// configFiles returns a configuration of TargetSize. It has the engines of this fleet, and the
// engines of TargetSize in regions without instances, so that no instance
// probes them. Each change number gives caller.yaml and customers.yaml different content.
func (f *daemonFleet) configFiles(change int) map[string][]byte {
	size := TargetSize
	remote := size.configFiles()
	files := make(map[string][]byte)
	for name, content := range remote {
		files[name] = []byte(strings.ReplaceAll(string(content), "region: region-", "region: far-"))
	}
	var chat strings.Builder
	chat.WriteString("services:\n  chat:\n    kind: chat\n    model: chat\n    engines:\n")
	for i, addr := range f.engineAddrs {
		fmt.Fprintf(&chat, "      - {id: local-%d, addr: %q, data_centre: dc-%d, region: region, slots: 64, reports_load: true}\n", i, addr, i%3)
	}
	files["chat.yaml"] = []byte(chat.String())
	digest := sha256.Sum256([]byte(callerKey))
	files["caller.yaml"] = fmt.Appendf(nil, "customers:\n  caller:\n    rate: %d\n    burst: 10000\n    keys: [%s]\n", 10000+change, hex.EncodeToString(digest[:]))
	files["customers.yaml"] = append(harness.Customers(size.Customers, 100), fmt.Sprintf("# change %d\n", change)...)
	return files
}

// publish publishes files as the next version and returns the time at which the store accepted it.
func (f *daemonFleet) publish(files map[string][]byte) (time.Time, error) {
	ctx := context.Background()
	records := platform.NewRecords(userplatform.NewStore(f.store.Addr, nil))
	for digest, content := range blobsOf(files) {
		// The write fails if the blob exists already. The error is ignored, because the key is the
		// content's digest.
		_, _ = records.CompareAndSwap(ctx, revision.BlobKey(digest), content, 0)
	}
	head, _ := records.Get(ctx, revision.HeadKey)
	manifest := revision.Manifest{
		Version: f.version + 1, PublishID: fmt.Sprint("publish-", f.version+1), Files: revision.Digests(files), Publisher: "capacity",
	}
	_, err := records.CompareAndSwap(ctx, revision.HeadKey, manifest.Encode(), head.Revision)
	if err != nil {
		return time.Time{}, oops.Wrap(err)
	}
	f.version++
	return time.Now(), nil
}
