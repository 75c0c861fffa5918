package forecast

import "math"

// decay is the factor by which the weight of earlier samples falls with each new one.
var decay = math.Exp(-1.0 / memory)

// line is a straight line through weighted samples, by least squares.
type line struct {
	samples             int
	weight              float64
	meanX, meanY        float64
	varianceX, covXY    float64
	intercept, gradient float64
}

// add adds a sample. The sums are kept about the means, so that they stay exact with large values.
func (l *line) add(x, y float64) {
	l.samples++
	l.weight = l.weight*decay + 1
	share := 1 / l.weight
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += share * dx
	l.meanY += share * dy
	l.varianceX = (1 - share) * (l.varianceX + share*dx*dx)
	l.covXY = (1 - share) * (l.covXY + share*dx*dy)
	l.gradient = 0
	if l.varianceX >= minSpread*minSpread {
		l.gradient = l.covXY / l.varianceX
	}
	// A first event takes some time even if nothing is to be read.
	l.intercept = max(l.meanY-l.gradient*l.meanX, 0)
}

// known reports whether the samples tell how the time rises with the tokens.
func (l *line) known() bool { return l.samples >= minSamples && l.gradient > 0 }

func (l *line) slope() float64 { return l.gradient }

func (l *line) at(x float64) float64 { return l.intercept + l.gradient*x }

// inverse returns the x at which the line has a value.
func (l *line) inverse(y float64) float64 { return (y - l.intercept) / l.gradient }

// mean is a weighted mean of ratios: the sum of the samples by that of their units.
type mean struct {
	samples    int
	sum, units float64
}

func (m *mean) add(sample, units float64) {
	m.samples++
	m.sum = m.sum*decay + sample
	m.units = m.units*decay + units
}

func (m *mean) known() bool { return m.samples >= minSamples }

func (m *mean) value() float64 { return m.sum / m.units }
