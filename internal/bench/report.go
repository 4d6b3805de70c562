package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Figure is one measured value.
type Figure struct {
	Name  string
	Value any
	// Target describes the target; empty if there is none.
	Target string
	Missed bool
}

// Report is the result of a scenario. Its figures keep their order.
type Report struct {
	Scenario string
	Figures  []Figure
}

func (r *Report) add(name string, value any) {
	if v, ok := value.(float64); ok {
		value = roundFigure(v)
	}
	r.Figures = append(r.Figures, Figure{Name: name, Value: value})
}

// addAtMost adds a figure that must be at most limit. NaN misses the target.
func (r *Report) addAtMost(name string, value, limit float64) {
	r.addWithTarget(name, value, fmt.Sprintf("at most %.6g", limit), !(value <= limit))
}

// addAtLeast adds a figure that must be at least limit. NaN misses the target.
func (r *Report) addAtLeast(name string, value, limit float64) {
	r.addWithTarget(name, value, fmt.Sprintf("at least %.6g", limit), !(value >= limit))
}

// addZeroTarget adds a count that must be 0.
func (r *Report) addZeroTarget(name string, count int) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: count, Target: "0", Missed: count != 0})
}

func (r *Report) addWithTarget(name string, value float64, target string, missed bool) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: roundFigure(value), Target: target, Missed: missed})
}

// roundFigure rounds to four decimals. It returns nil, which is null in JSON, for NaN and
// infinite values, which stand for figures that were not measured.
func roundFigure(v float64) any {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return nil
	}
	return math.Round(v*1e4) / 1e4
}

// Missed returns the names of the figures that miss their target.
func (r *Report) Missed() []string {
	missed := []string{}
	for _, f := range r.Figures {
		if f.Missed {
			missed = append(missed, f.Name)
		}
	}
	return missed
}

// MarshalJSON writes the figures as fields of one object.
func (r *Report) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	fields := slices.Concat([]Figure{{Name: "scenario", Value: r.Scenario}}, r.Figures, []Figure{{Name: "missed", Value: r.Missed()}})
	for i, f := range fields {
		value, err := json.Marshal(f.Value)
		if err != nil {
			return nil, errors.Wrap(err, f.Name)
		}
		separator := ","
		if i == 0 {
			separator = "{"
		}
		fmt.Fprintf(&b, "%s%q:%s", separator, f.Name, value)
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// WriteText writes the report as text, one line for each figure.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "scenario %s\n", r.Scenario)
	for _, f := range r.Figures {
		value := fmt.Sprint(f.Value)
		if f.Value == nil {
			value = "not measured"
		}
		line := fmt.Sprintf("  %-38s %s", f.Name, value)
		if f.Target != "" {
			line = fmt.Sprintf("%-60s target %s", line, f.Target)
		}
		if f.Missed {
			line += "  MISSED"
		}
		fmt.Fprintln(w, strings.TrimRight(line, " "))
	}
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// share returns part as a share of whole, or NaN if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return float64(part) / float64(whole)
}
