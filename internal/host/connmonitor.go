package host

import (
	"sync"
	"time"
)

const (
	// A connection to a host counts as silent when missedHeartbeatLimit heartbeats
	// in a row have timed out and no call of any kind has been answered for
	// silenceTimeout. A host that is only slow keeps its connection, because
	// replacing it aborts all calls in flight and makes the host slower.
	missedHeartbeatLimit = 2
	silenceTimeout       = 700 * time.Millisecond
)

// connMonitor distinguishes silent connections to other hosts from slow ones. The
// zero value is ready for use.
type connMonitor struct {
	mu    sync.Mutex
	conns map[string]connState
}

type connState struct {
	lastAnswer time.Duration
	// missedHeartbeats counts the heartbeats that timed out since the last answer.
	missedHeartbeats int
}

// recordAnswer records that a call to the address was answered at the time now.
func (m *connMonitor) recordAnswer(address string, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns == nil {
		m.conns = map[string]connState{}
	}
	m.conns[address] = connState{lastAnswer: now}
}

// recordMissedHeartbeat records a heartbeat to the address that timed out. It
// returns true when the connection counts as silent and must be replaced, and then
// resets the state for the next connection.
func (m *connMonitor) recordMissedHeartbeat(address string, now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns == nil {
		m.conns = map[string]connState{}
	}
	s := m.conns[address]
	s.missedHeartbeats++
	m.conns[address] = s
	if s.missedHeartbeats < missedHeartbeatLimit || now-s.lastAnswer < silenceTimeout {
		return false
	}
	m.conns[address] = connState{lastAnswer: now}
	return true
}
