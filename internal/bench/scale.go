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
	for _, p := range result.Paths {
		r.add(fmt.Sprintf("statement, %s, %d callers", p.Way, p.Concurrency), p)
	}
	c := result.Capacity
	for _, l := range append(c.Loads, c.Grants) {
		r.add("node: "+l.Duty, l)
	}
	r.addAtMost("control_cpu_percent", c.Control.CPU, scale.MaxCPUPercent)
	r.addAtMost("control_bytes_per_s", c.Control.Bytes, scale.MaxBytes)
	r.addAtMost("control_memory_bytes", c.Control.Memory, scale.MaxMemory)
	r.addAtMost("grants_cpu_percent", c.Grants.CPU, scale.MaxCPUPercent)
	r.addAtMost("grants_bytes_per_s", c.Grants.Bytes, scale.MaxBytes)
	r.add("minter_cpu_percent", c.MinterCPU)
	r.addAtMost("store_reads_per_s", c.Reads, scale.MaxStoreReads)
	r.addAtMost("store_writes_per_s", c.Writes, scale.MaxStoreWrites)
	r.add("entry_memory_bytes", c.EntryMemory)
	r.add("entry_cpu_percent", c.EntryCPU)
	return r
}
