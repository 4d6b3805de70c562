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
	// maxProcessorShare is the share of one processor that a host may use once all
	// faults are over. The users' small machines provide that share. The load of
	// callers that pause between operations needs a few percent.
	maxProcessorShare = 0.4
	// clockTicksPerSecond converts the processor times in /proc, which Linux gives in
	// units of 10 ms.
	clockTicksPerSecond = 100
)

// checkProcessorShares records a breach for every host that uses more than
// maxProcessorShare in the final window. It skips runs whose callers hardly pause.
func (r *run) checkProcessorShares(ctx context.Context) {
	if r.Plan.ThinkTime != 0 && r.Plan.ThinkTime < thinkTime {
		return
	}
	clock.Sleep(ctx, time.Until(r.startTime.Add(r.Plan.Duration-finalWindow)))
	var wg sync.WaitGroup
	for _, p := range r.processes {
		wg.Go(func() {
			share, err := p.processorShare(ctx)
			switch {
			case err != nil:
				fmt.Fprintf(r.Out, "%s: %v\n", p.settings.Name, err)
			case share > maxProcessorShare:
				r.env.Oracle.RecordBreach("PROCESSOR: %s used %.2f of a processor after the end of all faults", p.settings.Name, share)
			}
		})
	}
	wg.Wait()
}

// processorShare waits until ctx ends and returns the share of one processor that the
// process used in that time.
func (p *process) processorShare(ctx context.Context) (float64, error) {
	before, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	<-ctx.Done()
	after, err := p.processorTime()
	return float64(after-before) / float64(time.Since(begin)), err
}

// processorTime returns the user and system time of the process since its start.
func (p *process) processorTime() (time.Duration, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	// The second field is the program name in parentheses, which may contain spaces.
	// The user and system times are the 12th and 13th fields after it.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, errors.Errorf("stat file of process %d has only %d fields after the program name", pid, len(fields))
	}
	u, err := strconv.ParseInt(fields[user], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse user time")
	}
	sys, err := strconv.ParseInt(fields[system], 10, 64)
	return time.Duration(u+sys) * time.Second / clockTicksPerSecond, errors.Wrap(err, "parse system time")
}
