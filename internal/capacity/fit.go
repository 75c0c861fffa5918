// Package capacity measures the processor time, memory, messages and platform calls of an instance
// at several sizes of the fleet. It extrapolates the measurements by least squares to the fleet size
// expected in two years.
package capacity

import (
	"fmt"
	"math"
	"strings"
)

// TargetSize is the fleet size expected in two years, which the design must support.
var TargetSize = Size{
	Instances: 490, Engines: 1600, Customers: 680, Models: 3, DataCentres: 13, Regions: 4,
	RequestsPerSecond: 15000, ReturningChats: 11_000_000, ChangesPerDay: 1800,
}

// Size is the size of a fleet.
type Size struct {
	Instances, Engines, Customers, Models, DataCentres, Regions int
	RequestsPerSecond                                           float64
	ReturningChats                                              int
	ChangesPerDay                                               float64
}

// Links returns the number of links of an instance of the largest region, which has one data centre
// more than the others. The instance is linked to every other instance of its region, opens three
// links to each other region and accepts about three from each.
func (s Size) Links() int {
	return s.largestRegion() - 1 + 2*(s.Regions-1)*linksPerRegion
}

// largestRegion returns the number of instances of the region with the most data centres.
func (s Size) largestRegion() int {
	dataCentres := (s.DataCentres + s.Regions - 1) / s.Regions
	return (s.Instances*dataCentres + s.DataCentres - 1) / s.DataCentres
}

// linksPerRegion is the number of links that an instance opens to each other region.
const linksPerRegion = 3

// Point is one measurement.
type Point struct{ X, Y float64 }

// Line is a least-squares fit. RMSResidual is the root mean square of the residuals in the unit of
// Y. MaxRelativeResidual is the largest residual relative to the measured value.
type Line struct {
	Intercept, Slope                 float64
	RMSResidual, MaxRelativeResidual float64
}

// FitLine fits a line through at least two points with different X.
func FitLine(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx, sy = sx+p.X, sy+p.Y
		sxx, sxy = sxx+p.X*p.X, sxy+p.X*p.Y
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	line := Line{Slope: slope, Intercept: (sy - slope*sx) / n}
	sum := 0.0
	for _, p := range points {
		residual := p.Y - line.At(p.X)
		sum += residual * residual
		if p.Y != 0 {
			line.MaxRelativeResidual = max(line.MaxRelativeResidual, math.Abs(residual/p.Y))
		}
	}
	line.RMSResidual = math.Sqrt(sum / n)
	return line
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Series is a quantity measured at several sizes.
type Series struct {
	Name, XName, Unit string
	Points            []Point
	// Target is the X to extrapolate to.
	Target float64
}

// String returns the points, the fit and the extrapolation as one line of text.
func (s Series) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s [%s] by %s:", s.Name, s.Unit, s.XName)
	for _, p := range s.Points {
		fmt.Fprintf(&b, " %g:%.4g", p.X, p.Y)
	}
	if len(s.Points) < 2 {
		return b.String() + "; too few points to fit"
	}
	line := FitLine(s.Points)
	fmt.Fprintf(&b, "; fit %.4g + %.4g x, rms residual %.2g, largest %.0f%%; at %g: %.4g",
		line.Intercept, line.Slope, line.RMSResidual, line.MaxRelativeResidual*100, s.Target, line.At(s.Target))
	return b.String()
}
