package scale

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/fleet"
)

// rateShards is the number of minter roles in each zone.
const rateShards = fleet.MinterShards

// Options are the sizes and durations of a run. Each size is one point of a
// series; a series needs two different sizes.
type Options struct {
	Seed uint64
	// Hosts are the numbers of hosts of the simulated fleets and their documents,
	// in ascending order.
	Hosts []int
	// SimulatedTime is the simulated time in which store calls are counted. It is
	// LargeFleetSimulatedTime for fleets of more than LargeFleetHosts hosts.
	SimulatedTime           time.Duration
	LargeFleetSimulatedTime time.Duration
	LargeFleetHosts         int
	// CallsPerMeasurement is the number of calls over which the cost of one call is
	// averaged.
	CallsPerMeasurement int
	// Polls are numbers of status polls, Customers numbers of customers with a rate
	// limit, UnsettledGrants numbers of grants that are not settled, and Connections,
	// in ascending order, numbers of open client connections.
	Polls           []int
	Customers       []int
	UnsettledGrants []int
	Connections     []int
	// Concurrencies are numbers of concurrent callers, in ascending order.
	Concurrencies []int
	// PathTime is the time under load on one path at one concurrency.
	PathTime time.Duration
}

// Defaults returns the options of the benchmark command.
func Defaults() Options {
	return Options{
		Seed: 1, Hosts: []int{9, 50, 150, 490}, SimulatedTime: time.Minute, LargeFleetSimulatedTime: 4 * time.Second, LargeFleetHosts: 200, CallsPerMeasurement: 2000,
		Polls: []int{2000, 4000, 8000}, Customers: []int{100, 500, 2000}, UnsettledGrants: []int{10, 100, 490},
		Connections: []int{1000, 3000, 6000}, Concurrencies: []int{1, 8, 32}, PathTime: 600 * time.Millisecond,
	}
}

// Result holds the measurements of a run.
type Result struct {
	Series    []Series
	PathCosts []PathCost
	Capacity  Capacity
}

func (r *Result) series(name string) (Series, bool) {
	for _, s := range r.Series {
		if s.Name == name {
			return s, true
		}
	}
	return Series{}, false
}

// Run performs all measurements. It returns an error if one of them fails or if
// ctx is done.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &Result{}
	if err := r.measureDeployment(ctx, o); err != nil {
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
	r.Capacity, err = computeCapacity(r)
	return r, err
}

// measureDeployment adds the measurements that need a running cluster: the cost
// of each path and the memory of client connections.
func (r *Result) measureDeployment(ctx context.Context, o Options) error {
	d, err := deploy(ctx)
	if err != nil {
		return err
	}
	defer d.stop()
	if r.PathCosts, err = measurePaths(ctx, d, o); err != nil {
		return err
	}
	s, err := connectionSeries(ctx, d, o)
	r.Series = append(r.Series, s...)
	return err
}
