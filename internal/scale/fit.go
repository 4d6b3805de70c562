package scale

import (
	"fmt"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one measured quantity at several sizes with the line through it.
type Series struct {
	Name string `json:"-"`
	// Unit is the unit of the values, Per what the size counts.
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	// Intercept and Slope are the least-squares line.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// R2 is the coefficient of determination of the line.
	R2 float64 `json:"r2"`
}

// fitted returns a series with its line. It needs two different sizes.
func fitted(name, unit, per string, points []Point) Series {
	s := Series{Name: name, Unit: unit, Per: per, Points: points}
	x, y := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i] = p.Size, p.Value
	}
	s.Intercept, s.Slope = stat.LinearRegression(x, y, nil, false)
	s.R2 = 1
	if stat.Variance(y, nil) > 0 {
		s.R2 = stat.RSquared(x, y, nil, s.Intercept, s.Slope)
	}
	return s
}

// At returns the value at a size: the measured one where there is one, and the
// one on the line elsewhere.
func (s Series) At(size float64) float64 {
	for _, p := range s.Points {
		if p.Size == size {
			return p.Value
		}
	}
	return s.Intercept + s.Slope*size
}

// String implements fmt.Stringer.
func (s Series) String() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%.0f: %.4g", p.Size, p.Value))
	}
	return fmt.Sprintf("%.4g + %.4g per %s [%s], r2 %.3f; %s", s.Intercept, s.Slope, s.Per, s.Unit, s.R2, strings.Join(points, ", "))
}
