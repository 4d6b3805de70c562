package standin

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
)

var testCredentials = dbconn.Credentials{User: "proxy", Password: "backend secret", Database: "kv"}

func testSettings(name string) DatabaseSettings {
	return DatabaseSettings{
		Name: name, Term: 1, Primary: "a", User: testCredentials.User, Password: testCredentials.Password, Seed: 7,
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func startGroup(t *testing.T, settings ...DatabaseSettings) []*Database {
	t.Helper()
	group, err := StartGroup(settings...)
	assert.NilError(t, err)
	t.Cleanup(func() {
		for _, db := range group {
			db.Kill()
		}
	})
	return group
}

func startGroupOfThree(t *testing.T) (a, b, c *Database) {
	t.Helper()
	group := startGroup(t, testSettings("a"), testSettings("b"), testSettings("c"))
	return group[0], group[1], group[2]
}

func connect(t *testing.T, db *Database, application string) (*pgx.Conn, error) {
	t.Helper()
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/kv?sslmode=disable",
		url.UserPassword(testCredentials.User, testCredentials.Password), db.Address()))
	assert.NilError(t, err)
	cfg.RuntimeParams["application_name"] = application
	conn, err := pgx.ConnectConfig(testContext(t), cfg)
	if err == nil {
		t.Cleanup(func() { conn.Close(context.Background()) })
	}
	return conn, err
}

func mustConnect(t *testing.T, db *Database) *pgx.Conn {
	t.Helper()
	conn, err := connect(t, db, "test")
	assert.NilError(t, err)
	return conn
}

func dialMonitor(t *testing.T, db *Database) *dbconn.Conn {
	t.Helper()
	conn, err := dbconn.Dial(testContext(t), db.Address(), testCredentials, "cranberryhinge/h1/monitor")
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

const upsertSQL = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"

func put(t *testing.T, conn *pgx.Conn, key, v string) {
	t.Helper()
	_, err := conn.Exec(testContext(t), upsertSQL, key, v)
	assert.NilError(t, err)
}

func get(t *testing.T, conn *pgx.Conn, key string) string {
	t.Helper()
	var v string
	err := conn.QueryRow(testContext(t), "SELECT value FROM kv WHERE key = $1", key).Scan(&v)
	if errors.Is(err, pgx.ErrNoRows) {
		return ""
	}
	assert.NilError(t, err)
	return v
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Guards against a stand-in that supports only the simple protocol: the default
// mode of pgx uses the extended protocol, cached statements and binary results.
func TestPgxDefaultMode(t *testing.T) {
	db := startGroup(t, testSettings("a"))[0]
	ctx, conn := testContext(t), mustConnect(t, db)
	for i := range 3 {
		put(t, conn, "k", fmt.Sprint(i))
		assert.Equal(t, get(t, conn, "k"), fmt.Sprint(i))
	}
	assert.Equal(t, get(t, conn, "absent"), "")
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "k", "x")
	assert.Equal(t, sqlState(err), "23505")
	var text string
	err = conn.QueryRow(ctx, "UPDATE kv SET value = (value::int8 + $2)::text WHERE key = $1 RETURNING value", "k", 5).Scan(&text)
	assert.NilError(t, err)
	assert.Equal(t, text, "7")
	_, err = conn.Exec(ctx, "INSERT INTO log (entry) VALUES ($1)", "once")
	assert.NilError(t, err)
	var n int64
	assert.NilError(t, conn.QueryRow(ctx, "SELECT count(*) FROM log WHERE entry = $1", "once").Scan(&n))
	assert.Equal(t, n, int64(1))
	rows, err := conn.Query(ctx, "SELECT generate_series(1, 50000)")
	assert.NilError(t, err)
	series, err := pgx.CollectRows(rows, pgx.RowTo[int32])
	assert.NilError(t, err)
	assert.Equal(t, len(series), 50000)
	assert.Equal(t, series[49999], int32(50000))
	batch := &pgx.Batch{}
	batch.Queue(upsertSQL, "b", "1")
	batch.Queue("INSERT INTO kv (key, value) VALUES ($1, $2)", "b", "2")
	assert.Equal(t, sqlState(conn.SendBatch(ctx, batch).Close()), "23505")
	assert.Equal(t, get(t, conn, "b"), "", "a failed batch is one transaction and leaves nothing")
	assert.NilError(t, conn.Ping(ctx))
}

// Guards the isolation of transactions and the error codes of conflicting and
// read-only ones.
func TestTransactionIsolationAndErrorCodes(t *testing.T) {
	db := startGroup(t, testSettings("a"))[0]
	ctx, first, second := testContext(t), mustConnect(t, db), mustConnect(t, db)
	put(t, first, "k", "0")
	tx, err := first.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, upsertSQL, "k", "1")
	assert.NilError(t, err)
	assert.Equal(t, get(t, second, "k"), "0")
	put(t, second, "k", "2")
	assert.Equal(t, sqlState(tx.Commit(ctx)), "40001")
	assert.Equal(t, get(t, first, "k"), "2")

	tx, err = first.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, upsertSQL, "k", "3")
	assert.Equal(t, sqlState(err), "25006")
	_, err = tx.Exec(ctx, "SELECT 1")
	assert.Equal(t, sqlState(err), "25P02")
	assert.NilError(t, tx.Rollback(ctx))

	_, err = first.PgConn().Exec(ctx, "SET default_transaction_read_only = on").ReadAll()
	assert.NilError(t, err)
	_, err = first.Exec(ctx, upsertSQL, "k", "4")
	assert.Equal(t, sqlState(err), "25006")
	const reset = "RESET ALL; CLOSE ALL; UNLISTEN *; DISCARD TEMP; DISCARD SEQUENCES; SELECT pg_advisory_unlock_all()"
	_, err = first.PgConn().Exec(ctx, reset).ReadAll()
	assert.NilError(t, err)
	put(t, first, "k", "5")
	assert.Equal(t, get(t, second, "k"), "5")
}

// Guards COPY in both directions, in the text and in the binary format.
func TestCopyInAndOut(t *testing.T) {
	db := startGroup(t, testSettings("a"))[0]
	ctx, conn := testContext(t), mustConnect(t, db)
	n, err := conn.CopyFrom(ctx, pgx.Identifier{"kv"}, []string{"key", "value"}, pgx.CopyFromRows([][]any{{"a", "1"}, {"b", "2"}}))
	assert.NilError(t, err)
	assert.Equal(t, n, int64(2))
	tag, err := conn.PgConn().CopyFrom(ctx, strings.NewReader("c\t3\nd\t4\\t5\n"), "COPY kv FROM STDIN")
	assert.NilError(t, err)
	assert.Equal(t, tag.String(), "COPY 2")
	var out bytes.Buffer
	_, err = conn.PgConn().CopyTo(ctx, &out, "COPY kv TO STDOUT")
	assert.NilError(t, err)
	assert.Equal(t, out.String(), "a\t1\nb\t2\nc\t3\nd\t4\\t5\n")
}

// Guards replication, its delays and the position that a majority holds.
func TestReplicationAndMajorityPosition(t *testing.T) {
	a, b, c := startGroupOfThree(t)
	conn := mustConnect(t, a)
	b.SetApplyEnabled(false)
	c.Pause()
	eventually(t, "a majority holds the first entry", func() bool { return a.Status().MajorityPosition == a.Status().Position })
	put(t, conn, "k", "1")
	eventually(t, "a majority holds the write", func() bool { return a.Status().MajorityPosition == a.Status().Position })
	assert.Assert(t, b.Status().Position < b.Status().ReceivedPosition, "b received the write but did not apply it")
	assert.Equal(t, get(t, mustConnect(t, b), "k"), "")
	b.SetApplyEnabled(true)
	eventually(t, "b has applied the write", func() bool { return b.Status().Position == a.Status().Position })
	assert.Equal(t, get(t, mustConnect(t, b), "k"), "1")

	b.Isolate("a")
	put(t, conn, "k", "2")
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, a.Status().MajorityPosition < a.Status().Position, "no replica holds the write")
	b.EndIsolation()
	c.Resume()
	eventually(t, "b and c have caught up", func() bool {
		return a.Status().MajorityPosition == a.Status().Position && c.Status().Position == a.Status().Position
	})
	_, err := mustConnect(t, b).Exec(testContext(t), upsertSQL, "k", "3")
	assert.Equal(t, sqlState(err), "25006")
}

// Guards against a fenced database that still accepts the log of its old
// primary, a promotion outside the adopted term, and a log tail of the old term
// that ranks above the new term's log or survives it.
func TestFencePromoteFollow(t *testing.T) {
	a, b, c := startGroupOfThree(t)
	ctx := testContext(t)
	conn := mustConnect(t, a)
	put(t, conn, "k", "common")
	eventually(t, "b and c have received the write", func() bool {
		p := a.Status().Position
		return b.Status().ReceivedPosition == p && c.Status().ReceivedPosition == p
	})
	monitorB, monitorC, monitorA := dialMonitor(t, b), dialMonitor(t, c), dialMonitor(t, a)
	for _, m := range []*dbconn.Conn{monitorB, monitorC} {
		status, err := m.Fence(ctx, 2)
		assert.NilError(t, err)
		assert.Equal(t, status.Term, uint64(2))
		assert.Equal(t, status.Role, dbconn.Detached)
		assert.Equal(t, status.ReceivedPosition, a.Status().Position)
	}
	majorityBefore := a.Status().MajorityPosition
	for i := range 5 {
		put(t, conn, "k", fmt.Sprint("lost ", i))
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, a.Status().MajorityPosition, majorityBefore, "fenced databases must not hold the old primary's writes")

	assert.Equal(t, sqlState(monitorB.Promote(ctx, 3)), "55000")
	assert.NilError(t, monitorB.Promote(ctx, 2))
	assert.NilError(t, monitorC.Follow(ctx, 2, "b"))
	put(t, mustConnect(t, b), "n", "new")
	eventually(t, "a majority holds the write of the new term", func() bool { return b.Status().MajorityPosition == b.Status().Position })

	oldPrimary, err := monitorA.Fence(ctx, 3)
	assert.NilError(t, err)
	assert.Assert(t, oldPrimary.ReceivedPosition < c.Status().ReceivedPosition, "the long tail of term 1 must rank below term 2")
	_, err = conn.Exec(ctx, upsertSQL, "k", "after fence")
	assert.Equal(t, sqlState(err), "25006")
	assert.Equal(t, sqlState(monitorA.Follow(ctx, 2, "b")), "55000")
	for _, m := range []*dbconn.Conn{monitorB, monitorC} {
		_, err := m.Fence(ctx, 3)
		assert.NilError(t, err)
	}
	assert.NilError(t, monitorB.Promote(ctx, 3))
	assert.NilError(t, monitorA.Follow(ctx, 3, "b"))
	assert.NilError(t, monitorC.Follow(ctx, 3, "b"))
	eventually(t, "the old primary has caught up", func() bool { return a.Status().Position == b.Status().Position })
	connA := mustConnect(t, a)
	assert.Equal(t, get(t, connA, "k"), "common", "the lost tail is undone")
	assert.Equal(t, get(t, connA, "n"), "new")
}

// Guards against a primary that loses its log or its term in a crash, and
// against one whose writes reach a majority after that majority has adopted a
// higher term.
func TestKilledPrimaryKeepsLogAndRole(t *testing.T) {
	a, b, c := startGroupOfThree(t)
	ctx := testContext(t)
	put(t, mustConnect(t, a), "k", "1")
	a.Kill()
	for _, db := range []*Database{b, c} {
		_, err := dialMonitor(t, db).Fence(ctx, 2)
		assert.NilError(t, err)
	}
	assert.NilError(t, a.Restart())
	conn := mustConnect(t, a)
	assert.Equal(t, get(t, conn, "k"), "1")
	put(t, conn, "k", "2")
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, a.Status().Role, "primary")
	assert.Assert(t, a.Status().MajorityPosition < a.Status().Position)
}

// Guards the connection limit and that evict closes exactly the data
// connections of older epochs.
func TestConnectionLimitAndEvict(t *testing.T) {
	s := testSettings("a")
	s.Connections, s.Authentication = 4, AuthenticationMD5
	db := startGroup(t, s)[0]
	ctx := testContext(t)
	old, err := connect(t, db, "cranberryhinge/h1/3")
	assert.NilError(t, err)
	current, err := connect(t, db, "cranberryhinge/h2/4")
	assert.NilError(t, err)
	oldMonitor, err := connect(t, db, "cranberryhinge/h1/monitor")
	assert.NilError(t, err)
	mon := dialMonitor(t, db)
	_, err = connect(t, db, "cranberryhinge/h3/5")
	assert.Equal(t, sqlState(err), "53300")

	tx, err := old.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, upsertSQL, "k", "evicted")
	assert.NilError(t, err)
	assert.NilError(t, mon.Evict(ctx, 4))
	status, err := mon.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.Connections, 3)
	assert.Equal(t, sqlState(tx.Commit(ctx)), "57P01")
	assert.NilError(t, oldMonitor.Ping(ctx))
	assert.Equal(t, get(t, current, "k"), "")
	r := db.Record()
	assert.Equal(t, r.MaxConnections, 4)
	assert.Equal(t, r.Refused, 1)
	assert.Equal(t, r.Evicted, 1)
}

// Guards the limit of slots, the record of what clients sent, and cancel
// requests.
func TestSlotsRecordAndCancel(t *testing.T) {
	s := testSettings("a")
	s.Slots, s.ServiceTime = 2, FixedDuration(30*time.Millisecond)
	db := startGroup(t, s)[0]
	db.WatchClientText("caller key")
	ctx := testContext(t)
	begin := time.Now()
	done := make(chan error, 6)
	for range cap(done) {
		conn := mustConnect(t, db)
		go func() {
			_, err := conn.Exec(ctx, "SELECT $1::text", "x")
			done <- err
		}()
	}
	for range cap(done) {
		assert.NilError(t, <-done)
	}
	assert.Assert(t, time.Since(begin) >= 90*time.Millisecond)
	r := db.Record()
	assert.Equal(t, r.MaxRunning, 2)
	assert.Assert(t, r.MaxOffered > 2)
	assert.Equal(t, r.Startups[0].Password, testCredentials.Password)
	assert.Equal(t, r.Startups[0].Parameters["application_name"], "test")
	assert.Equal(t, r.Sightings, 0)

	conn := mustConnect(t, db)
	_, err := conn.Exec(ctx, "SELECT $1::text", "the caller key is here")
	assert.NilError(t, err)
	assert.Equal(t, db.Record().Sightings, 1)
	time.AfterFunc(100*time.Millisecond, func() { _ = conn.PgConn().CancelRequest(ctx) })
	_, err = conn.Exec(ctx, "SELECT pg_sleep($1)", 20.0)
	assert.Equal(t, sqlState(err), "57014")
	assert.NilError(t, conn.Ping(ctx))
}

// Guards the injected faults: a paused database commits nothing, and a silent
// connection gets no answer while new connections work.
func TestPauseAndSilence(t *testing.T) {
	db := startGroup(t, testSettings("a"))[0]
	ctx := testContext(t)
	conn := mustConnect(t, db)
	put(t, conn, "k", "1")
	db.Pause()
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, upsertSQL, "k", "2")
		done <- err
	}()
	time.Sleep(30 * time.Millisecond)
	assert.Equal(t, db.Record().Commits, 1)
	db.Resume()
	assert.NilError(t, <-done)

	db.SilenceClients()
	shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := conn.Exec(shortCtx, upsertSQL, "k", "3")
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	assert.Equal(t, get(t, mustConnect(t, db), "k"), "2")
}

// Guards replication over addresses given in the settings, and its recovery
// from a link that went silent without being closed.
func TestReplicationRecoversFromSilentLink(t *testing.T) {
	a := startGroup(t, testSettings("a"))[0]
	relay, err := faultnet.Listen("", a.Address())
	assert.NilError(t, err)
	t.Cleanup(relay.Close)
	s := testSettings("b")
	s.Peers = map[string]string{"a": relay.Address()}
	b, err := Start(s)
	assert.NilError(t, err)
	t.Cleanup(b.Kill)
	a.SetPeers(map[string]string{"b": b.Address()})
	conn := mustConnect(t, a)
	put(t, conn, "k", "1")
	eventually(t, "b holds the write", func() bool { return a.Status().MajorityPosition == a.Status().Position })
	relay.SetMode(faultnet.Silent)
	put(t, conn, "k", "2")
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, a.Status().MajorityPosition < a.Status().Position)
	relay.SetMode(faultnet.Pass)
	eventually(t, "b has reconnected and caught up", func() bool { return a.Status().MajorityPosition == a.Status().Position })
}

// Guards the restart of a killed database process from its journal, with a log
// tail that the database discarded and a last line that was cut off.
func TestRestartFromJournal(t *testing.T) {
	a, b := testSettings("a"), testSettings("b")
	b.Journal = filepath.Join(t.TempDir(), "journal")
	group := startGroup(t, a, b)
	ctx := testContext(t)
	put(t, mustConnect(t, group[0]), "k", "1")
	caughtUp := func() bool { return group[1].Status().Position == group[0].Status().Position }
	eventually(t, "b catches up", caughtUp)
	monitorB := dialMonitor(t, group[1])
	_, err := monitorB.Fence(ctx, 2)
	assert.NilError(t, err)
	assert.NilError(t, monitorB.Promote(ctx, 2))
	put(t, mustConnect(t, group[1]), "k", "lost")
	_, err = monitorB.Fence(ctx, 3)
	assert.NilError(t, err)
	monitorA := dialMonitor(t, group[0])
	_, err = monitorA.Fence(ctx, 3)
	assert.NilError(t, err)
	assert.NilError(t, monitorA.Promote(ctx, 3))
	assert.NilError(t, monitorB.Follow(ctx, 3, "a"))
	eventually(t, "b catches up", caughtUp)
	group[1].Kill()
	file, err := os.OpenFile(b.Journal, os.O_APPEND|os.O_WRONLY, 0)
	assert.NilError(t, err)
	_, err = file.WriteString(`{"entry":{"Term":9`)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())

	b.Peers = map[string]string{"a": group[0].Address()}
	restarted, err := Start(b)
	assert.NilError(t, err)
	t.Cleanup(restarted.Kill)
	status := restarted.Status()
	assert.Equal(t, status.Term, uint64(3))
	assert.Equal(t, status.Role, "replica")
	assert.Equal(t, status.Position, group[0].Status().Position)
	assert.Equal(t, get(t, mustConnect(t, restarted), "k"), "1")
}

// Guards the entry point of the command line, which serves until its context is
// cancelled.
func TestRunDatabaseServesUntilCancelled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := testSettings("a")
	s.Address = listener.Addr().String()
	assert.NilError(t, listener.Close())
	ctx, cancel := context.WithCancel(testContext(t))
	done := make(chan error, 1)
	go func() { done <- RunDatabase(ctx, s) }()
	var conn *dbconn.Conn
	eventually(t, "the database listens", func() bool {
		conn, err = dbconn.Dial(ctx, s.Address, testCredentials, "test")
		return err == nil
	})
	defer conn.Close()
	status, err := conn.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.Role, dbconn.Primary)
	cancel()
	assert.NilError(t, <-done)
}

// Guards the decoding of settings: durations have units, and an unknown field
// is an error.
func TestParseDatabaseSettings(t *testing.T) {
	s, err := ParseDatabaseSettings([]byte(
		"name: a\naddress: 127.0.0.1:0\npeers: {b: '127.0.0.1:2'}\nconnect_delay: 10ms\napply_delay: {min: 1ms, max: 5ms}\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.ConnectDelay, 10*time.Millisecond)
	assert.Equal(t, s.ApplyDelay, DurationRange{Min: time.Millisecond, Max: 5 * time.Millisecond})
	_, err = ParseDatabaseSettings([]byte("nmae: a\n"))
	assert.ErrorContains(t, err, "nmae")
}
