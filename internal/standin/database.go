package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type role string

const (
	rolePrimary  role = "primary"
	roleReplica  role = "replica"
	roleDetached role = "detached"
)

// Database is one stand-in database.
type Database struct {
	settings DatabaseSettings
	dice     *dice
	address  string
	slots    chan struct{}

	mu     sync.Mutex
	resume *sync.Cond
	paused bool
	// change is closed and replaced whenever log, term or role change.
	change chan struct{}
	life   *life

	term    uint64
	role    role
	primary string // followed by a replica
	entries []entry
	applied uint64 // index
	due     []time.Time
	// termStart is the index of the entry that opened the own term.
	termStart uint64
	// acks holds, per replica, the index acknowledged in the own term.
	acks       map[string]uint64
	generation uint64
	data       *store

	peers    map[string]string
	isolated map[string]bool
	applying bool
	// unlink ends the replica's connection to its primary.
	unlink func()

	sessions  map[uint32]*session
	nextID    uint32
	openCount int
	waiting   int
	running   int
	record    Record
	watched   []string
	disk      *journal
}

// life is the time between a start and the next Kill.
type life struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	conns    map[net.Conn]struct{}
	done     sync.WaitGroup
}

// Start starts a database and returns once it accepts connections.
func Start(settings DatabaseSettings) (*Database, error) {
	if err := settings.complete(); err != nil {
		return nil, err
	}
	db := &Database{
		settings: settings,
		dice:     newDice(settings.Seed),
		address:  settings.Address,
		slots:    make(chan struct{}, settings.Slots),
		change:   make(chan struct{}),
		term:     settings.Term,
		role:     roleDetached,
		acks:     make(map[string]uint64),
		data:     newStore(),
		peers:    settings.Peers,
		isolated: make(map[string]bool),
		applying: true,
		sessions: make(map[uint32]*session),
	}
	db.resume = sync.NewCond(&db.mu)
	recovered, err := db.recover()
	if err != nil {
		return nil, err
	}
	if !recovered {
		db.initialise()
	}
	if err := db.Restart(); err != nil {
		return nil, err
	}
	return db, nil
}

// initialise takes term and role from the settings.
func (db *Database) initialise() {
	switch db.settings.Primary {
	case "":
	case db.settings.Name:
		db.becomePrimary()
		return
	default:
		db.role, db.primary = roleReplica, db.settings.Primary
	}
	db.journalState()
}

// RunDatabase runs a database until the context ends.
func RunDatabase(ctx context.Context, settings DatabaseSettings) error {
	db, err := Start(settings)
	if err != nil {
		return err
	}
	<-ctx.Done()
	db.Kill()
	if db.disk != nil {
		return errors.Wrap(db.disk.file.Close(), "journal")
	}
	return nil
}

// StartGroup starts one database for each element, tells each the addresses of
// the others and stops all of them if one fails.
func StartGroup(settings ...DatabaseSettings) ([]*Database, error) {
	var group []*Database
	for _, s := range settings {
		db, err := Start(s)
		if err != nil {
			for _, started := range group {
				started.Kill()
			}
			return nil, err
		}
		group = append(group, db)
	}
	for _, db := range group {
		peers := make(map[string]string)
		for _, other := range group {
			if other != db {
				peers[other.Name()] = other.Address()
			}
		}
		db.SetPeers(peers)
	}
	return group, nil
}

// Name returns the database's name.
func (db *Database) Name() string { return db.settings.Name }

// Address returns the address that the database listens on.
func (db *Database) Address() string { return db.address }

// lock takes the state lock once the database is not paused.
func (db *Database) lock() {
	db.mu.Lock()
	for db.paused {
		db.resume.Wait()
	}
}

// relink ends the connection to the primary and wakes everything. The caller
// holds the lock.
func (db *Database) relink() {
	if db.unlink != nil {
		db.unlink()
		db.unlink = nil
	}
	db.changed()
}

// changed wakes everything that waits for a change. The caller holds the lock.
func (db *Database) changed() {
	close(db.change)
	db.change = make(chan struct{})
}

func (db *Database) serve(l *life) {
	defer l.done.Done()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		db.mu.Lock()
		if l.ctx.Err() != nil {
			db.mu.Unlock()
			conn.Close()
			return
		}
		l.conns[conn] = struct{}{}
		l.done.Add(1)
		db.mu.Unlock()
		go func() {
			defer l.done.Done()
			db.serveConn(l, conn)
			conn.Close()
			db.mu.Lock()
			delete(l.conns, conn)
			db.mu.Unlock()
		}()
	}
}

// Restart starts a killed database again, on the same address and with the log,
// term and role that it had.
func (db *Database) Restart() error {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.life != nil {
		return errors.New("database runs already")
	}
	listener, err := net.Listen("tcp", db.address)
	if err != nil {
		return errors.Wrapf(err, "database %s", db.settings.Name)
	}
	db.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{ctx: ctx, cancel: cancel, listener: listener, conns: make(map[net.Conn]struct{})}
	db.life = l
	db.acks = make(map[string]uint64)
	l.done.Add(3)
	go db.serve(l)
	go db.followLoop(l)
	go db.applyLoop(l)
	return nil
}

// Kill ends the database as a crash does: every connection breaks and every
// open transaction is lost. Kill returns when all goroutines have ended.
func (db *Database) Kill() {
	db.mu.Lock()
	l := db.life
	if l == nil {
		db.mu.Unlock()
		return
	}
	db.life = nil
	l.cancel()
	l.listener.Close()
	for _, s := range db.sessions {
		db.drop(s)
	}
	for conn := range l.conns {
		conn.Close()
	}
	db.paused = false
	db.resume.Broadcast()
	db.mu.Unlock()
	l.done.Wait()
}
