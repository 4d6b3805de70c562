package host

import (
	"sync"
	"time"
)

const (
	// silentHeartbeats and silentFor say when a connection to a host counts as
	// silent: so many heartbeats in a row and every other call have had no answer
	// for that time. A host that is only slow keeps its connection, because
	// replacing it breaks all calls in flight off and makes the host slower.
	silentHeartbeats = 2
	silentFor        = 700 * time.Millisecond
)

// links tells silent connections to hosts from slow ones. The zero value is ready
// for use.
type links struct {
	mu    sync.Mutex
	state map[string]link
}

type link struct {
	answered time.Duration
	overdue  int
}

// answered notes an answer over the connection to the address.
func (l *links) answered(address string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == nil {
		l.state = map[string]link{}
	}
	l.state[address] = link{answered: now}
}

// silent notes an overdue heartbeat and reports whether the connection is to be
// replaced.
func (l *links) silent(address string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == nil {
		l.state = map[string]link{}
	}
	s := l.state[address]
	s.overdue++
	l.state[address] = s
	if s.overdue < silentHeartbeats || now-s.answered < silentFor {
		return false
	}
	l.state[address] = link{answered: now}
	return true
}
