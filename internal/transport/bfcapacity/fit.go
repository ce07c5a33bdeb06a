package bfcapacity

import "math"

type (
	// Estimate is a value with its standard error.
	Estimate struct{ Value, Error float64 }

	// Fit is a straight line through measurements at several sizes.
	Fit struct {
		// Name, Unit and Source describe the measured quantity and the code behind it.
		Name, Unit, Per, Source string
		X, Y                    []float64
		Slope, Intercept        float64
		// SlopeError is the slope's standard error and Residual the root mean square
		// of the points' distances from the line.
		SlopeError, Residual float64
		meanX, spreadX       float64
	}
)

// NewFit fits a line by least squares. It needs at least three points.
func NewFit(name, unit, per, source string, x, y []float64) Fit {
	f := Fit{Name: name, Unit: unit, Per: per, Source: source, X: x, Y: y}
	n, meanY := float64(len(x)), 0.0
	for i := range x {
		f.meanX += x[i] / n
		meanY += y[i] / n
	}
	xy := 0.0
	for i := range x {
		f.spreadX += (x[i] - f.meanX) * (x[i] - f.meanX)
		xy += (x[i] - f.meanX) * (y[i] - meanY)
	}
	f.Slope = xy / f.spreadX
	f.Intercept = meanY - f.Slope*f.meanX
	sum := 0.0
	for i := range x {
		d := y[i] - f.Intercept - f.Slope*x[i]
		sum += d * d
	}
	// Two parameters are fitted, so two points' worth of freedom is gone.
	f.Residual = math.Sqrt(sum / (n - 2))
	f.SlopeError = f.Residual / math.Sqrt(f.spreadX)
	return f
}

// At returns the line's value with the standard error of the prediction.
func (f Fit) At(x float64) Estimate {
	n := float64(len(f.X))
	spread := 1/n + (x-f.meanX)*(x-f.meanX)/f.spreadX
	return Estimate{f.Intercept + f.Slope*x, f.Residual * math.Sqrt(spread)}
}

// Times returns the estimate multiplied by an exact number.
func (e Estimate) Times(k float64) Estimate { return Estimate{e.Value * k, e.Error * math.Abs(k)} }

// Plus adds two independent estimates.
func (e Estimate) Plus(o Estimate) Estimate {
	return Estimate{e.Value + o.Value, math.Hypot(e.Error, o.Error)}
}
