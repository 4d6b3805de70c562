package entry

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const testKey = "acme.k1.secret"

// fixture is an entry host with a fake home host.
type fixture struct {
	t             testing.TB
	entry         *Entry
	home          *fakeHome
	address       string
	doc           atomic.Pointer[config.Document]
	configStale   atomic.Bool
	rateLimited   atomic.Bool
	counters      *telemetry.Counters
	keysChanged   chan struct{}
	positionCalls atomic.Int64
}

func (f *fixture) Admit(context.Context, string) error {
	if f.rateLimited.Load() {
		return verdict.New(verdict.NotRun, verdict.RateLimited, "rate limited")
	}
	return nil
}

func (f *fixture) Position(context.Context, string, string) (*peerpb.Token, error) {
	f.positionCalls.Add(1)
	f.home.mu.Lock()
	defer f.home.mu.Unlock()
	return &peerpb.Token{Group: "g", Term: 1, Position: f.home.position}, nil
}

func testKeyRef(id, secret string, withdrawn bool) config.KeyRef {
	d := sha256.Sum256([]byte(secret))
	return config.KeyRef{ID: id, SHA256: hex.EncodeToString(d[:]), Withdrawn: withdrawn}
}

func testDocument() *config.Document {
	deadline := config.Duration(5 * time.Second)
	return &config.Document{
		Inventory: config.Inventory{Customers: []config.Customer{
			{Name: "acme", Keys: []config.KeyRef{testKeyRef("k1", "secret", false), testKeyRef("k0", "old", true)}},
			{Name: "other", Keys: []config.KeyRef{testKeyRef("k1", "secret2", false)}},
		}},
		Rules: config.Rules{Routes: []config.Route{
			{Name: "w", Group: "g", Mode: config.RouteWrite, Deadline: deadline, Customers: []string{"acme"}, Staleness: config.Duration(time.Second)},
			{Name: "r", Group: "g", Mode: config.RouteRead, Deadline: deadline, Staleness: config.Duration(time.Second)},
			{Name: "p", Group: "g", Mode: config.RouteRead, Deadline: deadline, Public: true},
			{Name: "short", Group: "g", Mode: config.RouteWrite, Deadline: config.Duration(100 * time.Millisecond)},
		}},
	}
}

func newFixture(t testing.TB, change func(*Options)) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	web := httptest.NewTLSServer(nil) // for its certificate
	web.Close()
	f := &fixture{t: t, home: newFakeHome(), address: l.Addr().String(), counters: telemetry.NewCounters(), keysChanged: make(chan struct{}, 1)}
	f.doc.Store(testDocument())
	o := Options{
		Listener: l, TLS: &tls.Config{Certificates: web.TLS.Certificates}, Host: "host-a", Zone: "zone-a", Document: f.doc.Load, KeysChanged: f.keysChanged,
		Keys: customer.NewKeyVerifier(f.doc.Load, func() bool { return !f.configStale.Load() }), Opener: f.home, Limiter: f, Positions: f, Counters: f.counters,
	}
	if change != nil {
		change(&o)
	}
	f.entry = New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.entry.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-done:
			assert.NilError(t, err)
		case <-time.After(10 * time.Second):
			t.Error("Run did not return: a goroutine of the entry host is stuck")
		}
	})
	return f
}

func (f *fixture) connConfig(route, password, extra string) *pgx.ConnConfig {
	cfg, err := pgx.ParseConfig("postgres://u@" + f.address + "/" + route + "?sslmode=require" + extra)
	assert.NilError(f.t, err)
	cfg.Password = password
	return cfg
}

func (f *fixture) connect(route string) *pgx.Conn {
	c, err := pgx.ConnectConfig(context.Background(), f.connConfig(route, testKey, ""))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// sqlState returns the SQLSTATE of an error that the server sent.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func beginTx(t testing.TB, c *pgx.Conn) pgx.Tx {
	t.Helper()
	tx, err := c.Begin(context.Background())
	assert.NilError(t, err)
	return tx
}

func assertSelect(t testing.TB, q interface {
	QueryRow(context.Context, string, ...any) pgx.Row
}, arg string,
) {
	t.Helper()
	var got string
	assert.NilError(t, q.QueryRow(context.Background(), "select $1", arg).Scan(&got))
	assert.Equal(t, got, arg)
}

// Guards against statements or results that are lost or changed between client and
// home host, in the query modes of pgx.
func TestQueryModes(t *testing.T) {
	f := newFixture(t, nil)
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec,
	} {
		cfg := f.connConfig("w", testKey, "")
		cfg.DefaultQueryExecMode = mode
		c, err := pgx.ConnectConfig(context.Background(), cfg)
		assert.NilError(t, err)
		for range 3 {
			assertSelect(t, c, mode.String())
		}
		tx := beginTx(t, c)
		for range 3 {
			assertSelect(t, tx, "in transaction")
		}
		assert.NilError(t, tx.Commit(context.Background()))
		assert.NilError(t, c.Close(context.Background()))
	}
	c := f.connect("w")
	results, err := c.PgConn().Exec(context.Background(), "select 7").ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, string(results[0].Rows[0][0]), "7")
}

// Guards against reads that do not cover an earlier commit of the same session, or
// that do not cover a token that the client has set.
func TestTokenAfterCommit(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w")
	_, err := c.Exec(context.Background(), "insert into t")
	assert.NilError(t, err)
	assert.Equal(t, c.PgConn().ParameterStatus("cranberryhinge.token"), "g:1:1")
	tx, err := c.BeginTx(context.Background(), pgx.TxOptions{AccessMode: pgx.ReadOnly})
	assert.NilError(t, err)
	assertSelect(t, tx, "x")
	assert.NilError(t, tx.Commit(context.Background()))
	start := f.home.lastStart()
	assert.Equal(t, start.Intent, peerpb.Intent_INTENT_READ)
	assert.Equal(t, start.Floor.GetPosition(), uint64(1))
	assert.Equal(t, start.StalenessUs, time.Second.Microseconds())
	assert.Equal(t, f.positionCalls.Load(), int64(0), "a session with a token must not request a position")

	other, before := f.connect("r"), len(f.home.starts)
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheStatement} {
		rows, err := other.Query(context.Background(), "SET cranberryhinge.token TO 'g:2:9'", mode)
		assert.NilError(t, err)
		rows.Close()
		assert.NilError(t, rows.Err())
	}
	assert.Equal(t, len(f.home.starts), before)
	assertSelect(t, other, "x")
	assert.Equal(t, f.home.lastStart().Floor.GetTerm(), uint64(2))
	_, err = other.Exec(context.Background(), "set cranberryhinge.token = 'elsewhere:2:9'")
	assert.Equal(t, sqlState(err), "08P01")
}

// Guards against a session without a token whose first read misses writes of an
// earlier session of the caller on another host.
func TestFirstReadRequestsPosition(t *testing.T) {
	f := newFixture(t, nil)
	f.home.position = 41
	assertSelect(t, f.connect("r"), "x")
	assert.Equal(t, f.home.lastStart().Floor.GetPosition(), uint64(41))
}

// Guards against mixed-up results of pipelined statements, and against later
// statements of a batch that run after an error.
func TestBatchResultsAndErrors(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w")
	for range 2 {
		b := &pgx.Batch{}
		for i := range 50 {
			want := strings.Repeat("x", i*50)
			b.Queue("select $1", want).QueryRow(func(row pgx.Row) error {
				var got string
				assert.NilError(t, row.Scan(&got))
				assert.Equal(t, got, want)
				return nil
			})
		}
		assert.NilError(t, c.SendBatch(context.Background(), b).Close())
	}
	b := &pgx.Batch{}
	b.Queue("insert 1")
	b.Queue("error")
	b.Queue("insert 2")
	assert.Equal(t, sqlState(c.SendBatch(context.Background(), b).Close()), "22012")
	assert.Equal(t, f.home.position, uint64(0))
	assertSelect(t, c, "after the error")
	_, err := c.Prepare(context.Background(), "name", "syntax")
	assert.Equal(t, sqlState(err), "42601")
	_, err = c.Prepare(context.Background(), "name", "select $1")
	assert.NilError(t, err)
}

// Guards against lost copy data, and against a session that is unusable after a
// failed copy.
func TestCopyInAndOut(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w")
	n, err := c.CopyFrom(context.Background(), pgx.Identifier{"t"}, []string{"a"}, pgx.CopyFromRows([][]any{{"first"}, {strings.Repeat("y", 200_000)}}))
	assert.NilError(t, err)
	assert.Equal(t, n, int64(1))
	assert.Assert(t, len(f.home.copyInData) > 200_000)
	var out strings.Builder
	_, err = c.PgConn().CopyTo(context.Background(), &out, "copy t to stdout")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(out.String(), "\n"), 1000)
	_, err = c.PgConn().CopyFrom(context.Background(), strings.NewReader(strings.Repeat("z", 300_000)), "copy failing from stdin")
	assert.Equal(t, sqlState(err), "22P04")
	assertSelect(t, c, "after the copy")
}

// Guards against reporting a failure with a verdict other than that of the home host
// or the rate limiter.
func TestVerdictOfFailures(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w")
	for text, want := range map[string]string{"notrun": "53300", "mayhaverun": "08007"} {
		_, err := c.Exec(context.Background(), text)
		assert.Equal(t, sqlState(err), want)
		assertSelect(t, c, "after the failure")
	}
	f.rateLimited.Store(true)
	_, err := c.Exec(context.Background(), "insert")
	assert.Equal(t, sqlState(err), "53400")
	f.rateLimited.Store(false)
	_, err = beginTx(t, c).Exec(context.Background(), "mayhaverun")
	assert.Equal(t, sqlState(err), "08007")
	assert.Assert(t, c.IsClosed(), "a session must end when its transaction is lost")
}
