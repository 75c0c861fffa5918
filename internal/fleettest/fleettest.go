// Package fleettest starts a small fleet of daemons with stand-ins of the platform, engines
// and services in one process, for tests of the whole path.
package fleettest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/daemon"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/settings"
	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	userplatform "github.com/bilberrywell/bilberrywell/platform"
	"github.com/bilberrywell/bilberrywell/platform/standin"
	"github.com/bilberrywell/bilberrywell/revision"
)

// Key is the API key of the test customer.
const Key = "fleettest-key"

// Patience bounds a wait for a condition. It only ends tests that have failed.
const Patience = 20 * time.Second

// Options describe a fleet.
type Options struct {
	Instances int
	Engines   int
	Services  int
	// Engine is the template of the model engines.
	Engine enginesim.Options
	// EngineAddrs are addresses of further model engines, which report no load.
	EngineAddrs []string
	// Adjust, if set, changes the settings of each node.
	Adjust func(*settings.Settings)
	// ServiceHandler, if set, serves one more plain service engine.
	ServiceHandler http.Handler
}

// Fleet is a running fleet.
type Fleet struct {
	t testing.TB
	// Records are the records in the store.
	Records  *platform.Records
	Engines  []*enginesim.Engine
	Services []*servicesim.Service
	Nodes    []*Node

	storeAddr    string
	engineAddrs  []string
	serviceAddrs []string
	version      int
}

// Node is one daemon.
type Node struct {
	ID       fleet.InstanceID
	Settings settings.Settings
	Daemon   *daemon.Daemon
	stop     context.CancelFunc
	done     chan struct{}
	once     sync.Once
}

// Start starts a fleet and publishes a configuration for it.
func Start(t testing.TB, o Options) *Fleet {
	store, err := standin.ServeStore("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	f := &Fleet{t: t, storeAddr: store.Addr, Records: platform.NewRecords(userplatform.NewStore(store.Addr, nil))}
	f.startEngines(o)
	f.startServices(o)
	f.configureNodes(o)
	for _, node := range f.Nodes {
		f.StartNode(node)
	}
	f.Publish("")
	f.AwaitReady()
	return f
}

func (f *Fleet) track(server *simutil.Server) {
	f.t.Cleanup(func() { _ = server.Close() })
}

func (f *Fleet) startEngines(o Options) {
	for i := range o.Engines {
		options := o.Engine
		options.ID = fmt.Sprintf("engine-%d", i)
		options.Model = "model"
		engine := enginesim.New(options)
		server, err := engine.Start("127.0.0.1:0")
		require.NoError(f.t, err)
		f.track(server)
		f.Engines = append(f.Engines, engine)
		f.engineAddrs = append(f.engineAddrs, server.Addr)
	}
	f.engineAddrs = append(f.engineAddrs, o.EngineAddrs...)
}

func (f *Fleet) startServices(o Options) {
	for i := range o.Services {
		service := servicesim.New(servicesim.Options{ID: fmt.Sprintf("service-%d", i), Slots: 64})
		server, err := service.Start("127.0.0.1:0")
		require.NoError(f.t, err)
		f.track(server)
		f.Services = append(f.Services, service)
		f.serviceAddrs = append(f.serviceAddrs, server.Addr)
	}
	if o.ServiceHandler != nil {
		server, err := simutil.Start("127.0.0.1:0", &http.Server{Handler: o.ServiceHandler})
		require.NoError(f.t, err)
		f.track(server)
		f.serviceAddrs = append(f.serviceAddrs, server.Addr)
	}
}

// configureNodes picks addresses.
func (f *Fleet) configureNodes(o Options) {
	addrs, err := simutil.FreeAddrs(3 * o.Instances)
	require.NoError(f.t, err)
	for i := range o.Instances {
		s := settings.Defaults()
		s.Instance = fleet.InstanceID(fmt.Sprintf("instance-%d", i))
		s.DataCentre = fleet.DataCentre(fmt.Sprintf("dc-%d", i%2))
		s.Region = "region"
		s.CallerAddr, s.PeerAddr, s.AdminAddr = addrs[3*i], addrs[3*i+1], addrs[3*i+2]
		s.CallerAdvertise, s.PeerAdvertise, s.AdminAdvertise = s.CallerAddr, s.PeerAddr, s.AdminAddr
		s.StoreAddr = f.storeAddr
		s.FleetSecret = settings.Secret("secret")
		s.BalancerGrace = 100 * time.Millisecond
		if o.Adjust != nil {
			o.Adjust(&s)
		}
		f.Nodes = append(f.Nodes, &Node{ID: s.Instance, Settings: s})
	}
}

// StartNode starts a node's daemon.
func (f *Fleet) StartNode(n *Node) {
	d, err := daemon.New(n.Settings, "test", userplatform.Connect)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n.Daemon, n.stop, n.done = d, cancel, make(chan struct{})
	n.once = sync.Once{}
	done := n.done
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.t.Cleanup(func() { f.StopNode(n) })
}

// StopNode drains a node and waits for its end.
func (f *Fleet) StopNode(n *Node) {
	n.once.Do(n.stop)
	<-n.done
}

// KillNode ends a node without a drain: its connections break.
func (f *Fleet) KillNode(n *Node) {
	n.Daemon.Abort()
	<-n.done
}

// Files returns the published files with extra YAML in a file of its own.
func (f *Fleet) Files(extra string) map[string][]byte {
	digest := sha256.Sum256([]byte(Key))
	files := map[string][]byte{
		"services.yaml":  []byte(f.servicesYAML()),
		"customers.yaml": []byte("customers:\n  customer:\n    rate: 10000\n    burst: 10000\n    keys: [" + hex.EncodeToString(digest[:]) + "]\n"),
	}
	if extra != "" {
		files["extra.yaml"] = []byte(extra)
	}
	return files
}

func (f *Fleet) servicesYAML() string {
	var b strings.Builder
	b.WriteString("services:\n")
	if len(f.engineAddrs) > 0 {
		b.WriteString("  chat:\n    kind: chat\n    model: model\n    resume: true\n    stall_timeout: 1s\n    engines:\n")
		for i, addr := range f.engineAddrs {
			fmt.Fprintf(&b, "      - {id: engine-%d, addr: %q, data_centre: dc-%d, region: region, slots: 64, kv_transfer: true, reports_load: %t}\n", i, addr, i%2, i < len(f.Engines))
		}
	}
	if len(f.serviceAddrs) > 0 {
		b.WriteString("  orders:\n    kind: plain\n    non_idempotent:\n      - {method: POST, path: /orders}\n    engines:\n")
		for i, addr := range f.serviceAddrs {
			fmt.Fprintf(&b, "      - {id: service-%d, addr: %q, data_centre: dc-%d, region: region, slots: 64, reports_load: %t}\n", i, addr, i%2, i < len(f.Services))
		}
	}
	return b.String()
}

// Publish publishes the fleet's files with extra YAML and returns the version.
func (f *Fleet) Publish(extra string) uint64 {
	files := f.Files(extra)
	_, findings := config.Compile(files)
	require.Empty(f.t, findings)
	f.version++
	manifest := revision.Manifest{
		Version:   uint64(f.version),
		PublishID: fmt.Sprintf("publish-%d", f.version),
		Files:     revision.Digests(files),
		Publisher: "fleettest",
	}
	ctx := context.Background()
	for _, content := range files {
		_, err := f.Records.CompareAndSwap(ctx, revision.BlobKey(revision.Digest(content)), content, 0)
		if err != nil {
			require.ErrorIs(f.t, err, platform.ErrConflict)
		}
	}
	head, _ := f.Records.Get(ctx, revision.HeadKey)
	_, err := f.Records.CompareAndSwap(ctx, revision.HeadKey, manifest.Encode(), head.Revision)
	require.NoError(f.t, err)
	return manifest.Version
}

// AwaitReady waits until every started node is ready.
func (f *Fleet) AwaitReady() {
	require.Eventually(f.t, func() bool {
		for _, n := range f.Nodes {
			if n.Daemon != nil && !n.Daemon.Ready() {
				return false
			}
		}
		return true
	}, Patience, 10*time.Millisecond)
}

// EngineAddrs returns the addresses of the model engines.
func (f *Fleet) EngineAddrs() []string { return f.engineAddrs }

// Client returns a client of the test customer for a node.
func (f *Fleet) Client(n *Node) *callersim.Client {
	return &callersim.Client{HTTP: &http.Client{}, Base: "http://" + n.Settings.CallerAddr, Key: Key}
}
