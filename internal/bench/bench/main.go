// Command bench measures the routing decisions of the fleet against baseline policies, prints the
// report and writes it to docs/bench.md.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/bilberrywell/bilberrywell/internal/bench"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all traces")
	page := flag.String("page", "docs/bench.md", "page whose generated part is replaced; empty prints only")
	only := flag.String("only", "", "parts to run, of scenarios, small, surge and faults; empty runs all")
	flag.Parse()
	text := bench.Run(*seed, *only)
	fmt.Print(text)
	if *page == "" || *only != "" {
		return
	}
	if err := bench.WritePage(*page, text); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
