package scale

import (
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fit with swapped axes or weighted points.
func TestFitSeriesLine(t *testing.T) {
	s := fitSeries("s", "B", "host", []Point{{10, 25}, {20, 45}, {40, 85}})
	assert.Assert(t, math.Abs(s.Intercept-5) < 1e-9 && math.Abs(s.Slope-2) < 1e-9 && math.Abs(s.R2-1) < 1e-9, "%v", s)
	s = fitSeries("s", "B", "host", []Point{{0, 0}, {1, 2}, {2, 1}, {3, 3}})
	// Computed by hand: slope 4/5, intercept 0.3, r2 0.64.
	assert.Assert(t, math.Abs(s.Intercept-0.3) < 1e-9 && math.Abs(s.Slope-0.8) < 1e-9 && math.Abs(s.R2-0.64) < 1e-9, "%v", s)
}

// Guards against NaN in the report if all values of a series are equal: R2 divides
// by their variance.
func TestFitSeriesConstantValues(t *testing.T) {
	s := fitSeries("s", "B", "host", []Point{{1, 7}, {2, 7}, {3, 7}})
	assert.Equal(t, s.R2, 1.0)
	assert.Equal(t, s.At(490), 7.0)
}

// Guards against a value of the line being returned for a size that was measured.
func TestAtReturnsMeasuredValue(t *testing.T) {
	s := fitSeries("s", "B", "host", []Point{{10, 25}, {20, 45}, {40, 86}})
	assert.Equal(t, s.At(40), 86.0)
	assert.Assert(t, s.At(30) != 0)
}

// constantSeries returns a series with the same value at each size.
func constantSeries(name string, value float64) Series {
	return fitSeries(name, "", "host", []Point{{9, value}, {Target.Hosts, value}, {targetEntityCount(), value}})
}

// proportionalSeries returns a series whose values are slope times the size.
func proportionalSeries(name string, slope float64) Series {
	return fitSeries(name, "", "x", []Point{{0, 0}, {1, slope}, {2, 2 * slope}})
}

// Guards against wrong unit conversions. The expected values are computed by hand
// from round measurements.
func TestComputeCapacity(t *testing.T) {
	r := &Result{
		Series: []Series{
			constantSeries("exchange_bytes", 1000), constantSeries("exchange_cpu", 100), constantSeries("exchanges_sent", 6), constantSeries("fleet_cpu", 0.25),
			constantSeries("fleet_memory", 1e6), constantSeries("store_reads", 490), constantSeries("store_writes", 196),
			constantSeries("document_gzip_bytes", 86_400), constantSeries("document_decode_cpu", 80), constantSeries("document_gzip_cpu", 6), constantSeries("document_gunzip_cpu", 0.4), constantSeries("document_memory", 2e6),
			proportionalSeries("poll_cpu", 30), proportionalSeries("poll_bytes", 300), constantSeries("grant_cpu", 5), proportionalSeries("connection_memory", 17_000),
		},
		PathCosts: []PathCost{{Path: pathDirect, CPUMicros: 30}, {Path: pathTwoHosts, CPUMicros: 130}},
	}
	c, err := computeCapacity(r)
	assert.NilError(t, err)
	assertNear := func(got, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got-want) < 1e-6*math.Abs(want), "got %g, want %g", got, want)
	}
	assertNear(c.Loads[0].BytesPerSecond, 12_000)              // 6 exchanges sent and 6 answered per second
	assertNear(c.Loads[0].CPUPercent, 0.25+0.06)               // 6 x 100 us is 0.06 %
	assertNear(c.Loads[2].BytesPerSecond, 5000)                // 2500 documents fetched and served per day
	assertNear(c.Loads[2].CPUPercent, 0.25)                    // 2500 x 86.4 ms per day
	assertNear(c.Loads[2].MemoryBytes, 4e6)                    // two documents
	assertNear(c.Loads[3].BytesPerSecond, 4*850.0/490*300)     // 4 polls per second for each database
	assertNear(c.Grants.CPUPercent, 200_000.0/490*105/1e6*100) // one grant request per statement
	assertNear(c.MinterCPUPercent, 200_000.0/40*55/1e6*100)    // 40 minter roles
	assertNear(c.StoreReads, 490+85+49)                        // leases and roles, group rows, host lists
	assertNear(c.EntryMemoryBytes, 17_000*2.5e6/490)           // connections of one host
	assertNear(c.EntryCPUPercent, 100*200_000.0/490/1e6*100)   // 100 us for each statement
	assertNear(c.Control.CPUPercent, sum(c.Loads, func(l Load) float64 { return l.CPUPercent }))

	r.Series = r.Series[1:]
	_, err = computeCapacity(r)
	assert.ErrorContains(t, err, "exchange_bytes")
}

func sum(loads []Load, f func(Load) float64) (total float64) {
	for _, l := range loads {
		total += f(l)
	}
	return total
}

// Guards against a scenario that no longer runs: with small sizes, every series
// must be measured and plotted.
func TestRunWithSmallSizes(t *testing.T) {
	r, err := Run(t.Context(), Options{
		Seed: 1, Hosts: []int{5, 9}, SimulatedTime: 3 * time.Second, LargeFleetSimulatedTime: time.Second, LargeFleetHosts: 200, CallsPerMeasurement: 100,
		Polls: []int{50, 100}, Customers: []int{5, 10}, UnsettledGrants: []int{1, 5},
		Connections: []int{10, 30}, Concurrencies: []int{1, 2}, PathTime: 50 * time.Millisecond,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(r.PathCosts), 6)
	for _, p := range r.PathCosts {
		assert.Assert(t, p.PerSecond > 0 && p.CPUMicros > 0 && p.P99Micros >= p.P50Micros, "%+v", p)
	}
	for _, s := range r.Series {
		assert.Assert(t, !math.IsNaN(s.Slope) && s.R2 <= 1+1e-9, "%s: %v", s.Name, s)
	}
	dir := t.TempDir()
	assert.NilError(t, r.Plot(dir))
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(files), len(plottedSeries))
}
