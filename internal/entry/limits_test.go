package entry

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
)

// Guards against logins that stop half-way and keep ordinary callers out.
func TestOldestLoginMakesRoom(t *testing.T) {
	l := newLogins(2)
	conns := make([]net.Conn, 4)
	ends := make([]func(), 4)
	for i := range conns {
		conns[i], _ = net.Pipe()
	}
	now := time.Unix(0, 0)
	var surplus net.Conn
	for i := range 2 {
		ends[i], surplus = l.begin(conns[i], now)
		assert.Equal(t, surplus, nil)
	}
	_, surplus = l.begin(conns[2], now)
	assert.Equal(t, surplus, conns[2])
	now = now.Add(loginGrace)
	_, surplus = l.begin(conns[2], now)
	assert.Equal(t, surplus, conns[0])
	ends[0]()
	assert.Equal(t, l.order.Len(), 2)
	ends[1]()
	_, surplus = l.begin(conns[3], now)
	assert.Equal(t, surplus, nil)
}

// Guards against statements whose memory is not given back when they end or are refused,
// against prepared statements that are kept without a reservation, and against a refusal
// that ends the session.
func TestStatementMemoryIsBounded(t *testing.T) {
	f := newFixture(t, func(o *Options) {
		// For one customer: input 240 KiB, statements 360 KiB, state 160 KiB.
		o.Budget = budget.New(4<<20, clock.Boot, &log.Logger{Level: log.PanicLevel}, o.Counters)
	})
	c := f.connect("w")
	ctx := context.Background()
	fits, large := "insert "+strings.Repeat("x", 80_000), "insert "+strings.Repeat("x", 140_000)
	for range 10 {
		_, err := c.Exec(ctx, fits, pgx.QueryExecModeSimpleProtocol)
		assert.NilError(t, err)
		_, err = c.Exec(ctx, large, pgx.QueryExecModeSimpleProtocol)
		assert.Equal(t, sqlState(err), "53200")
		_, err = c.Exec(ctx, large, pgx.QueryExecModeExec)
		assert.Equal(t, sqlState(err), "53200")
	}
	_, err := c.Prepare(ctx, "a", fits)
	assert.NilError(t, err)
	_, err = c.Prepare(ctx, "b", fits+"y")
	assert.NilError(t, err)
	_, err = c.Prepare(ctx, "c", fits+"z")
	assert.Equal(t, sqlState(err), "53200")
	_, err = c.Exec(ctx, "a")
	assert.NilError(t, err)
	// What closed statements held is free for another session of the customer.
	assert.NilError(t, c.Deallocate(ctx, "a"))
	assert.NilError(t, c.Deallocate(ctx, "b"))
	other := f.connect("w")
	_, err = other.Prepare(ctx, "a", fits)
	assert.NilError(t, err)
	tx := beginTx(t, c)
	_, err = tx.Exec(ctx, large, pgx.QueryExecModeSimpleProtocol)
	assert.Equal(t, sqlState(err), "53200")
	_, err = tx.Exec(ctx, "insert")
	assert.Equal(t, sqlState(err), "25P02")
	assert.NilError(t, tx.Rollback(ctx))
	_, err = c.Exec(ctx, "insert")
	assert.NilError(t, err)
}
