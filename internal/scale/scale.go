package scale

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/fleet"
)

const rateShards = fleet.RateShards

// Options are the sizes of a run.
type Options struct {
	Seed uint64
	// Hosts are the sizes of the fleet, ascending, and of its document.
	Hosts []int
	// Simulated is the time in which store calls are counted; fleets above
	// LargeFleet hosts run for SimulatedLarge.
	Simulated      time.Duration
	SimulatedLarge time.Duration
	LargeFleet     int
	// Calls is the number of calls of a measurement of one call.
	Calls         int
	Polls         []int
	Customers     []int
	OpenGrants    []int
	Connections   []int
	Concurrencies []int
	// PathTime is the time under load on one way at one concurrency.
	PathTime time.Duration
}

// Defaults returns the sizes of the benchmark command.
func Defaults() Options {
	return Options{
		Seed: 1, Hosts: []int{9, 50, 150, 490}, Simulated: time.Minute, SimulatedLarge: 4 * time.Second, LargeFleet: 200, Calls: 2000,
		Polls: []int{2000, 4000, 8000}, Customers: []int{100, 500, 2000}, OpenGrants: []int{10, 100, 490},
		Connections: []int{1000, 3000, 6000}, Concurrencies: []int{1, 8, 32}, PathTime: 600 * time.Millisecond,
	}
}

// Result holds the measurements of a run.
type Result struct {
	Series   []Series
	Paths    []Path
	Capacity Capacity
}

func (r *Result) series(name string) (Series, bool) {
	for _, s := range r.Series {
		if s.Name == name {
			return s, true
		}
	}
	return Series{}, false
}

// Run measures everything.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &Result{}
	if err := r.deployed(ctx, o); err != nil {
		return nil, err
	}
	for _, f := range []func() ([]Series, error){
		func() ([]Series, error) { return documentSeries(o) },
		func() ([]Series, error) { return pollSeries(ctx, o) },
		func() ([]Series, error) { return minterSeries(ctx, o) },
		func() ([]Series, error) { return fleetSeries(ctx, o) },
	} {
		s, err := f()
		if err != nil {
			return nil, err
		}
		r.Series = append(r.Series, s...)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	var err error
	r.Capacity, err = capacity(r)
	return r, err
}

// deployed measures what needs a running deployment.
func (r *Result) deployed(ctx context.Context, o Options) error {
	d, err := deploy(ctx)
	if err != nil {
		return err
	}
	defer d.stop()
	if r.Paths, err = paths(ctx, d, o); err != nil {
		return err
	}
	s, err := connectionSeries(ctx, d, o)
	r.Series = append(r.Series, s...)
	return err
}
