// Command demo runs the demo on the example deployments, one after the other. It exits with 1 if an
// answer was wrong or lost, an order ran twice, was answered without an effect or got two different
// answers, or a request broke off for another reason than the kill of its instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/demo"
)

func main() {
	// The kernel kills a child process when the thread that started it ends.
	runtime.LockOSThread()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	options, dirs := parseFlags()
	for _, dir := range dirs {
		options.Dir = dir
		report, err := demo.Run(ctx, options)
		if err != nil {
			klog.Exitf("%s: %v", dir, err)
		}
		report.Write(os.Stdout)
		if ctx.Err() != nil {
			klog.Exit("interrupted")
		}
		if report.Failed() {
			fmt.Println("FAILED")
			os.Exit(1)
		}
	}
}

func parseFlags() (options demo.Options, dirs []string) {
	examples := flag.String("examples", "examples", "directory of the example deployments")
	names := flag.String("names", "kitaminato,fes", "examples to run, separated by commas")
	flag.StringVar(&options.Bin, "bin", "bin", "directory of the binaries")
	flag.BoolVar(&options.SelfCheck, "self-check", false, "check the driver: no daemons, a direct route")
	flag.Uint64Var(&options.Plan.Seed, "seed", 1, "seed of the traffic")
	flag.IntVar(&options.Plan.Conversations, "conversations", 250, "conversations at the same time")
	flag.IntVar(&options.Plan.Turns, "turns", 5, "turns of a conversation")
	flag.IntVar(&options.Plan.Senders, "senders", 10, "senders of orders")
	flag.IntVar(&options.Plan.Orders, "orders", 30, "orders of a sender")
	flag.DurationVar(&options.Timeout, "timeout", 28*time.Second, "time for one example")
	flag.Parse()
	for _, name := range strings.Split(*names, ",") {
		dirs = append(dirs, filepath.Join(*examples, name))
	}
	return options, dirs
}
