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

// testCluster is a group of three databases with one home host each. It also
// implements the store's table service.
type testCluster struct {
	mu               sync.Mutex
	rows             map[string]store.Row
	storeDown        bool
	lostWriteAnswers int // number of following store writes that take effect but return an error
	dbs              map[string]*fakeDB
	hosts            map[string]*testHost
	doc              *config.Document
	pollCounts       map[string]int
}

type fakeDB struct {
	status dbconn.Status
	down   bool
	// unresponsive is set while the database accepts calls and never answers.
	unresponsive bool
	// openConnections counts the open monitor connections by application name.
	openConnections map[string]int
}

type testHost struct {
	cluster    *testCluster
	id         group.Host
	owner      *Owner
	cancel     context.CancelFunc
	done       chan struct{}
	down       bool
	leaseUntil time.Time
}

const testTTL = 600 * time.Millisecond

func testTiming() *group.Timing {
	t := group.DefaultTiming()
	t.Poll, t.Suspect, t.RankStep, t.Retry = 40*time.Millisecond, 200*time.Millisecond, 60*time.Millisecond, 40*time.Millisecond
	return &t
}

var serverNames = []string{"a", "b", "c"}

var standinCredentials = dbconn.Credentials{User: "proxy", Password: "proxy", Database: "kv"}

// newTestCluster runs three owners on the given databases, or on fake databases if
// none are given.
func newTestCluster(t *testing.T, dbs ...*standin.Database) *testCluster {
	return newConfiguredTestCluster(t, func(*Options) {}, dbs...)
}

// newConfiguredTestCluster is newTestCluster with a function that changes the options
// of every owner before it is created.
func newConfiguredTestCluster(t *testing.T, configure func(*Options), dbs ...*standin.Database) *testCluster {
	tc := &testCluster{rows: map[string]store.Row{}, dbs: map[string]*fakeDB{}, hosts: map[string]*testHost{}, pollCounts: map[string]int{}}
	g := config.Group{Name: "g", Durability: config.DurabilityReplicated}
	for _, n := range serverNames {
		tc.dbs[n] = &fakeDB{status: dbconn.Status{Server: n, Term: 1, Role: dbconn.Replica, Position: 10}, openConnections: map[string]int{}}
		g.Servers = append(g.Servers, config.Server{Name: n, Zone: "z" + n, Address: n})
	}
	dial := tc.dial
	for i, db := range dbs {
		g.Servers[i].Address, dial = db.Address(), nil
	}
	tc.dbs["a"].status.Role = dbconn.Primary
	tc.dbs["a"].status.MajorityPosition = 10
	tc.doc = &config.Document{Inventory: config.Inventory{Groups: []config.Group{g}}}
	for _, n := range serverNames {
		h := &testHost{cluster: tc, id: group.Host{Name: "h" + n, Zone: "z" + n, Incarnation: 1}, done: make(chan struct{})}
		h.leaseUntil = time.Now().Add(testTTL)
		tc.hosts[h.id.Name] = h
		opt := Options{
			Fleet: h, Table: tc, Peers: h, Counters: telemetry.NewCounters(), Timing: testTiming(), Dial: dial,
			Credentials: standinCredentials,
		}
		configure(&opt)
		h.owner = New(opt)
	}
	for _, h := range tc.hosts {
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
				tc.withLock(func() {
					for _, h := range tc.hosts {
						if !h.down && !tc.storeDown {
							h.leaseUntil = time.Now().Add(testTTL)
						}
					}
				})
			}
		}
	}()
	t.Cleanup(func() {
		renew.Stop()
		close(stop)
		for _, h := range tc.hosts {
			h.cancel()
			select {
			case <-h.done:
			case <-time.After(5 * time.Second):
				t.Error("Run did not return")
			}
		}
	})
	return tc
}

func (tc *testCluster) withLock(f func()) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	f()
}

func (tc *testCluster) eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	t.Fatalf("condition not met within 8 s: %s; row of the group: %s", what, tc.rows["group/g"].Value)
}

func (tc *testCluster) owner(name string) *Owner { return tc.hosts["h"+name].owner }

func (tc *testCluster) writable(name string) bool {
	_, err := tc.owner(name).WritableTerm("g", name)
	return err == nil
}

// Methods of Fleet and Peers.

func (h *testHost) Self() group.Host { return h.id }

func (h *testHost) LeaseUntil() time.Time {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.leaseUntil
}

func (h *testHost) LeaseLapsed(name string, _ uint64) bool {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return !h.cluster.storeDown && h.cluster.hosts[name].down && time.Since(h.cluster.hosts[name].leaseUntil) > testTTL/50
}

func (h *testHost) Holder(role string) (group.Host, bool) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	o := h.cluster.hosts["h"+role[len(HomeRolePrefix):]]
	return o.id, !o.down
}

func (h *testHost) Document() *config.Document {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.cluster.doc
}

func (h *testHost) Subscribe() <-chan struct{} { return nil }

func (h *testHost) Position(ctx context.Context, name, g string) (*peerpb.PositionResponse, error) {
	h.cluster.mu.Lock()
	o := h.cluster.hosts[name]
	down := o.down
	h.cluster.mu.Unlock()
	if down {
		return nil, errors.New("host is down")
	}
	return o.owner.Position(ctx, g, "")
}

// Methods of store.TableService.

var errStoreDown = errors.New("store is down")

func (tc *testCluster) Get(_ context.Context, key string) (store.Row, error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.storeDown {
		return store.Row{}, errStoreDown
	}
	return tc.rows[key], nil
}

func (tc *testCluster) Scan(context.Context, string, store.Revision) ([]store.Row, error) {
	return nil, errStoreDown
}

func (tc *testCluster) CompareAndSwap(_ context.Context, key string, expect store.Revision, value []byte) (store.Revision, error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.storeDown {
		return 0, errStoreDown
	}
	if tc.rows[key].Revision != expect {
		return 0, store.ErrConflict
	}
	tc.rows[key] = store.Row{Key: key, Value: slices.Clone(value), Revision: expect + 1}
	if tc.lostWriteAnswers > 0 {
		tc.lostWriteAnswers--
		return 0, errors.New("answer lost")
	}
	return expect + 1, nil
}

func (tc *testCluster) Delete(context.Context, string, store.Revision) error { return errStoreDown }

// Fake databases.

type fakeConn struct {
	cluster     *testCluster
	name        string
	application string
}

func (tc *testCluster) dial(_ context.Context, address, application string) (Database, error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.dbs[address].down {
		return nil, errors.New("connection refused")
	}
	tc.dbs[address].openConnections[application]++
	return &fakeConn{tc, address, application}, nil
}

func (c *fakeConn) Close() error {
	c.cluster.withLock(func() { c.cluster.dbs[c.name].openConnections[c.application]-- })
	return nil
}

func (c *fakeConn) call(ctx context.Context, f func(db *fakeDB) error) error {
	c.cluster.mu.Lock()
	db := c.cluster.dbs[c.name]
	if db.unresponsive {
		c.cluster.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	defer c.cluster.mu.Unlock()
	if db.down {
		return errors.New("connection reset")
	}
	return f(db)
}

func (c *fakeConn) Status(ctx context.Context) (st dbconn.Status, err error) {
	err = c.call(ctx, func(db *fakeDB) error {
		c.cluster.pollCounts[c.name+" by "+c.application]++
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
		st.ReceivedPosition = st.Position
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
		p := c.cluster.dbs[primary]
		db.status.Term, db.status.Role, db.status.Position = term, dbconn.Replica, p.status.Position
		p.status.MajorityPosition = p.status.Position
		return nil
	})
}

// Guards against a first start that does not adopt the existing primary, and
// against the confirmation of a commit that no replica has received.
func TestPrimaryAdoptionAndConfirmation(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.eventually(t, "the home host of the primary adopts it", func() bool { return tc.writable("a") })
	assert.Assert(t, !tc.writable("b"), "a host that does not own the group must not write")
	term, err := tc.owner("a").WritableTerm("g", "a")
	assert.NilError(t, err)
	assert.NilError(t, tc.owner("a").ConfirmWrite(t.Context(), "g", term, 10))
	assert.NilError(t, tc.owner("a").ConfirmRead(t.Context(), "g", term))

	tc.withLock(func() { tc.dbs["a"].status.Position = 12 })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err = tc.owner("a").ConfirmWrite(ctx, "g", term, 12)
	assert.Equal(t, verdict.From(err).Reason, verdict.AnswerOverdue)
	assert.Equal(t, verdict.From(err).Verdict, verdict.MayHaveRun)

	done := make(chan error, 50)
	before, ownMonitor := 0, "a by cranberryhinge/ha/monitor"
	tc.withLock(func() { before = tc.pollCounts[ownMonitor] })
	for range cap(done) {
		go func() { done <- tc.owner("a").ConfirmWrite(context.Background(), "g", term, 12) }()
	}
	time.Sleep(50 * time.Millisecond)
	tc.withLock(func() {
		assert.Assert(t, tc.pollCounts[ownMonitor]-before < 60, "%d polls, although concurrent waiters must share them", tc.pollCounts[ownMonitor]-before)
		tc.dbs["a"].status.MajorityPosition = 12
	})
	for range cap(done) {
		assert.NilError(t, <-done)
	}
}

// Guards against replicas whose age stays unknown on their home host, and against
// monitor connections from hosts that are neither the home host nor the owner.
func TestSamplesReachHomeHostsOfReplicas(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.eventually(t, "the age is known on the replica's home host", func() bool {
		age, ok := tc.owner("b").DataAge("g", 1, 10)
		return ok && age < 200*time.Millisecond
	})
	_, ok := tc.owner("b").DataAge("g", 1, 9)
	assert.Assert(t, !ok, "the age of a position below every sample must be unknown")
	tc.eventually(t, "another home host reports the primary", func() bool {
		server, term, ok := tc.owner("c").Primary("g")
		return ok && server == "a" && term == 1
	})

	resp, err := tc.owner("b").Position(t.Context(), "g", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.Owner, "ha")
	tc.withLock(func() { tc.dbs["a"].status.Position = 11 })
	resp, err = tc.owner("a").Position(t.Context(), "g", "")
	assert.NilError(t, err)
	assert.Assert(t, resp.Known && resp.Position.Position == 11, "the position must be polled after the call: %v", resp)
	_, err = tc.owner("a").Position(t.Context(), "unknown", "")
	assert.ErrorIs(t, err, ErrUnknownGroup)
	tc.withLock(func() { tc.pollCounts = map[string]int{} }) // before adoption, every home host polls every database
	time.Sleep(200 * time.Millisecond)
	tc.withLock(func() {
		assert.Equal(t, tc.pollCounts["b by cranberryhinge/hc/monitor"], 0, "only the home host and the owner may poll")
		assert.Equal(t, tc.dbs["b"].openConnections["cranberryhinge/hc/monitor"], 0, "only the home host and the owner may keep a connection")
		assert.Equal(t, tc.dbs["c"].openConnections["cranberryhinge/hc/monitor"], 1)
		n := tc.pollCounts["c by cranberryhinge/hc/monitor"]
		assert.Assert(t, n > 0 && n < 8, "%d polls of the own database in 5 intervals", n)
	})
}

// Guards against a failover that does not complete after the primary and its home
// host fail and the answer to one store write is lost. The home host of the most
// advanced replica must promote it, and the old primary must follow the new one
// after its return.
func TestFailoverToMostAdvancedReplica(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.eventually(t, "the primary is open", func() bool { return tc.writable("a") })
	tc.withLock(func() {
		tc.dbs["a"].down, tc.hosts["ha"].down = true, true
		tc.dbs["c"].status.Position = 11 // most advanced, but not first in the order of names
		tc.lostWriteAnswers = 1
	})
	tc.eventually(t, "the most advanced replica is promoted", func() bool { return tc.writable("c") })
	term, err := tc.owner("c").WritableTerm("g", "c")
	assert.NilError(t, err)
	assert.Assert(t, term >= 2)
	tc.eventually(t, "the other replica follows", func() bool {
		_, ok := tc.owner("b").DataAge("g", term, tc.dbs["c"].status.Position)
		return ok
	})
	tc.withLock(func() { tc.dbs["a"].down, tc.hosts["ha"].down = false, false })
	tc.eventually(t, "the old primary follows", func() bool {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		st := tc.dbs["a"].status
		return st.Role == dbconn.Replica && st.Term == term
	})
	tc.eventually(t, "the old owner accepts no more writes", func() bool { return !tc.writable("a") })
	row := group.Row{}
	tc.withLock(func() { assert.NilError(t, json.Unmarshal(tc.rows["group/g"].Value, &row)) })
	assert.Equal(t, fmt.Sprint(row.Primary, row.Owner), "chc")
	err = tc.owner("a").ConfirmWrite(t.Context(), "g", 1, 99)
	assert.Equal(t, verdict.From(err).Reason, verdict.AuthorityLost)
}

// Guards against an unresponsive database that blocks the owner, and against a
// store outage that stops the confirmation of writes and reads.
func TestStoreOutageAndUnresponsiveReplica(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.eventually(t, "the primary is open", func() bool { return tc.writable("a") })
	tc.withLock(func() { tc.storeDown, tc.dbs["c"].unresponsive = true, true })
	time.Sleep(2 * testTTL)
	assert.Assert(t, tc.writable("a"), "a store outage must not stop a healthy primary")
	began := time.Now()
	assert.NilError(t, tc.owner("a").ConfirmRead(t.Context(), "g", 1))
	assert.NilError(t, tc.owner("a").ConfirmWrite(t.Context(), "g", 1, 10))
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
	tc.withLock(func() { tc.dbs["b"].down = true })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Assert(t, tc.owner("a").ConfirmRead(ctx, "g", 1) != nil, "a read needs a majority once the lease has lapsed")
}

// commitRow inserts a row and returns a log position that covers the commit.
func commitRow(t *testing.T, db *standin.Database, key string) (position uint64) {
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

// Guards against a mismatch between the machine and the database contract that
// the stand-in implements: confirmed writes must survive two failovers, and each
// old primary must follow after its return.
func TestFailoversOnStandIn(t *testing.T) {
	t.Parallel()
	var settings []standin.DatabaseSettings
	for _, n := range serverNames {
		settings = append(settings, standin.DatabaseSettings{
			Name: n, Term: 1, Primary: "a", User: standinCredentials.User, Password: standinCredentials.Password,
			TransportDelay: standin.DurationRange{Max: 3 * time.Millisecond}, ApplyDelay: standin.DurationRange{Max: 5 * time.Millisecond},
		})
	}
	dbs, err := standin.StartGroup(settings...)
	assert.NilError(t, err)
	tc := newTestCluster(t, dbs...)
	t.Cleanup(func() {
		for _, db := range dbs {
			db.Kill()
		}
	})
	primary := func() int {
		return slices.IndexFunc(serverNames, tc.writable)
	}
	for round := range 2 {
		tc.eventually(t, "a primary is open", func() bool { return primary() >= 0 })
		p := primary()
		term, err := tc.owner(serverNames[p]).WritableTerm("g", serverNames[p])
		assert.NilError(t, err)
		position := commitRow(t, dbs[p], fmt.Sprintf("round%d", round))
		assert.NilError(t, tc.owner(serverNames[p]).ConfirmWrite(t.Context(), "g", term, position))
		assert.NilError(t, tc.owner(serverNames[p]).ConfirmRead(t.Context(), "g", term))

		dbs[p].Kill()
		tc.withLock(func() { tc.hosts["h"+serverNames[p]].down = true })
		tc.eventually(t, "another database is promoted", func() bool { q := primary(); return q >= 0 && q != p })
		q := primary()
		next, err := tc.owner(serverNames[q]).WritableTerm("g", serverNames[q])
		assert.NilError(t, err)
		assert.Assert(t, next > term)
		assert.Assert(t, dbs[q].Status().Position > position, "the new primary must have the confirmed write")
		err = tc.owner(serverNames[p]).ConfirmWrite(t.Context(), "g", term, position+1)
		assert.Assert(t, err != nil, "the old owner must not acknowledge")

		tc.withLock(func() { tc.hosts["h"+serverNames[p]].down = false })
		assert.NilError(t, dbs[p].Restart())
		tc.eventually(t, "the old primary follows", func() bool {
			st := dbs[p].Status()
			return st.Role == string(dbconn.Replica) && st.Term == next && st.Position >= position
		})
	}
}
