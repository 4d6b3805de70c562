package ownership

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

type hostRow struct {
	Host
	revision store.Revision
	// firstSeenAt is when this host first read a row with the incarnation.
	firstSeenAt time.Duration
	beatID      uint64
	// heartbeat is the newest heartbeat under the host's name, nil before the first one.
	heartbeat *receivedHeartbeat
}

type roleRow struct {
	Role
	name     string
	revision store.Revision
	// firstSeenAt is when this host first read this revision of the row.
	firstSeenAt time.Duration
}

func (m *Machine) hostKey(name string) string { return m.space + "/" + hostKeyPrefix + name }

func (m *Machine) roleKey(name string) string { return m.space + "/" + roleKeyPrefix + name }

// ApplyRows applies changes of the rows. If full is set, the changes are the
// complete set of rows. A confirmed time above 0 is a time at which this host
// had every row. It returns the keys of rows that cannot be decoded, once for each
// revision.
func (m *Machine) ApplyRows(now, confirmed time.Duration, changes []store.Change, full bool) (undecoded []string) {
	if full {
		m.removeUnlistedRows(changes)
		clear(m.undecodedRows)
		if !m.rowsLoaded {
			m.rowsLoaded, m.rowsLoadedAt = true, now
		}
	}
	for _, c := range changes {
		if m.applyChange(now, c) {
			delete(m.undecodedRows, c.Key)
			continue
		}
		m.undecodedRows[c.Key] = c.Revision
		if m.skipped.IsNew(c.Key, c.Revision) {
			undecoded = append(undecoded, c.Key)
		}
	}
	m.finishNewEra()
	if confirmed > 0 && now >= m.LeaseUntil() {
		m.leaseSince = now
	}
	m.confirmedAt = max(m.confirmedAt, confirmed)
	m.checkOwnRow()
	return undecoded
}

// expect returns the revision that a write of a row has to expect: that of the row, or
// that of a newer one that cannot be decoded.
func (m *Machine) expect(key string, rev store.Revision) store.Revision {
	return max(rev, m.undecodedRows[key])
}

func (m *Machine) removeUnlistedRows(changes []store.Change) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.Key] = true
	}
	for name := range m.hosts {
		if !listed[m.hostKey(name)] {
			m.removeHost(name)
		}
	}
	for name := range m.roles {
		if !listed[m.roleKey(name)] {
			delete(m.roles, name)
		}
	}
}

// applyChange applies a change of one row. It returns false if the row cannot be
// decoded.
func (m *Machine) applyChange(now time.Duration, c store.Change) bool {
	if c.Revision.Era() != m.eras.era {
		return true // of an earlier era, for instance the result of a write
	}
	key := strings.TrimPrefix(c.Key, m.space+"/")
	if name, ok := strings.CutPrefix(key, hostKeyPrefix); ok {
		return m.applyHostChange(now, name, c)
	}
	if name, ok := strings.CutPrefix(key, roleKeyPrefix); ok {
		return m.applyRoleChange(now, name, c)
	}
	return true
}

func (m *Machine) applyHostChange(now time.Duration, name string, c store.Change) bool {
	old, known := m.hosts[name]
	if known && c.Revision <= old.revision && !c.Removed {
		return true
	}
	if c.Removed {
		m.removeHost(name)
		return true
	}
	r := &hostRow{revision: c.Revision, firstSeenAt: now}
	if !decodeRow(c.Value, &r.Host) || r.Name != name {
		return false
	}
	if known && old.Incarnation == r.Incarnation {
		r.firstSeenAt = old.firstSeenAt
	}
	r.beatID, r.heartbeat = beatID(r.Name, r.Incarnation), m.heartbeats[name]
	m.hosts[name] = r
	m.hostsChanged()
	return true
}

// removeHost forgets a host whose row was removed. Its last heartbeat is not needed to
// suspect it, and would otherwise be kept forever.
func (m *Machine) removeHost(name string) {
	delete(m.hosts, name)
	delete(m.heartbeats, name)
	delete(m.unresponsiveUntil, name)
	m.hostsChanged()
}

// maxRowBytes bounds the value of a row of this space. Host and role rows have a few
// hundred bytes.
const maxRowBytes = 4096

// decodeRow decodes the value of a row and returns false if it is no valid one.
func decodeRow(value []byte, into any) bool {
	return len(value) <= maxRowBytes && json.Unmarshal(value, into) == nil
}

func (m *Machine) applyRoleChange(now time.Duration, name string, c store.Change) bool {
	old, known := m.roles[name]
	if known && c.Revision <= old.revision && !c.Removed {
		return true
	}
	if c.Removed {
		delete(m.roles, name)
		delete(m.eras.kept, name)
		return true
	}
	r := &roleRow{name: name, revision: c.Revision, firstSeenAt: now}
	if !decodeRow(c.Value, &r.Role) {
		return false
	}
	m.roles[name] = r
	if !m.eras.entering {
		delete(m.eras.kept, name)
	}
	delete(m.epochRequested, name)
	return true
}

// checkOwnRow updates registered and replaced from the row under this host's name.
func (m *Machine) checkOwnRow() {
	r, ok := m.hosts[m.self.Name]
	switch {
	case !ok:
	case r.Incarnation == m.self.Incarnation:
		m.registered = true
	case m.registered:
		m.replaced = true
	}
}
