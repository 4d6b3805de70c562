package bench

import (
	"context"
	"fmt"

	"github.com/cranberryhinge/cranberryhinge/internal/scale"
)

// runScale measures how costs grow with the size of the fleet. It uses neither an example
// configuration nor opts.Duration.
func runScale(ctx context.Context, opts Options) (*Report, error) {
	sizes := scale.Defaults()
	sizes.Seed = opts.Seed
	result, err := scale.Run(ctx, sizes)
	if err != nil {
		return nil, err
	}
	if opts.Plot != "" {
		if err := result.Plot(opts.Plot); err != nil {
			return nil, err
		}
	}
	return scaleReport(result), nil
}

func scaleReport(result *scale.Result) *Report {
	r := &Report{Scenario: "scale"}
	for _, s := range result.Series {
		r.add(s.Name, s)
	}
	for _, p := range result.PathCosts {
		r.add(fmt.Sprintf("statement, %s, %d callers", p.Path, p.Concurrency), p)
	}
	c := result.Capacity
	for _, l := range append(c.Loads, c.Grants) {
		r.add("node: "+l.Duty, l)
	}
	r.addAtMost("control_cpu_percent", c.Control.CPUPercent, scale.MaxCPUPercent)
	r.addAtMost("control_bytes_per_s", c.Control.BytesPerSecond, scale.MaxBytesPerSecond)
	r.addAtMost("control_memory_bytes", c.Control.MemoryBytes, scale.MaxMemoryBytes)
	r.addAtMost("grants_cpu_percent", c.Grants.CPUPercent, scale.MaxCPUPercent)
	r.addAtMost("grants_bytes_per_s", c.Grants.BytesPerSecond, scale.MaxBytesPerSecond)
	r.add("minter_cpu_percent", c.MinterCPUPercent)
	r.addAtMost("store_reads_per_s", c.StoreReads, scale.MaxStoreReadsPerSecond)
	r.addAtMost("store_writes_per_s", c.StoreWrites, scale.MaxStoreWritesPerSecond)
	r.add("entry_memory_bytes", c.EntryMemoryBytes)
	r.add("entry_cpu_percent", c.EntryCPUPercent)
	return r
}
