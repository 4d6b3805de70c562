package scale

import (
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against swapped or wrongly weighted axes of the fit.
func TestFittedFindsTheLine(t *testing.T) {
	s := fitted("s", "B", "host", []Point{{10, 25}, {20, 45}, {40, 85}})
	assert.Assert(t, math.Abs(s.Intercept-5) < 1e-9 && math.Abs(s.Slope-2) < 1e-9 && math.Abs(s.R2-1) < 1e-9, "%v", s)
	s = fitted("s", "B", "host", []Point{{0, 0}, {1, 2}, {2, 1}, {3, 3}})
	// By hand: slope 4/5, intercept 0.3, r2 0.64.
	assert.Assert(t, math.Abs(s.Intercept-0.3) < 1e-9 && math.Abs(s.Slope-0.8) < 1e-9 && math.Abs(s.R2-0.64) < 1e-9, "%v", s)
}

// Guards against a NaN in the report where all values are equal.
func TestFittedTakesAConstant(t *testing.T) {
	s := fitted("s", "B", "host", []Point{{1, 7}, {2, 7}, {3, 7}})
	assert.Equal(t, s.R2, 1.0)
	assert.Equal(t, s.At(490), 7.0)
}

// Guards against a figure from the line where the size itself was measured.
func TestAtPrefersTheMeasurement(t *testing.T) {
	s := fitted("s", "B", "host", []Point{{10, 25}, {20, 45}, {40, 86}})
	assert.Equal(t, s.At(40), 86.0)
	assert.Assert(t, s.At(30) != 0)
}

// constant returns a series with the same value at each size.
func constant(name string, value float64) Series {
	return fitted(name, "", "host", []Point{{9, value}, {Target.Hosts, value}, {targetEntities(), value}})
}

// proportional returns a series with the value per size.
func proportional(name string, slope float64) Series {
	return fitted(name, "", "x", []Point{{0, 0}, {1, slope}, {2, 2 * slope}})
}

// Guards against units lost in the arithmetic: expected values are worked out by
// hand from round measurements.
func TestCapacityArithmetic(t *testing.T) {
	r := &Result{
		Series: []Series{
			constant("exchange_bytes", 1000), constant("exchange_cpu", 100), constant("exchanges_sent", 6), constant("fleet_cpu", 0.25),
			constant("fleet_memory", 1e6), constant("store_reads", 490), constant("store_writes", 196),
			constant("document_gzip_bytes", 86_400), constant("document_decode_cpu", 80), constant("document_gzip_cpu", 6), constant("document_gunzip_cpu", 0.4), constant("document_memory", 2e6),
			proportional("poll_cpu", 30), proportional("poll_bytes", 300), constant("grant_cpu", 5), proportional("connection_memory", 17_000),
		},
		Paths: []Path{{Way: wayDirect, CPU: 30}, {Way: wayTwoHosts, CPU: 130}},
	}
	c, err := capacity(r)
	assert.NilError(t, err)
	near := func(got, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got-want) < 1e-6*math.Abs(want), "got %g, want %g", got, want)
	}
	near(c.Loads[0].Bytes, 12_000)                // 6 sent and 6 answered
	near(c.Loads[0].CPU, 0.25+0.06)               // 6 x 100 us is 0.06 %
	near(c.Loads[2].Bytes, 5000)                  // 2500 fetched and served a day
	near(c.Loads[2].CPU, 0.25)                    // 2500 x 86.4 ms a day
	near(c.Loads[2].Memory, 4e6)                  // two documents
	near(c.Loads[3].Bytes, 4*850.0/490*300)       // 4 polls a second for each database
	near(c.Grants.CPU, 200_000.0/490*105/1e6*100) // one ask per statement
	near(c.MinterCPU, 200_000.0/40*55/1e6*100)    // 40 minter roles
	near(c.Reads, 490+85+49)                      // leases and roles, group rows, host lists
	near(c.EntryMemory, 17_000*2.5e6/490)         // connections of one host
	near(c.EntryCPU, 100*200_000.0/490/1e6*100)   // 100 us for each statement
	near(c.Control.CPU, sum(c.Loads, func(l Load) float64 { return l.CPU }))

	r.Series = r.Series[1:]
	_, err = capacity(r)
	assert.ErrorContains(t, err, "exchange_bytes")
}

func sum(loads []Load, f func(Load) float64) (total float64) {
	for _, l := range loads {
		total += f(l)
	}
	return total
}

// Guards against a scenario that no longer runs: every series has to be measured
// and plotted, at tiny sizes.
func TestRunAtTinySizes(t *testing.T) {
	r, err := Run(t.Context(), Options{
		Seed: 1, Hosts: []int{5, 9}, Simulated: 3 * time.Second, SimulatedLarge: time.Second, LargeFleet: 200, Calls: 100,
		Polls: []int{50, 100}, Customers: []int{5, 10}, OpenGrants: []int{1, 5},
		Connections: []int{10, 30}, Concurrencies: []int{1, 2}, PathTime: 50 * time.Millisecond,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Paths), 6)
	for _, p := range r.Paths {
		assert.Assert(t, p.PerSecond > 0 && p.CPU > 0 && p.P99 >= p.P50, "%+v", p)
	}
	for _, s := range r.Series {
		assert.Assert(t, !math.IsNaN(s.Slope) && s.R2 <= 1+1e-9, "%s: %v", s.Name, s)
	}
	dir := t.TempDir()
	assert.NilError(t, r.Plot(dir))
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(files), len(plotted))
}
