package limit

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/customer"
)

const (
	// recoveryWaitShare is the share of the latency target for which a request waits for a
	// new minter. The rest is for its run. One that is admitted later takes the token of a
	// request that can still be in time.
	recoveryWaitShare = 0.75
	// maxRecoveryWait bounds that wait. Minters start within 0.4 s of a restart of the
	// whole fleet.
	maxRecoveryWait = 500 * time.Millisecond
	// MinterWarmup is the time after the claim of a minter role in which requests may wait
	// longer for tokens: the reserve for grants of the predecessor expires, and callers
	// repeat what was refused while there was no minter.
	MinterWarmup = customer.GrantValidity + 500*time.Millisecond
)

// recoveryWait returns how long a request waits for tokens while a minter starts, and false
// if no minter of the customer does or ctx leaves no more time than usual.
func (a *admission) recoveryWait(ctx context.Context) (time.Duration, bool) {
	recovering := a.limiter.opts.Recovering
	if recovering == nil || !recovering(a.name) {
		return 0, false
	}
	wait := maxRecoveryWait
	if target, ok := ctx.Value(latencyTargetKey{}).(time.Duration); ok {
		wait = min(wait, time.Duration(recoveryWaitShare*float64(target)))
	}
	return wait, wait > a.limiter.opts.MaxWait
}

type latencyTargetKey struct{}

// WithLatencyTarget returns a context for Admit that carries the latency target of the
// operation.
func WithLatencyTarget(ctx context.Context, target time.Duration) context.Context {
	return context.WithValue(ctx, latencyTargetKey{}, target)
}

// SetPredecessorEnd sets the function that returns a time by which the previous holder of a
// role had ended, and with it the last grant, if this host holds the role in the epoch. A
// new minter then mints from that time instead of from the takeover. Call it before any
// other method.
func (m *Minters) SetPredecessorEnd(end func(role string, epoch uint64) (time.Duration, bool)) {
	m.predecessorEnd = end
}

// mintsFrom returns the time from which the minters of a role mint that this host has held
// since now at the latest.
func (m *Minters) mintsFrom(now time.Duration, role string, epoch uint64) time.Duration {
	if m.predecessorEnd == nil {
		return now
	}
	if ended, ok := m.predecessorEnd(role, epoch); ok {
		return min(now, ended)
	}
	return now
}
