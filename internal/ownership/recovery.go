package ownership

import "time"

// startupPeriod is the time after the start of the process in which roles without a
// registered holder are expected to be claimed.
const startupPeriod = 2 * time.Second

// firstHeartbeatPeriod is the time after this host has first read the row of another one
// for which that host counts as alive without a heartbeat. It takes about half of it until
// the heartbeats of a fleet that starts at once have spread.
const firstHeartbeatPeriod = time.Second

// isJustRegistered reports whether a host is expected to be alive although its first
// heartbeat has not arrived yet, with EnableFastRecovery. Without it, hosts of a fleet that
// starts at once would disagree on the home hosts and refuse calls to each other.
func (m *Machine) isJustRegistered(now time.Duration, r *hostRow) bool {
	return m.zoneWatch != nil && r.heartbeat == nil && now-r.firstSeenAt < firstHeartbeatPeriod
}

// predecessorEnd is a time by which the holder before this host had ended, for the epoch
// that this host claimed.
type predecessorEnd struct {
	epoch uint64
	at    time.Duration
}

// recordPredecessorEnd records when the holder in the row r, which this host replaces in
// the next epoch, had ended at the latest. This is known only if its process has been
// replaced by another one at the same address, and if no earlier holder can have used the
// role beside it. The time is never before this host read the row: a leaving host may have
// written it, and may have used the role until then.
func (m *Machine) recordPredecessorEnd(name string, r *roleRow, next Role) {
	delete(m.predecessorEnds, name)
	if r == nil || !r.NoTakeoverWait || !next.NoTakeoverWait || !m.isOfThisEra(r) {
		return
	}
	h, ok := m.hosts[r.Holder]
	switch {
	case r.Holder == m.self.Name && r.Address == m.self.Address:
		m.predecessorEnds[name] = predecessorEnd{next.Epoch, max(m.startedAt, r.firstSeenAt)}
	case ok && h.Incarnation != r.Incarnation && h.Address == r.Address:
		m.predecessorEnds[name] = predecessorEnd{next.Epoch, max(h.firstSeenAt, r.firstSeenAt)}
	}
}

// PredecessorEnd returns a time by which the previous holder of a role had ended, if this
// host claimed the role in the epoch and knows such a time.
func (m *Machine) PredecessorEnd(role string, epoch uint64) (time.Duration, bool) {
	p, ok := m.predecessorEnds[role]
	return p.at, ok && p.epoch == epoch
}

// IsStarting reports whether the role is about to get a holder or got one less than the
// time warmup ago, and the holder had or has no takeover wait. It returns false if this
// host is cut off from the store.
func (m *Machine) IsStarting(now time.Duration, role string, warmup time.Duration) bool {
	starting := now-m.startedAt < startupPeriod
	if !m.rowsLoaded {
		return starting
	}
	if now-m.confirmedAt >= maxFreshAge {
		return false
	}
	r, ok := m.roles[role]
	if !ok {
		return starting
	}
	h, registered := m.hosts[r.Holder]
	if !registered || h.Incarnation != r.Incarnation {
		return true
	}
	return r.NoTakeoverWait && now-r.firstSeenAt < warmup
}

// PredecessorEnd returns a time by which the previous holder of a role had ended, if this
// host claimed the role in the epoch and knows such a time.
func (s *Shell) PredecessorEnd(role string, epoch uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.PredecessorEnd(role, epoch)
}

// IsStarting reports whether a holder of the role starts, see Machine.IsStarting.
func (s *Shell) IsStarting(role string, warmup time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.IsStarting(s.opt.Clock(), role, warmup)
}

// wakeForRecovery makes Run tick at once, so that roles are claimed without waiting for the
// next interval.
func (s *Shell) wakeForRecovery() {
	if !s.opt.FastRecovery {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
