package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/gateway"
	"github.com/bilberrywell/bilberrywell/internal/logsink"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
	"github.com/bilberrywell/bilberrywell/platform"
)

// storeDialTimeout bounds the time to open a connection to the store.
const storeDialTimeout = time.Second

// gatewayGCPercent is the GC percentage of a gateway. It is below Go's default of 100, which saves
// memory at the cost of CPU time: a gateway allocates little, and its memory costs more than its
// CPU time.
const gatewayGCPercent = 30

// runGateway runs the daemon as a gateway until SIGTERM or SIGINT. SIGHUP reloads the settings.
func runGateway(path string, checkOnly bool) int {
	s, findings := gateway.LoadSettings(path)
	if err := findings.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if checkOnly {
		return exitOK
	}
	debug.SetGCPercent(gatewayGCPercent)
	sink := logsink.New(os.Stdout, s.LogLines)
	defer sink.Close()
	klog.SetLogger(logr.New(sink).WithValues("instance", s.Instance))
	g, err := gateway.New(gateway.Options{
		Settings: s,
		Reload: func() (gateway.Settings, error) {
			s, findings := gateway.LoadSettings(path)
			return s, findings.Err()
		},
		Protocol:     platform.Protocol{},
		StoreDecoder: platform.Format{},
		Store:        platform.NewStore(s.StoreAddr, upstream.NewDialer(storeDialTimeout).DialContext),
		Release:      version,

		SettingsChanged: fileChanges(path),
		ControlsLoad:    platform.ControlsLoad,
		LogDropped:      sink.Dropped,
	})
	if err != nil {
		klog.ErrorS(err, "gateway failed")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for range hangup {
			g.Reload()
		}
	}()
	if err := g.Run(ctx); err != nil {
		klog.ErrorS(err, "gateway failed")
		return exitFailed
	}
	return exitOK
}

// fileChanges returns a function that reports whether the file was written since the function's
// last call. A settings file may change without a signal.
func fileChanges(path string) func() bool {
	last, _ := os.Stat(path)
	return func() bool {
		info, err := os.Stat(path)
		if err != nil {
			return false
		}
		changed := last != nil && (!info.ModTime().Equal(last.ModTime()) || info.Size() != last.Size())
		last = info
		return changed
	}
}
