package scale

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plottedSeries are the names of the series that Plot draws.
var plottedSeries = []string{"exchange_bytes", "document_gzip_bytes", "connection_memory"}

// Plot writes a PNG file of each of plottedSeries that was measured, with its line,
// into the directory, which it creates if needed.
func (r *Result) Plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create the plot directory")
	}
	for _, name := range plottedSeries {
		s, ok := r.series(name)
		if !ok {
			continue
		}
		if err := s.plot(filepath.Join(dir, name+".png")); err != nil {
			return errors.Wrapf(err, "plot %s", name)
		}
	}
	return nil
}

func (s Series) plot(file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.Name, s.SizeUnit+"s", s.Unit
	points := make(plotter.XYs, len(s.Points))
	for i, v := range s.Points {
		points[i] = plotter.XY{X: v.Size, Y: v.Value}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	first, last := points[0].X, points[len(points)-1].X
	line, err := plotter.NewLine(plotter.XYs{{X: first, Y: s.Intercept + s.Slope*first}, {X: last, Y: s.Intercept + s.Slope*last}})
	if err != nil {
		return err
	}
	p.Add(scatter, line, plotter.NewGrid())
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, file)
}
