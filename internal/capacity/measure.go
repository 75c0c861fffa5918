package capacity

import (
	"fmt"
	"io"

	"github.com/samber/oops"
)

// Measure runs one part of the measurements and prints the results to w. bin is the directory of the
// daemon's binary. The part "spread" measures only the publishes of the part "daemons".
func Measure(w io.Writer, part, bin string) error {
	fmt.Fprintf(w, "== %s\n", part)
	switch part {
	case "events":
		EventCosts(w, scaledSizes(61, 122, 245, 490))
	case "memory":
		Memory(w, scaledSizes(61, 122, 245, 490))
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

// scaledSizes returns TargetSize scaled down to each of the given numbers of instances.
func scaledSizes(instances ...int) []Size {
	sizes := make([]Size, len(instances))
	for i, n := range instances {
		size := TargetSize
		size.Instances = n
		size.Engines = TargetSize.Engines * n / TargetSize.Instances
		size.Customers = max(1, TargetSize.Customers*n/TargetSize.Instances)
		size.RequestsPerSecond = TargetSize.RequestsPerSecond * float64(n) / float64(TargetSize.Instances)
		sizes[i] = size
	}
	return sizes
}
