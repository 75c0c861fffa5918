// Command bilberryctl publishes configuration to a bilberrywell fleet and shows its state.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bilberrywell/bilberrywell/internal/ctl"
	keyspace "github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/platform"
)

// connectStore returns a client of the store at addr, IP:port, with the default dialer.
func connectStore(addr string) keyspace.Keyspace { return platform.Connect(addr, nil) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.New(os.Stdout, os.Stderr, connectStore).Run(ctx, os.Args[1:]))
}
