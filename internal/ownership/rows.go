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
}

type roleRow struct {
	Role
	name     string
	revision store.Revision
	// seen is when this host first saw the row.
	seen time.Duration
}

func (m *Machine) hostKey(name string) string { return m.space + "/" + hostSegment + name }

func (m *Machine) roleKey(name string) string { return m.space + "/" + roleSegment + name }

// Rows takes changes of the rows in. Full says that they are all there are. A
// positive confirmed is a time at which the rows were complete. Rows that cannot
// be decoded are returned.
func (m *Machine) Rows(now, confirmed time.Duration, changes []store.Change, full bool) (undecoded []string) {
	if full {
		m.dropUnlisted(changes)
		m.known = true
	}
	for _, c := range changes {
		if !m.row(now, c) {
			undecoded = append(undecoded, c.Key)
		}
	}
	m.confirmed = max(m.confirmed, confirmed)
	m.checkSelf()
	return undecoded
}

func (m *Machine) dropUnlisted(changes []store.Change) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.Key] = true
	}
	for name := range m.hosts {
		if !listed[m.hostKey(name)] {
			delete(m.hosts, name)
		}
	}
	for name := range m.roles {
		if !listed[m.roleKey(name)] {
			delete(m.roles, name)
		}
	}
}

func (m *Machine) row(now time.Duration, c store.Change) bool {
	key := strings.TrimPrefix(c.Key, m.space+"/")
	if name, ok := strings.CutPrefix(key, hostSegment); ok {
		return m.hostChanged(name, c)
	}
	if name, ok := strings.CutPrefix(key, roleSegment); ok {
		return m.roleChanged(now, name, c)
	}
	return true
}

func (m *Machine) hostChanged(name string, c store.Change) bool {
	if old, ok := m.hosts[name]; ok && c.Revision <= old.revision && !c.Removed {
		return true
	}
	if c.Removed {
		delete(m.hosts, name)
		return true
	}
	r := &hostRow{revision: c.Revision}
	if json.Unmarshal(c.Value, &r.Host) != nil || r.Name != name {
		return false
	}
	m.hosts[name] = r
	return true
}

func (m *Machine) roleChanged(now time.Duration, name string, c store.Change) bool {
	old, known := m.roles[name]
	if known && c.Revision <= old.revision && !c.Removed {
		return true
	}
	if c.Removed {
		delete(m.roles, name)
		return true
	}
	r := &roleRow{name: name, revision: c.Revision, seen: now}
	if json.Unmarshal(c.Value, &r.Role) != nil {
		return false
	}
	m.roles[name] = r
	delete(m.advance, name)
	return true
}

// checkSelf notes that the own row is there, or that another process has it.
func (m *Machine) checkSelf() {
	r, ok := m.hosts[m.self.Name]
	switch {
	case !ok:
	case r.Incarnation == m.self.Incarnation:
		m.registered = true
	case m.registered:
		m.replaced = true
	}
}
