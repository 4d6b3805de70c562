package scale

import (
	"fmt"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is the measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is a quantity measured at several sizes, with the line fitted to it.
type Series struct {
	Name string `json:"-"`
	// Unit is the unit of the values. SizeUnit names what a size counts, such as
	// hosts.
	Unit     string  `json:"unit"`
	SizeUnit string  `json:"per"`
	Points   []Point `json:"points"`
	// Intercept and Slope define the least-squares line.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// R2 is the coefficient of determination of the line, and 1 if all values are
	// equal.
	R2 float64 `json:"r2"`
}

// fitSeries returns a series with its least-squares line. The points must have at
// least two different sizes.
func fitSeries(name, unit, sizeUnit string, points []Point) Series {
	s := Series{Name: name, Unit: unit, SizeUnit: sizeUnit, Points: points}
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

// At returns the measured value at a size, or the value of the line if that size
// was not measured.
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
	return fmt.Sprintf("%.4g + %.4g per %s [%s], r2 %.3f; %s", s.Intercept, s.Slope, s.SizeUnit, s.Unit, s.R2, strings.Join(points, ", "))
}
