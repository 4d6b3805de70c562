package serverload

import (
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// MaxAge is the age from which on a load says nothing about the server any more.
const MaxAge = 2 * time.Second

// maxUnlimitedShared is the number of servers up to which the loads of all of them are
// shared. Beyond it, heartbeats would grow with hosts times servers.
const maxUnlimitedShared = 64

// Load is the load of a backend server at one moment.
type Load struct {
	Server string
	// Slots is the number of slots of the server, Running the number in use, and
	// Waiting the number of requests that wait for one.
	Slots, Running, Waiting int
	// FreeConnections is the number of connections that are idle or may be opened.
	FreeConnections int
	// Wait is the expected wait for a slot of a new request, by priority. The last
	// entry applies to all lower priorities.
	Wait []time.Duration
	// Service is the mean time for which a statement uses a slot.
	Service time.Duration
	// Pace limits the concurrent statements below Slots; 0 for no such limit.
	Pace int
	// Ejected is set while the server gets no requests but probes.
	Ejected bool
	// MeasuredAt is the time of the measurement on the clock of this host, never
	// later than it really was.
	MeasuredAt time.Duration
}

// ExpectedWait returns the expected wait for a slot of a request of the priority.
func (l Load) ExpectedWait(priority int) time.Duration {
	if len(l.Wait) == 0 {
		return 0
	}
	return l.Wait[min(max(priority, 0), len(l.Wait)-1)]
}

// Limits reports whether the load gives a reason to prefer another server: a server without
// free slots, and one that is paced or ejected.
func (l Load) Limits() bool {
	return l.Ejected || l.Pace > 0 || l.Waiting > 0 || l.Running >= l.Slots
}

// Encode returns the message that carries the load at the time now.
func Encode(now time.Duration, l Load) *peerpb.ServerLoad {
	m := &peerpb.ServerLoad{
		Server: l.Server, Slots: uint32(l.Slots), Running: uint32(l.Running), Waiting: uint32(l.Waiting),
		FreeConnections: uint32(max(l.FreeConnections, 0)), ServiceUs: uint32(l.Service.Microseconds()), Pace: uint32(l.Pace),
		Ejected: l.Ejected, AgeUs: peer.CeilMicroseconds(now - l.MeasuredAt),
	}
	for _, w := range l.Wait {
		m.WaitUs = append(m.WaitUs, uint32(w.Microseconds()))
	}
	return m
}

// Decode returns the load of a message. asOf is the time at which the request for it
// was sent, so that the load never looks younger than it is.
func Decode(asOf time.Duration, m *peerpb.ServerLoad) Load {
	l := Load{
		Server: m.GetServer(), Slots: int(m.GetSlots()), Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()),
		FreeConnections: int(m.GetFreeConnections()), Service: time.Duration(m.GetServiceUs()) * time.Microsecond, Pace: int(m.GetPace()),
		Ejected: m.GetEjected(), MeasuredAt: asOf - time.Duration(max(m.GetAgeUs(), 0))*time.Microsecond,
	}
	for _, w := range m.GetWaitUs() {
		l.Wait = append(l.Wait, time.Duration(w)*time.Microsecond)
	}
	return l
}

// Table holds the newest known load of each server. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	loads map[string]Load
	// limitedAt holds the time of the newest load of each server that Limits.
	limitedAt map[string]time.Duration
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{loads: map[string]Load{}, limitedAt: map[string]time.Duration{}}
}

// Record stores a load unless a newer one of the same server is known.
func (t *Table) Record(l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.loads[l.Server]; !ok || l.MeasuredAt > old.MeasuredAt {
		t.loads[l.Server] = l
		if l.Limits() {
			t.limitedAt[l.Server] = l.MeasuredAt
		}
	}
}

// Get returns the newest load of the server and its age. ok is false if there is none
// that is younger than MaxAge.
func (t *Table) Get(now time.Duration, server string) (l Load, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok = t.loads[server]
	age = now - l.MeasuredAt
	return l, age, ok && age < MaxAge
}

// Shared returns the loads that other hosts should know, and removes those of MaxAge and
// more. With more than maxUnlimitedShared servers these are the loads of servers that were
// limited less than MaxAge ago, so that the others also learn that a server is free again.
func (t *Table) Shared(now time.Duration) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := len(t.loads) <= maxUnlimitedShared
	var shared []Load
	for server, l := range t.loads {
		if now-l.MeasuredAt >= MaxAge {
			delete(t.loads, server)
			delete(t.limitedAt, server)
			continue
		}
		if at, ok := t.limitedAt[server]; all || ok && now-at < MaxAge {
			shared = append(shared, l)
		}
	}
	return shared
}
