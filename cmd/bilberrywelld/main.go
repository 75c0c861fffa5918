// Command bilberrywelld runs one instance of the router, or a gateway with -gateway. Each of them
// drains and exits at SIGTERM or SIGINT.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/daemon"
	"github.com/bilberrywell/bilberrywell/internal/settings"
	"github.com/bilberrywell/bilberrywell/platform"
)

// version is the release, set by the linker.
var version = "dev"

// Exit codes.
const (
	exitOK              = 0
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	klog.InitFlags(nil)
	path := flag.String("settings", "bilberrywelld.yaml", "path of the settings file")
	check := flag.Bool("check", false, "check the settings and exit")
	gatewayPath := flag.String("gateway", "", "run as a gateway with this settings file")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	defer klog.Flush()
	if *showVersion {
		fmt.Println(version)
		return exitOK
	}
	if *gatewayPath != "" {
		return runGateway(*gatewayPath, *check)
	}
	s, findings := settings.Load(*path)
	if err := findings.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if *check {
		return exitOK
	}
	return serve(s)
}

// serve runs the daemon until SIGTERM or SIGINT, which drains it. A second signal ends the process
// at once.
func serve(s settings.Settings) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	d, err := daemon.New(s, version, platform.Connect)
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		klog.ErrorS(err, "daemon failed")
		return exitFailed
	}
	return exitOK
}
