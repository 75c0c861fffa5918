// Command capacity measures what an instance uses at several sizes of the fleet, fits lines to the
// measurements by least squares and prints the extrapolation to the fleet size expected in two years.
package main

import (
	"flag"
	"io"
	"os"
	"strings"

	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/capacity"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the daemon's binary")
	parts := flag.String("parts", "events,memory,traffic,failures,list,daemons", "parts to measure")
	out := flag.String("out", "", "file to write the figures to as well")
	flag.Parse()
	w := io.Writer(os.Stdout)
	if *out != "" {
		file, err := os.Create(*out)
		if err != nil {
			klog.Exit(err)
		}
		defer func() { _ = file.Close() }()
		w = io.MultiWriter(os.Stdout, file)
	}
	for _, part := range strings.Split(*parts, ",") {
		if err := capacity.Measure(w, part, *bin); err != nil {
			klog.Exit(err)
		}
	}
}
