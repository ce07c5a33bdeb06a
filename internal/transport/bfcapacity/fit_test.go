package bfcapacity

import (
	"math"
	"testing"
)

// TestFit guards against wrong slopes, intercepts, residuals and standard errors, with
// points for which they are known.
func TestFit(t *testing.T) {
	f := NewFit("", "", "", "", []float64{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	if f.Slope != 2 || f.Intercept != 1 || f.Residual > 1e-12 || f.At(10).Value != 21 {
		t.Errorf("got %+v", f)
	}
	f = NewFit("", "", "", "", []float64{0, 1, 2}, []float64{0, 2, 1})
	if math.Abs(f.Slope-0.5) > 1e-12 || math.Abs(f.Residual-math.Sqrt(1.5)) > 1e-12 || math.Abs(f.SlopeError-math.Sqrt(0.75)) > 1e-12 {
		t.Errorf("got %+v", f)
	}
	if e := (Estimate{1, 3}).Plus(Estimate{2, 4}).Times(2); e.Value != 6 || e.Error != 10 {
		t.Errorf("got %+v", e)
	}
}
