package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// withdrawKey publishes a configuration in which the test key is withdrawn.
func (f *fixture) withdrawKey() {
	doc := testDocument()
	doc.Inventory.Customers[0].Keys[0].Withdrawn = true
	f.doc.Store(doc)
	f.keysChanged <- struct{}{}
}

// sleepStatement starts a statement that ends only when it is cancelled. It returns
// once the fake home host runs the statement.
func (f *fixture) sleepStatement(c *pgx.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "sleep")
		done <- err
	}()
	<-f.home.sleepStarted
	return done
}

// Guards against sessions that continue after their key was withdrawn or the
// configuration became stale, and against a wrong error code for the statement that
// was running.
func TestWithdrawnKeyEndsSessions(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"withdrawn": (*fixture).withdrawKey,
		"stale":     func(f *fixture) { f.configStale.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			idle, inTx, busy := f.rawSession("w"), f.connect("w"), f.connect("w")
			tx := beginTx(t, inTx)
			running := f.sleepStatement(busy)
			change(f)
			assert.Equal(t, readErrorCode(t, idle), "57P01")
			eventually(t, "end of all three sessions", func() bool {
				return f.counters.Refusals(verdict.WithdrawnKey)+f.counters.Refusals(verdict.StaleConfiguration) == 3
			})
			_, err := tx.Exec(context.Background(), "insert")
			assert.Equal(t, sqlState(err), "57P01")
			assert.Equal(t, sqlState(<-running), "57014", "the backend server reported the cancellation")
			_, err = busy.Exec(context.Background(), "insert")
			assert.Equal(t, sqlState(err), "57P01")
			eventually(t, "end of all sessions", func() bool { return f.entry.Sessions() == 0 })
			_, err = pgx.ConnectConfig(context.Background(), f.connConfig("w", testKey, ""))
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against reporting a statement as cancelled although its outcome is unknown,
// because its deadline has passed and the home host ignores the cancel request.
func TestOverdueStatementMayHaveRun(t *testing.T) {
	f := newFixture(t, nil)
	f.home.ignoreCancel = true
	c := f.connect("short")
	began := time.Now()
	_, err := c.Exec(context.Background(), "sleep")
	assert.Equal(t, sqlState(err), "08007")
	assert.Assert(t, time.Since(began) < 5*time.Second)
	assert.Equal(t, f.counters.Refusals(verdict.AnswerOverdue), int64(1))
	assertSelect(t, c, "after the overdue answer")
}

// Guards against a drain that aborts an open transaction or leaves a session open.
func TestDrainLetsOpenTransactionsFinish(t *testing.T) {
	f := newFixture(t, nil)
	idle, open := f.rawSession("w"), f.connect("w")
	tx := beginTx(t, open)
	drained := make(chan error, 1)
	go func() { drained <- f.entry.Drain(context.Background()) }()
	assert.Equal(t, readErrorCode(t, idle), "57P01")
	_, err := pgx.ConnectConfig(context.Background(), f.connConfig("w", testKey, ""))
	assert.Equal(t, sqlState(err), "57P01")
	for range 3 {
		_, err = tx.Exec(context.Background(), "insert")
		assert.NilError(t, err)
	}
	assert.NilError(t, tx.Commit(context.Background()))
	assert.NilError(t, <-drained)
	_, err = open.Exec(context.Background(), "insert")
	assert.Equal(t, sqlState(err), "57P01")

	f = newFixture(t, nil)
	beginTx(t, f.connect("w"))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, f.entry.Drain(ctx), context.DeadlineExceeded)
}

// Guards against a cancel request that is lost, or that cancels a statement of
// another session or a later statement of the same session.
func TestCancelReachesOnlyItsStatement(t *testing.T) {
	f := newFixture(t, nil)
	a, b := f.connect("w"), f.connect("w")
	doneA, doneB := f.sleepStatement(a), f.sleepStatement(b)
	assert.NilError(t, a.PgConn().CancelRequest(context.Background()))
	assert.Equal(t, sqlState(<-doneA), "57014")
	select {
	case err := <-doneB:
		t.Fatalf("cancel reached another session: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	assert.NilError(t, a.PgConn().CancelRequest(context.Background()))
	assertSelect(t, a, "a cancel request between statements has no effect")
	pid, secret := b.PgConn().PID(), binary.BigEndian.Uint32(b.PgConn().SecretKey())
	assert.Assert(t, !f.entry.Cancel(pid, secret+1))
	assert.Assert(t, f.entry.Cancel(pid, secret))
	assert.Equal(t, sqlState(<-doneB), "57014")
}

type fakeCancelForwarder chan uint32

func (f fakeCancelForwarder) ForwardCancel(_ context.Context, host, _, _ uint32) error {
	f <- host
	return nil
}

// Guards against a cancel request that does not reach the host of its session
// because the load balancer routed it to another host.
func TestCancelForwardedToSessionHost(t *testing.T) {
	forwarded := make(fakeCancelForwarder, 1)
	sessionHost := newFixture(t, nil)
	otherHost := newFixture(t, func(o *Options) { o.Host, o.CancelForwarder = "host-b", forwarded })
	c := sessionHost.connect("w")
	done := sessionHost.sleepStatement(c)
	request, _ := (&pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: c.PgConn().SecretKey()}).Encode(nil)
	_, err := otherHost.dial().Write(request)
	assert.NilError(t, err)
	assert.Equal(t, <-forwarded, HostNumber("host-a"))
	assert.NilError(t, c.PgConn().CancelRequest(context.Background()))
	assert.Equal(t, sqlState(<-done), "57014")
}

// Guards against a request that cannot be cancelled while its Run stream is being
// opened, and against a wrong verdict for it.
func TestCancelWhileOpening(t *testing.T) {
	f := newFixture(t, nil)
	f.home.blockOpen = true
	c := f.connect("w")
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "insert")
		done <- err
	}()
	eventually(t, "blocked call of Open", func() bool { return f.home.blockedOpens.Load() == 1 })
	assert.NilError(t, c.PgConn().CancelRequest(context.Background()))
	assert.Equal(t, sqlState(<-done), "57014")
}

// Guards against mixed-up responses of pipelined batches, and against a prepared
// statement that is missing in later batches.
func TestPipelinedBatches(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w").PgConn()
	p := c.StartPipeline(context.Background())
	p.SendPrepare("p", "select $1", nil)
	assert.NilError(t, p.Sync())
	for _, arg := range []string{"one", "two"} {
		p.SendQueryPrepared("p", [][]byte{[]byte(arg)}, nil, nil)
		assert.NilError(t, p.Sync())
	}
	var got []string
	for syncs := 0; syncs < 3; {
		r, err := p.GetResults()
		assert.NilError(t, err)
		switch r := r.(type) {
		case *pgconn.ResultReader:
			for r.NextRow() {
				got = append(got, string(r.Values()[0]))
			}
		case *pgconn.PipelineSync:
			syncs++
		}
	}
	assert.NilError(t, p.Close())
	assert.DeepEqual(t, got, []string{"one", "two"})
	// Within a transaction, the prepared statement is sent to the home host once.
	conn := f.connect("w")
	tx := beginTx(t, conn)
	before := f.home.preparedCount.Load()
	for range 3 {
		assertSelect(t, tx, "x")
	}
	assert.NilError(t, tx.Commit(context.Background()))
	assert.Equal(t, f.home.preparedCount.Load(), before+1)
}

// Guards against statements that bypass the rate limiter because their batch began
// with a flushed Parse, and against a statement that is lost after a Flush.
func TestStatementAfterFlushIsRateLimited(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w")
	for _, limited := range []bool{false, true} {
		p := c.PgConn().StartPipeline(context.Background())
		p.SendPrepare(fmt.Sprint(limited), "insert", nil)
		p.SendFlushRequest()
		assert.NilError(t, p.Flush())
		_, err := p.GetResults()
		assert.NilError(t, err)
		f.rateLimited.Store(limited)
		p.SendQueryPrepared(fmt.Sprint(limited), nil, nil, nil)
		err = p.Sync()
		assert.NilError(t, err)
		r, err := p.GetResults()
		if !limited {
			assert.NilError(t, err)
			_, err = r.(*pgconn.ResultReader).Close()
		}
		assert.Equal(t, sqlState(err), map[bool]string{true: "53400"}[limited])
		assert.NilError(t, p.Close())
	}
	assert.Equal(t, f.home.position, uint64(1))
	f.rateLimited.Store(false)
	assertSelect(t, c, "after the refusal")
}

// Guards against responses that reach the wrong session, and against sessions that
// hang, while statements fail, are cancelled or lose their streams.
func TestSessionsUnderFailures(t *testing.T) {
	f := newFixture(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var workers errgroup.Group
	for id := range 16 {
		workers.Go(func() error {
			r := rand.New(rand.NewPCG(1, uint64(id)))
			var c *pgx.Conn
			for i := range 60 {
				if c == nil || c.IsClosed() {
					var err error
					if c, err = pgx.ConnectConfig(ctx, f.connConfig("w", testKey, "")); err != nil {
						return err
					}
				}
				if err := f.runRandomRequest(ctx, r, c, fmt.Sprintf("%d-%d", id, i)); err != nil {
					return err
				}
			}
			return c.Close(ctx)
		})
	}
	assert.NilError(t, workers.Wait())
	eventually(t, "end of all sessions", func() bool { return f.entry.Sessions() == 0 })
}

// runRandomRequest runs one random request and checks its result. A statement that is
// expected to fail must fail.
func (f *fixture) runRandomRequest(ctx context.Context, r *rand.Rand, c *pgx.Conn, arg string) error {
	var got string
	switch r.IntN(5) {
	case 0:
		b := &pgx.Batch{}
		for range r.IntN(20) {
			b.Queue("select $1", arg).QueryRow(func(row pgx.Row) error { return row.Scan(&got) })
		}
		if err := c.SendBatch(ctx, b).Close(); err != nil || b.Len() > 0 && got != arg {
			return errors.Errorf("batch: %q, %v", got, err)
		}
	case 1:
		if _, err := c.Exec(ctx, "begin"); err != nil {
			return err
		}
		fails := []string{"error", "mayhaverun", "notrun", "listen x"}
		if _, err := c.Exec(ctx, fails[r.IntN(len(fails))]); err == nil {
			return errors.New("a statement that must fail succeeded")
		}
		if !c.IsClosed() {
			_, err := c.Exec(ctx, "rollback")
			return err
		}
	case 2:
		timer := time.AfterFunc(5*time.Millisecond, func() { _ = c.PgConn().CancelRequest(ctx) })
		defer timer.Stop()
		if _, err := c.Exec(ctx, "sleep"); sqlState(err) != "57014" {
			return errors.Errorf("cancelled statement: %v", err)
		}
	default:
		if err := c.QueryRow(ctx, "select $1", arg).Scan(&got); err != nil || got != arg {
			return errors.Errorf("select: %q, %v", got, err)
		}
	}
	return nil
}
