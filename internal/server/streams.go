package server

import (
	"context"
	"sync"
	"time"
)

// streamCheckInterval is the interval at which the hosts of open Run streams are
// checked for reachability.
const streamCheckInterval = 200 * time.Millisecond

// streams tracks the open Run streams to other hosts. A frozen host or a link
// that drops all packets leaves a stream open without an answer, so streams to a
// host that no longer answers heartbeats are cancelled. The host may have executed
// the request of a cancelled stream.
type streams struct {
	mu     sync.Mutex
	nextID uint64
	// open holds the cancel functions of the open streams by host and stream ID.
	open map[string]map[uint64]context.CancelFunc
}

// add registers a new stream to the host and returns the stream's context. ctx
// must end with the stream, since that removes the registration.
func (s *streams) add(ctx context.Context, host string) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[string]map[uint64]context.CancelFunc{}
	}
	if s.open[host] == nil {
		s.open[host] = map[uint64]context.CancelFunc{}
	}
	s.nextID++
	id := s.nextID
	s.open[host][id] = cancel
	context.AfterFunc(ctx, func() { s.remove(host, id) })
	return ctx
}

func (s *streams) remove(host string, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.open[host][id]; ok {
		cancel()
		delete(s.open[host], id)
	}
	if len(s.open[host]) == 0 {
		delete(s.open, host)
	}
}

// cancelUnreachable cancels the streams to hosts that are not reachable.
func (s *streams) cancelUnreachable(reachable func(host string) bool) {
	for host, cancels := range s.snapshot() {
		if reachable(host) {
			continue
		}
		for _, cancel := range cancels {
			cancel()
		}
	}
}

func (s *streams) snapshot() map[string][]context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][]context.CancelFunc, len(s.open))
	for host, open := range s.open {
		for _, cancel := range open {
			all[host] = append(all[host], cancel)
		}
	}
	return all
}

// watch cancels streams to unreachable hosts at every streamCheckInterval until
// ctx ends.
func (s *streams) watch(ctx context.Context, reachable func(host string) bool) error {
	ticker := time.NewTicker(streamCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.cancelUnreachable(reachable)
		}
	}
}
