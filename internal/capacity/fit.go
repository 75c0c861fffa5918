// Package capacity measures what an instance costs at several sizes of the fleet and
// extrapolates the measurements to the size in two years by least squares.
package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Target is the size that decides the design.
var Target = Size{
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

// Links returns the links of an instance of the largest region, which has a data centre more
// than the others: the mesh of its region, and three opened to and about three accepted from
// each other region.
func (s Size) Links() int {
	return s.largestRegion() - 1 + 2*(s.Regions-1)*linksPerRegion
}

// largestRegion returns the instances of the region with the most data centres.
func (s Size) largestRegion() int {
	dataCentres := (s.DataCentres + s.Regions - 1) / s.Regions
	return (s.Instances*dataCentres + s.DataCentres - 1) / s.DataCentres
}

// linksPerRegion is what an instance opens to each other region.
const linksPerRegion = 3

// Point is one measurement.
type Point struct{ X, Y float64 }

// Line is a least-squares fit. Residual is the root mean square of the residuals in the
// unit of Y, Largest the largest residual relative to the measured value.
type Line struct {
	Intercept, Slope  float64
	Residual, Largest float64
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
			line.Largest = max(line.Largest, math.Abs(residual/p.Y))
		}
	}
	line.Residual = math.Sqrt(sum / n)
	return line
}

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Series is a quantity measured at several sizes.
type Series struct {
	Name, XName, Unit string
	Points            []Point
	// Target is the X to extrapolate to.
	Target float64
}

// String returns the points, the fit and the extrapolation on one line.
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
		line.Intercept, line.Slope, line.Residual, line.Largest*100, s.Target, line.At(s.Target))
	return b.String()
}
