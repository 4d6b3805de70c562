package host

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/limit"
)

const (
	// maxAcceptDelay bounds the time after the start for which callers wait for the first
	// configuration. They give up a connection after 2 s.
	maxAcceptDelay = time.Second
	// startupHeartbeatInterval is the time between rounds of heartbeats during
	// startupHeartbeats after the start, so that hosts that start together find each other.
	startupHeartbeatInterval = 100 * time.Millisecond
	startupHeartbeats        = time.Second
	// configurationPollInterval is the interval of checks for the first configuration.
	configurationPollInterval = 5 * time.Millisecond
)

// isMinterStarting reports whether a minter of the customer has just started or is about
// to.
func (d *directory) isMinterStarting(name string) bool {
	for _, z := range d.zones {
		if d.ownership.IsStarting(customer.MinterRole(z, name), limit.MinterWarmup) {
			return true
		}
	}
	return false
}

// serveCallers accepts callers, with FastRecovery once the first configuration is in force
// or maxAcceptDelay has passed. Until then they wait in the queue of the listener instead of
// being refused.
func (h *Host) serveCallers(ctx context.Context) error {
	if h.fastRecovery {
		began := h.clock()
		ctx, cancel := context.WithTimeout(ctx, maxAcceptDelay)
		pollUntil(ctx, configurationPollInterval, func() bool { return h.catalog.Snapshot().Version() > 0 })
		cancel()
		h.log.Info().Dur("after", h.clock()-began).Uint64("version", uint64(h.catalog.Snapshot().Version())).Msg("accepting callers")
	}
	return h.frontend.Run()
}

// runStartupHeartbeats starts rounds of heartbeats in short succession after the start.
func (h *Host) runStartupHeartbeats(ctx context.Context) {
	if !h.fastRecovery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startupHeartbeats)
	defer cancel()
	for clock.Sleep(ctx, startupHeartbeatInterval) {
		h.peerCalls.requestRound()
	}
}

// requestRound makes runHeartbeats start a round before the next interval.
func (c *peerCalls) requestRound() {
	select {
	case c.extraRounds <- struct{}{}:
	default:
	}
}
