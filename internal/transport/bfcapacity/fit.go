package bfcapacity

import "math"

type (
	// Estimate is a value with its standard error.
	Estimate struct{ Value, Error float64 }

	// Fit is a linear least-squares fit of measurements at several sizes.
	Fit struct {
		// Name and Unit describe the measured quantity, Per the unit of the sizes and
		// Source the measured code.
		Name, Unit, Per, Source string
		// X holds the sizes and Y the measured values.
		X, Y             []float64
		Slope, Intercept float64
		// SlopeError is the slope's standard error and Residual the root mean square
		// of the points' distances from the line.
		SlopeError, Residual float64
		// sumSquaresX is the sum of the squared deviations of X from its mean.
		meanX, sumSquaresX float64
	}
)

// NewFit returns the least-squares fit of at least three points.
func NewFit(name, unit, per, source string, x, y []float64) Fit {
	f := Fit{Name: name, Unit: unit, Per: per, Source: source, X: x, Y: y}
	n, meanY := float64(len(x)), 0.0
	for i := range x {
		f.meanX += x[i] / n
		meanY += y[i] / n
	}
	xy := 0.0
	for i := range x {
		f.sumSquaresX += (x[i] - f.meanX) * (x[i] - f.meanX)
		xy += (x[i] - f.meanX) * (y[i] - meanY)
	}
	f.Slope = xy / f.sumSquaresX
	f.Intercept = meanY - f.Slope*f.meanX
	sum := 0.0
	for i := range x {
		d := y[i] - f.Intercept - f.Slope*x[i]
		sum += d * d
	}
	// The two fitted parameters leave n-2 degrees of freedom.
	f.Residual = math.Sqrt(sum / (n - 2))
	f.SlopeError = f.Residual / math.Sqrt(f.sumSquaresX)
	return f
}

// At returns the fitted value at x with the standard error of the prediction.
func (f Fit) At(x float64) Estimate {
	n := float64(len(f.X))
	leverage := 1/n + (x-f.meanX)*(x-f.meanX)/f.sumSquaresX
	return Estimate{f.Intercept + f.Slope*x, f.Residual * math.Sqrt(leverage)}
}

// Times returns the estimate multiplied by an exact number.
func (e Estimate) Times(k float64) Estimate { return Estimate{e.Value * k, e.Error * math.Abs(k)} }

// Plus returns the sum of two independent estimates.
func (e Estimate) Plus(o Estimate) Estimate {
	return Estimate{e.Value + o.Value, math.Hypot(e.Error, o.Error)}
}
