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
// suspicion closes its connection after each poll. Fence, promote and follow use
// a connection of their own, because the polling one may have gone silent.
type monitor struct {
	address     string
	application string
	dial        func(ctx context.Context, address, application string) (Database, error)

	mu     sync.Mutex
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
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	m.mu.Lock()
	db := m.db
	m.usedAt = now
	m.mu.Unlock()
	if db == nil {
		var err error
		if db, err = m.dial(ctx, m.address, m.application); err != nil {
			return dbconn.Status{}, err
		}
		m.mu.Lock()
		if m.closed {
			m.mu.Unlock()
			_ = db.Close()
			return dbconn.Status{}, context.Canceled
		}
		m.db = db
		m.mu.Unlock()
	}
	st, err := db.Status(ctx)
	if err != nil || !keep {
		m.drop(db)
	}
	return st, err
}

// drop closes a connection whose answer failed or is overdue; it is never reused.
func (m *monitor) drop(db Database) {
	m.mu.Lock()
	if m.db == db {
		m.db = nil
	}
	m.mu.Unlock()
	_ = db.Close()
}

func (m *monitor) closeIdle(now time.Duration) {
	m.mu.Lock()
	db := m.db
	idle := db != nil && now-m.usedAt > monitorIdle
	m.mu.Unlock()
	if idle {
		m.drop(db)
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
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	db, err := m.dial(ctx, m.address, m.application)
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }()
	return call(ctx, db)
}
