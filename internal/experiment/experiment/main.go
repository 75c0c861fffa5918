// Command experiment plays load patterns against the gateway's decisions in virtual time, for several settings. It prints
// a table and writes it with plots to a folder.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/bilberrywell/bilberrywell/internal/experiment"
)

func main() {
	var o experiment.Options
	flag.Uint64Var(&o.Seed, "seed", 1, "first seed of the traces and random choices")
	flag.Uint64Var(&o.Seeds, "seeds", 10, "number of seeds whose requests count together")
	flag.StringVar(&o.Patterns, "patterns", "", "names of patterns with commas; empty plays all")
	flag.StringVar(&o.Settings, "settings", "", "names of settings with commas; empty compares all")
	flag.StringVar(&o.Dir, "dir", "out/experiment", "folder for the table and the plots")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "experiment: unexpected argument %q\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := experiment.Run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}
