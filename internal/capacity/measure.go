package capacity

import (
	"fmt"
	"io"

	"github.com/samber/oops"
)

// Measure runs one part of the measurements and prints its figures. Bin is the directory of
// the daemon's binary.
func Measure(w io.Writer, part, bin string) error {
	fmt.Fprintf(w, "== %s\n", part)
	switch part {
	case "events":
		EventCosts(w, growing(61, 122, 245, 490))
	case "memory":
		Memory(w, growing(61, 122, 245, 490))
	case "traffic":
		return Traffic(w, []int{7, 15, 30, 60})
	case "failures":
		return Failures(w, []int{15, 30, 60})
	case "list":
		return ListReads(w, []int{61, 122, 245, 490})
	case "daemons":
		return Daemons(w, bin, []int{7, 20, 40}, false)
	case "spread":
		return Daemons(w, bin, []int{7, 20, 40}, true)
	default:
		return oops.Errorf("unknown part %q", part)
	}
	return nil
}

// growing returns sizes with the target's proportions at numbers of instances.
func growing(instances ...int) []Size {
	sizes := make([]Size, len(instances))
	for i, n := range instances {
		size := Target
		size.Instances = n
		size.Engines = Target.Engines * n / Target.Instances
		size.Customers = max(1, Target.Customers*n/Target.Instances)
		size.RequestsPerSecond = Target.RequestsPerSecond * float64(n) / float64(Target.Instances)
		sizes[i] = size
	}
	return sizes
}
