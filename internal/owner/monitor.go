package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

// monitorIdle is the time after which an unused monitor connection is closed.
const monitorIdle = time.Second

// monitor polls one database. Four connections of a database are reserved for
// the monitors of all hosts and for the first calls of a new home host. Only
// the home host and the owner keep one open; a host that probes a primary under
// suspicion closes its connection after each poll. Fence, promote and follow
// take the open connection while no poll is in flight, since the database may
// have none left, and open one of their own otherwise.
type monitor struct {
	address     string
	application string
	dial        func(ctx context.Context, address, application string) (Database, error)

	mu sync.Mutex
	// db is the open connection that nobody uses at the moment.
	db     Database
	usedAt time.Duration
	closed bool
}

// errRemoved reports a server that the inventory no longer lists.
var errRemoved = errors.New("owner: server is not in the inventory")

// status polls the database and keeps the connection if asked to. The machine
// has one poll in flight at a time.
func (m *monitor) status(ctx context.Context, now time.Duration, keep bool) (dbconn.Status, error) {
	if m == nil {
		return dbconn.Status{}, errRemoved
	}
	m.mu.Lock()
	m.usedAt = now
	m.mu.Unlock()
	var st dbconn.Status
	err := m.use(ctx, statusTimeout, keep, func(ctx context.Context, db Database) (err error) {
		st, err = db.Status(ctx)
		return err
	})
	return st, err
}

// use makes a call over the open connection, or over a new one when that is in
// use, and keeps the connection afterwards if asked to. A connection whose answer failed or is overdue is never reused.
func (m *monitor) use(ctx context.Context, timeout time.Duration, keep bool, call func(context.Context, Database) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.mu.Lock()
	db := m.db
	m.db = nil
	m.mu.Unlock()
	if db == nil {
		var err error
		if db, err = m.dial(ctx, m.address, m.application); err != nil {
			return err
		}
	}
	if err := call(ctx, db); err != nil {
		_ = db.Close()
		return err
	}
	if !keep {
		return db.Close()
	}
	m.put(db)
	return nil
}

// put keeps a connection for the next call, if there is none yet.
func (m *monitor) put(db Database) {
	m.mu.Lock()
	keep := m.db == nil && !m.closed
	if keep {
		m.db = db
	}
	m.mu.Unlock()
	if !keep {
		_ = db.Close()
	}
}

func (m *monitor) closeIdle(now time.Duration) {
	m.mu.Lock()
	db := m.db
	idle := db != nil && now-m.usedAt > monitorIdle
	if idle {
		m.db = nil
	}
	m.mu.Unlock()
	if idle {
		_ = db.Close()
	}
}

func (m *monitor) close() {
	m.mu.Lock()
	db := m.db
	m.db, m.closed = nil, true
	m.mu.Unlock()
	if db != nil {
		_ = db.Close()
	}
}

func (m *monitor) fence(ctx context.Context, term uint64) (st dbconn.Status, err error) {
	err = m.control(ctx, func(ctx context.Context, db Database) error {
		st, err = db.Fence(ctx, term)
		return err
	})
	return st, err
}

func (m *monitor) control(ctx context.Context, call func(context.Context, Database) error) error {
	if m == nil {
		return errRemoved
	}
	return m.use(ctx, controlTimeout, false, call)
}
