package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/group"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// world is a group of three databases with one home host each.
type world struct {
	mu     sync.Mutex
	rows   map[string]store.Row
	out    bool // the store is down
	lose   int  // number of next answers of writes that are lost
	dbs    map[string]*fakeDB
	hosts  map[string]*host
	doc    *config.Document
	polled map[string]int
}

type fakeDB struct {
	status dbconn.Status
	down   bool
	// silent databases take calls and never answer.
	silent bool
	// open counts the monitor connections by host.
	open map[string]int
}

type host struct {
	w      *world
	id     group.Host
	owner  *Owner
	cancel context.CancelFunc
	done   chan struct{}
	down   bool
	lease  time.Time
}

const testTTL = 600 * time.Millisecond

func testTiming() *group.Timing {
	t := group.DefaultTiming()
	t.Poll, t.Suspect, t.RankStep, t.Retry = 40*time.Millisecond, 200*time.Millisecond, 60*time.Millisecond, 40*time.Millisecond
	return &t
}

var names = []string{"a", "b", "c"}

var standinCredentials = dbconn.Credentials{User: "proxy", Password: "proxy", Database: "kv"}

// newWorld runs three owners, on fake databases unless others are given.
func newWorld(t *testing.T, dbs ...*standin.Database) *world {
	w := &world{rows: map[string]store.Row{}, dbs: map[string]*fakeDB{}, hosts: map[string]*host{}, polled: map[string]int{}}
	g := config.Group{Name: "g", Durability: config.DurabilityReplicated}
	for _, n := range names {
		w.dbs[n] = &fakeDB{status: dbconn.Status{Server: n, Term: 1, Role: dbconn.Replica, Position: 10}, open: map[string]int{}}
		g.Servers = append(g.Servers, config.Server{Name: n, Zone: "z" + n, Address: n})
	}
	dial := w.dial
	for i, db := range dbs {
		g.Servers[i].Address, dial = db.Address(), nil
	}
	w.dbs["a"].status.Role = dbconn.Primary
	w.dbs["a"].status.Held = 10
	w.doc = &config.Document{Inventory: config.Inventory{Groups: []config.Group{g}}}
	for _, n := range names {
		h := &host{w: w, id: group.Host{Name: "h" + n, Zone: "z" + n, Incarnation: 1}, done: make(chan struct{})}
		h.lease = time.Now().Add(testTTL)
		w.hosts[h.id.Name] = h
		h.owner = New(Options{
			Fleet: h, Table: w, Peers: h, Counters: telemetry.NewCounters(), Timing: testTiming(), Dial: dial,
			Credentials: standinCredentials,
		})
	}
	for _, h := range w.hosts {
		ctx, cancel := context.WithCancel(context.Background())
		h.cancel = cancel
		go func() {
			defer close(h.done)
			_ = h.owner.Run(ctx)
		}()
	}
	renew := time.NewTicker(testTTL / 6)
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-renew.C:
				w.set(func() {
					for _, h := range w.hosts {
						if !h.down && !w.out {
							h.lease = time.Now().Add(testTTL)
						}
					}
				})
			}
		}
	}()
	t.Cleanup(func() {
		renew.Stop()
		close(stop)
		for _, h := range w.hosts {
			h.cancel()
			select {
			case <-h.done:
			case <-time.After(5 * time.Second):
				t.Error("Run did not return")
			}
		}
	})
	return w
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Fatalf("not in time: %s; row %s", what, w.rows["group/g"].Value)
}

func (w *world) owner(name string) *Owner { return w.hosts["h"+name].owner }

func (w *world) writable(name string) bool {
	_, err := w.owner(name).Writable("g", name)
	return err == nil
}

// Fleet.

func (h *host) Self() group.Host { return h.id }

func (h *host) LeaseUntil() time.Time {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.lease
}

func (h *host) Lapsed(name string, _ uint64) bool {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return !h.w.out && h.w.hosts[name].down && time.Since(h.w.hosts[name].lease) > testTTL/50
}

func (h *host) Holder(role string) (group.Host, bool) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	o := h.w.hosts["h"+role[len(RolePrefix):]]
	return o.id, !o.down
}

func (h *host) Document() *config.Document {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.w.doc
}

func (h *host) Subscribe() <-chan struct{} { return nil }

func (h *host) Position(ctx context.Context, name, g string) (*peerpb.PositionResponse, error) {
	h.w.mu.Lock()
	o := h.w.hosts[name]
	down := o.down
	h.w.mu.Unlock()
	if down {
		return nil, errors.New("host is down")
	}
	return o.owner.Position(ctx, g, "")
}

// Table service.

var errOutage = errors.New("store is down")

func (w *world) Get(_ context.Context, key string) (store.Row, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out {
		return store.Row{}, errOutage
	}
	return w.rows[key], nil
}

func (w *world) Scan(context.Context, string, store.Revision) ([]store.Row, error) {
	return nil, errOutage
}

func (w *world) CompareAndSwap(_ context.Context, key string, expect store.Revision, value []byte) (store.Revision, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out {
		return 0, errOutage
	}
	if w.rows[key].Revision != expect {
		return 0, store.ErrConflict
	}
	w.rows[key] = store.Row{Key: key, Value: slices.Clone(value), Revision: expect + 1}
	if w.lose > 0 {
		w.lose--
		return 0, errors.New("answer lost")
	}
	return expect + 1, nil
}

func (w *world) Delete(context.Context, string, store.Revision) error { return errOutage }

// Databases.

type fakeConn struct {
	w           *world
	name        string
	application string
}

func (w *world) dial(_ context.Context, address, application string) (Database, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dbs[address].down {
		return nil, errors.New("connection refused")
	}
	w.dbs[address].open[application]++
	return &fakeConn{w, address, application}, nil
}

func (c *fakeConn) Close() error {
	c.w.set(func() { c.w.dbs[c.name].open[c.application]-- })
	return nil
}

func (c *fakeConn) call(ctx context.Context, f func(db *fakeDB) error) error {
	c.w.mu.Lock()
	db := c.w.dbs[c.name]
	if db.silent {
		c.w.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	defer c.w.mu.Unlock()
	if db.down {
		return errors.New("connection reset")
	}
	return f(db)
}

func (c *fakeConn) Status(ctx context.Context) (st dbconn.Status, err error) {
	err = c.call(ctx, func(db *fakeDB) error {
		c.w.polled[c.name+" by "+c.application]++
		st = db.status
		return nil
	})
	return st, err
}

func (c *fakeConn) Fence(ctx context.Context, term uint64) (st dbconn.Status, err error) {
	err = c.call(ctx, func(db *fakeDB) error {
		if term > db.status.Term {
			db.status.Term, db.status.Role = term, dbconn.Detached
		}
		st = db.status
		st.Received = st.Position
		return nil
	})
	return st, err
}

func (c *fakeConn) Promote(ctx context.Context, term uint64) error {
	return c.call(ctx, func(db *fakeDB) error {
		if db.status.Term != term {
			return errors.New("other term")
		}
		db.status.Role = dbconn.Primary
		db.status.Position++
		return nil
	})
}

func (c *fakeConn) Follow(ctx context.Context, term uint64, primary string) error {
	return c.call(ctx, func(db *fakeDB) error {
		if term < db.status.Term || (term == db.status.Term && db.status.Role == dbconn.Primary) {
			return errors.New("lower term")
		}
		p := c.w.dbs[primary]
		db.status.Term, db.status.Role, db.status.Position = term, dbconn.Replica, p.status.Position
		p.status.Held = p.status.Position
		return nil
	})
}

// Guards against a first start that finds no primary, and against a confirmed
// position that no other database holds.
func TestAdoptsAndConfirms(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.eventually(t, "the primary's home adopts it", func() bool { return w.writable("a") })
	assert.Assert(t, !w.writable("b"), "another host must not write")
	term, err := w.owner("a").Writable("g", "a")
	assert.NilError(t, err)
	assert.NilError(t, w.owner("a").ConfirmWrite(t.Context(), "g", term, 10))
	assert.NilError(t, w.owner("a").ConfirmRead(t.Context(), "g", term))

	w.set(func() { w.dbs["a"].status.Position = 12 })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err = w.owner("a").ConfirmWrite(ctx, "g", term, 12)
	assert.Equal(t, verdict.From(err).Reason, verdict.AnswerOverdue)
	assert.Equal(t, verdict.From(err).Verdict, verdict.MayHaveRun)

	done := make(chan error, 50)
	before, own := 0, "a by cranberryhinge/ha/monitor"
	w.set(func() { before = w.polled[own] })
	for range cap(done) {
		go func() { done <- w.owner("a").ConfirmWrite(context.Background(), "g", term, 12) }()
	}
	time.Sleep(50 * time.Millisecond)
	w.set(func() {
		assert.Assert(t, w.polled[own]-before < 60, "%d polls for waiters that share them", w.polled[own]-before)
		w.dbs["a"].status.Held = 12
	})
	for range cap(done) {
		assert.NilError(t, <-done)
	}
}

// Guards against replicas whose age stays unknown at their own home, and
// against monitor connections from hosts that need none.
func TestSamplesReachTheHomesOfReplicas(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.eventually(t, "the age is known at the replica's home", func() bool {
		age, ok := w.owner("b").Age("g", 1, 10)
		return ok && age < 200*time.Millisecond
	})
	_, ok := w.owner("b").Age("g", 1, 9)
	assert.Assert(t, !ok, "a position below every sample has no known age")
	w.eventually(t, "every host knows the primary", func() bool {
		server, term, ok := w.owner("c").Primary("g")
		return ok && server == "a" && term == 1
	})

	resp, err := w.owner("b").Position(t.Context(), "g", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.Owner, "ha")
	w.set(func() { w.dbs["a"].status.Position = 11 })
	resp, err = w.owner("a").Position(t.Context(), "g", "")
	assert.NilError(t, err)
	assert.Assert(t, resp.Known && resp.Position.Position == 11, "the position must be asked for after the call: %v", resp)
	_, err = w.owner("a").Position(t.Context(), "unknown", "")
	assert.ErrorIs(t, err, ErrUnknownGroup)
	w.set(func() { w.polled = map[string]int{} }) // before adoption, every home polls every database
	time.Sleep(200 * time.Millisecond)
	w.set(func() {
		assert.Equal(t, w.polled["b by cranberryhinge/hc/monitor"], 0, "only homes and the owner may poll")
		assert.Equal(t, w.dbs["b"].open["cranberryhinge/hc/monitor"], 0, "only homes and the owner may keep a connection")
		assert.Equal(t, w.dbs["c"].open["cranberryhinge/hc/monitor"], 1)
		n := w.polled["c by cranberryhinge/hc/monitor"]
		assert.Assert(t, n > 0 && n < 8, "%d polls of the own database in 5 intervals", n)
	})
}

// Guards against a promotion that does not run end to end: the database and its
// home die, a replica's home promotes, and the old primary follows when it returns.
func TestFailover(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.eventually(t, "adopted", func() bool { return w.writable("a") })
	w.set(func() {
		w.dbs["a"].down, w.hosts["ha"].down = true, true
		w.dbs["c"].status.Position = 11 // the most advanced, but not the first by name
		w.lose = 1
	})
	w.eventually(t, "the most advanced replica is promoted", func() bool { return w.writable("c") })
	term, err := w.owner("c").Writable("g", "c")
	assert.NilError(t, err)
	assert.Assert(t, term >= 2)
	w.eventually(t, "the other replica follows", func() bool {
		_, ok := w.owner("b").Age("g", term, w.dbs["c"].status.Position)
		return ok
	})
	w.set(func() { w.dbs["a"].down, w.hosts["ha"].down = false, false })
	w.eventually(t, "the old primary follows", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		st := w.dbs["a"].status
		return st.Role == dbconn.Replica && st.Term == term
	})
	w.eventually(t, "the old owner has stopped", func() bool { return !w.writable("a") })
	row := group.Row{}
	w.set(func() { assert.NilError(t, json.Unmarshal(w.rows["group/g"].Value, &row)) })
	assert.Equal(t, fmt.Sprint(row.Primary, row.Owner), "chc")
	err = w.owner("a").ConfirmWrite(t.Context(), "g", 1, 99)
	assert.Equal(t, verdict.From(err).Reason, verdict.AuthorityLost)
}

// Guards against a silent database that blocks its owner, and a store outage
// that stops confirmed writes and reads.
func TestStoreOutageAndSilentReplica(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.eventually(t, "adopted", func() bool { return w.writable("a") })
	w.set(func() { w.out, w.dbs["c"].silent = true, true })
	time.Sleep(2 * testTTL)
	assert.Assert(t, w.writable("a"), "a store outage must not stop a healthy primary")
	began := time.Now()
	assert.NilError(t, w.owner("a").ConfirmRead(t.Context(), "g", 1))
	assert.NilError(t, w.owner("a").ConfirmWrite(t.Context(), "g", 1, 10))
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
	w.set(func() { w.dbs["b"].down = true })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Assert(t, w.owner("a").ConfirmRead(ctx, "g", 1) != nil, "a read needs a majority once the lease has lapsed")
}

// write commits a row and returns the position that covers it.
func write(t *testing.T, db *standin.Database, key string) (position uint64) {
	t.Helper()
	conn, err := dbconn.Dial(t.Context(), db.Address(), standinCredentials, "test")
	assert.NilError(t, err)
	raw, err := conn.Hijack(t.Context())
	assert.NilError(t, err)
	pg, err := pgconn.Construct(raw)
	assert.NilError(t, err)
	defer func() { _ = pg.Close(context.Background()) }()
	_, err = pg.Exec(t.Context(), "INSERT INTO kv (key, value) VALUES ('"+key+"', 'x')").ReadAll()
	assert.NilError(t, err)
	return db.Status().Position
}

// Guards against a mismatch between the machine and the database contract of
// the stand-in: confirmed writes survive two failovers, and each old primary
// follows when it returns.
func TestFailoversOnStandIn(t *testing.T) {
	t.Parallel()
	var settings []standin.DatabaseSettings
	for _, n := range names {
		settings = append(settings, standin.DatabaseSettings{
			Name: n, Term: 1, Primary: "a", User: standinCredentials.User, Password: standinCredentials.Password,
			TransportDelay: standin.Range{Max: 3 * time.Millisecond}, ApplyDelay: standin.Range{Max: 5 * time.Millisecond},
		})
	}
	dbs, err := standin.StartGroup(settings...)
	assert.NilError(t, err)
	w := newWorld(t, dbs...)
	t.Cleanup(func() {
		for _, db := range dbs {
			db.Kill()
		}
	})
	primary := func() int {
		return slices.IndexFunc(names, w.writable)
	}
	for round := range 2 {
		w.eventually(t, "a primary is open", func() bool { return primary() >= 0 })
		p := primary()
		term, err := w.owner(names[p]).Writable("g", names[p])
		assert.NilError(t, err)
		position := write(t, dbs[p], fmt.Sprintf("round%d", round))
		assert.NilError(t, w.owner(names[p]).ConfirmWrite(t.Context(), "g", term, position))
		assert.NilError(t, w.owner(names[p]).ConfirmRead(t.Context(), "g", term))

		dbs[p].Kill()
		w.set(func() { w.hosts["h"+names[p]].down = true })
		w.eventually(t, "another database is promoted", func() bool { q := primary(); return q >= 0 && q != p })
		q := primary()
		next, err := w.owner(names[q]).Writable("g", names[q])
		assert.NilError(t, err)
		assert.Assert(t, next > term)
		assert.Assert(t, dbs[q].Status().Position > position, "the new primary must hold the confirmed write")
		err = w.owner(names[p]).ConfirmWrite(t.Context(), "g", term, position+1)
		assert.Assert(t, err != nil, "the old owner must not acknowledge")

		w.set(func() { w.hosts["h"+names[p]].down = false })
		assert.NilError(t, dbs[p].Restart())
		w.eventually(t, "the old primary follows", func() bool {
			st := dbs[p].Status()
			return st.Role == string(dbconn.Replica) && st.Term == next && st.Position >= position
		})
	}
}
