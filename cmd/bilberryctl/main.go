// Command bilberryctl publishes configuration to a bilberrywell fleet and shows its state.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bilberrywell/bilberrywell/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.New(os.Stdout, os.Stderr).Run(ctx, os.Args[1:]))
}
