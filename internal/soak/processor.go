package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
)

const (
	// mostProcessor is the share of a processor that a host may use once all faults
	// are over: what the small machines of the users have. Callers that pause need
	// a few percent of one.
	mostProcessor = 0.4
	// clockTicks is the unit of processor times in /proc: 100 a second on Linux.
	clockTicks = 100
)

// watchProcessors checks the processor time of the hosts in the last part of a run
// whose callers pause.
func (r *run) watchProcessors(ctx context.Context) {
	if r.Plan.Think != 0 && r.Plan.Think < thinkTime {
		return
	}
	clock.Sleep(ctx, time.Until(r.started.Add(r.Plan.Duration-judged)))
	var wg sync.WaitGroup
	for _, p := range r.processes {
		wg.Go(func() {
			share, err := p.processorShare(ctx)
			switch {
			case err != nil:
				fmt.Fprintf(r.Out, "%s: %v\n", p.settings.Name, err)
			case share > mostProcessor:
				r.world.Oracle.Breach("PROCESSOR: %s used %.2f of a processor after all faults", p.settings.Name, share)
			}
		})
	}
	wg.Wait()
}

// processorShare returns the share of a processor that the process uses until ctx
// ends.
func (p *process) processorShare(ctx context.Context) (float64, error) {
	before, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	<-ctx.Done()
	after, err := p.processorTime()
	return float64(after-before) / float64(time.Since(began)), err
}

// processorTime returns the processor time that the running process has used.
func (p *process) processorTime() (time.Duration, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	// The second field is the program's name in parentheses; user and system time
	// are the 12th and 13th after it.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, errors.Errorf("process %d: %d fields", pid, len(fields))
	}
	u, err := strconv.ParseInt(fields[user], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "user time")
	}
	sys, err := strconv.ParseInt(fields[system], 10, 64)
	return time.Duration(u+sys) * time.Second / clockTicks, errors.Wrap(err, "system time")
}
