// Package fleettest starts a small fleet of daemons in the process of a test, for end-to-end
// tests. The daemons are real and talk over loopback connections; the platform, the engines
// and the services are stand-ins. Everything is stopped when the test ends.
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

// APIKey is the API key of the test customer.
const APIKey = "fleettest-key"

// WaitTimeout is the time-out for a condition that a test waits for. It is reached only in tests
// that fail.
const WaitTimeout = 20 * time.Second

// Options describes a fleet. Instances, Engines and Services are the numbers of daemons, model
// engine stand-ins and plain service stand-ins.
type Options struct {
	Instances int
	Engines   int
	Services  int
	// Engine is the template for the options of the model engine stand-ins.
	Engine enginesim.Options
	// EngineAddrs lists the addresses of further model engines, which don't report their load.
	EngineAddrs []string
	// AdjustSettings, if set, changes the settings of each node.
	AdjustSettings func(*settings.Settings)
	// ServiceHandler, if set, is served as one more engine of the plain service, which doesn't
	// report its load.
	ServiceHandler http.Handler
}

// Fleet is a running fleet.
type Fleet struct {
	t testing.TB
	// Records gives access to the records in the fleet's key-value service.
	Records  *platform.Records
	Engines  []*enginesim.Engine
	Services []*servicesim.Service
	Nodes    []*Node

	storeAddr    string
	engineAddrs  []string
	serviceAddrs []string
	lastVersion  int
}

// Node is one instance of the fleet. Daemon is nil until it is started.
type Node struct {
	ID       fleet.InstanceID
	Settings settings.Settings
	Daemon   *daemon.Daemon
	stop     context.CancelFunc
	done     chan struct{}
	stopOnce sync.Once
}

// Start starts a fleet, publishes a configuration for it, and waits until all nodes are ready.
func Start(t testing.TB, o Options) *Fleet {
	store, err := standin.ServeStore("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	f := &Fleet{t: t, storeAddr: store.Addr, Records: platform.NewRecords(userplatform.NewStore(store.Addr, nil))}
	f.startEngines(o)
	f.startServices(o)
	f.addNodes(o)
	for _, node := range f.Nodes {
		f.StartNode(node)
	}
	f.Publish("")
	f.AwaitReady()
	return f
}

// closeOnCleanup closes a server when the test ends.
func (f *Fleet) closeOnCleanup(server *simutil.Server) {
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
		f.closeOnCleanup(server)
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
		f.closeOnCleanup(server)
		f.Services = append(f.Services, service)
		f.serviceAddrs = append(f.serviceAddrs, server.Addr)
	}
	if o.ServiceHandler != nil {
		server, err := simutil.Start("127.0.0.1:0", &http.Server{Handler: o.ServiceHandler})
		require.NoError(f.t, err)
		f.closeOnCleanup(server)
		f.serviceAddrs = append(f.serviceAddrs, server.Addr)
	}
}

// addNodes adds the nodes, with their settings and with free addresses, but doesn't start them.
func (f *Fleet) addNodes(o Options) {
	addrs, err := simutil.FreeAddrs(3 * o.Instances)
	require.NoError(f.t, err)
	for i := range o.Instances {
		s := settings.Defaults()
		s.Instance = fleet.InstanceID(fmt.Sprintf("instance-%d", i))
		s.DataCentre = fleet.DataCentre(fmt.Sprintf("dc-%d", i%2))
		s.Region = "region"
		s.CallerAddr, s.PeerAddr, s.AdminAddr = addrs[3*i], addrs[3*i+1], addrs[3*i+2]
		s.CallerAdvertiseAddr, s.PeerAdvertiseAddr, s.AdminAdvertiseAddr = s.CallerAddr, s.PeerAddr, s.AdminAddr
		s.StoreAddr = f.storeAddr
		s.FleetSecret = settings.Secret("secret")
		s.BalancerGrace = 100 * time.Millisecond
		if o.AdjustSettings != nil {
			o.AdjustSettings(&s)
		}
		f.Nodes = append(f.Nodes, &Node{ID: s.Instance, Settings: s})
	}
}

// StartNode starts a node's daemon. The node is stopped when the test ends.
func (f *Fleet) StartNode(n *Node) {
	d, err := daemon.New(n.Settings, "test", userplatform.Connect)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n.Daemon, n.stop, n.done = d, cancel, make(chan struct{})
	n.stopOnce = sync.Once{}
	done := n.done
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.t.Cleanup(func() { f.StopNode(n) })
}

// StopNode drains a node and waits until its daemon has stopped.
func (f *Fleet) StopNode(n *Node) {
	n.stopOnce.Do(n.stop)
	<-n.done
}

// KillNode ends a node without a drain, which breaks its connections, and waits until its
// daemon has stopped.
func (f *Fleet) KillNode(n *Node) {
	n.Daemon.Abort()
	<-n.done
}

// Files returns the fleet's configuration files. extra, if not empty, is the YAML of one more
// file.
func (f *Fleet) Files(extra string) map[string][]byte {
	digest := sha256.Sum256([]byte(APIKey))
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

// Publish publishes the files that Files returns for extra as the next version, and returns that
// version.
func (f *Fleet) Publish(extra string) uint64 {
	files := f.Files(extra)
	_, findings := config.Compile(files)
	require.Empty(f.t, findings)
	f.lastVersion++
	manifest := revision.Manifest{
		Version:   uint64(f.lastVersion),
		PublishID: fmt.Sprintf("publish-%d", f.lastVersion),
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
	}, WaitTimeout, 10*time.Millisecond)
}

// EngineAddrs returns the addresses of all model engines, including those of
// Options.EngineAddrs.
func (f *Fleet) EngineAddrs() []string { return f.engineAddrs }

// Client returns a client that sends the calls of the test customer to a node.
func (f *Fleet) Client(n *Node) *callersim.Client {
	return &callersim.Client{HTTP: &http.Client{}, Base: "http://" + n.Settings.CallerAddr, Key: APIKey}
}
