package cluster

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
)

func startExample(t *testing.T, name string) *Cluster {
	t.Helper()
	return startExampleWith(t, name, func(*Settings) {})
}

func startExampleWith(t *testing.T, name string, change func(*Settings)) *Cluster {
	t.Helper()
	doc, err := config.Load("../../examples/" + name)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	settings := Settings{
		Document: doc, DrainTimeout: 5 * time.Second,
		Database: standin.DatabaseSettings{
			ConnectDelay:   10 * time.Millisecond,
			TransportDelay: standin.DurationRange{Min: time.Millisecond, Max: 2 * time.Millisecond},
			ApplyDelay:     standin.DurationRange{Min: 50 * time.Millisecond, Max: 200 * time.Millisecond},
		},
	}
	if os.Getenv("CLUSTER_LOG") != "" {
		settings.LogWriter = os.Stderr
	}
	change(&settings)
	c, err := Start(ctx, settings)
	assert.NilError(t, err)
	t.Cleanup(c.Stop)
	assert.NilError(t, c.WaitReady(ctx))
	return c
}

// Guards against a fault anywhere on the path of a request: a pgx client in
// default mode writes through one host and must read its write through another.
func TestReadYourWriteAcrossHosts(t *testing.T) {
	c := startExample(t, "sundarban")
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	writer, err := c.Connect(ctx, "kolkata-1", "release-north", "head-office")
	assert.NilError(t, err)
	defer writer.Close(ctx)
	const upsert = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"
	tx, err := writer.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, upsert, "lot-1", "cleared")
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit(ctx))
	token := writer.PgConn().ParameterStatus("cranberryhinge.token")
	assert.Assert(t, token != "")

	reader, err := c.Connect(ctx, "siliguri-1", "release-north-status", "head-office")
	assert.NilError(t, err)
	defer reader.Close(ctx)
	var value string
	assert.NilError(t, reader.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", "lot-1").Scan(&value))
	assert.Equal(t, value, "cleared")
}

// Guards against a caller's key leaving the entry host for a backend server, and
// against a key in a log line.
func TestKeyDoesNotReachBackendOrLog(t *testing.T) {
	var logs syncBuffer
	c := startExampleWith(t, "kandyan", func(s *Settings) { s.LogWriter, s.LogLevel = &logs, "debug" })
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	secret := testSecret("lanka-build", testKeyID)
	for _, db := range c.Databases {
		db.WatchClientText(secret)
	}
	for _, route := range []string{"bookings", "bookings-read", "fleet", "dispatch-read"} {
		conn, err := c.Connect(ctx, "lk-west-b-1", route, "lanka-build")
		assert.NilError(t, err)
		_, err = conn.Exec(ctx, "SELECT value FROM kv WHERE key = $1", "x")
		assert.NilError(t, err)
		assert.NilError(t, conn.Close(ctx))
	}
	for name, db := range c.Databases {
		assert.Equal(t, db.Record().Sightings, 0, name)
	}
	assert.Assert(t, len(logs.String()) > 0)
	assert.Assert(t, !strings.Contains(logs.String(), secret))
}

// Guards against a caller that makes a control call, such as promote or fence,
// with an SQL statement.
func TestCallerCannotMakeControlCalls(t *testing.T) {
	c := startExample(t, "kandyan")
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	conn, err := c.Connect(ctx, "lk-west-a-1", "bookings", "lanka-build")
	assert.NilError(t, err)
	defer conn.Close(ctx)
	for _, call := range []string{"fence(9)", "promote(9)", "follow(9, 'bookings-2')", "evict(99)"} {
		_, err := conn.Exec(ctx, "SELECT cranberryhinge."+call, pgx.QueryExecModeSimpleProtocol)
		assert.ErrorContains(t, err, "42501", call)
	}
	assert.Equal(t, c.Databases["bookings-1"].Status().Term, uint64(1))
}

// Guards against failed requests while a leaving primary is replaced by another
// server, and against work that still reaches the leaving server afterwards.
func TestWritesContinueWhenPrimaryLeaves(t *testing.T) {
	c := startExample(t, "sundarban")
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	conn, err := c.Connect(ctx, "siliguri-1", "release-north", "head-office")
	assert.NilError(t, err)
	defer conn.Close(ctx)
	assert.NilError(t, c.Apply(ctx, func(doc *config.Document) { doc.Inventory.Groups[0].Servers[0].Leaving = true }))
	accepted := time.Now()
	for i := 0; time.Since(accepted) < 4*time.Second; i++ {
		_, err := conn.Exec(ctx, "INSERT INTO log (entry) VALUES ($1)", fmt.Sprint("entry ", i))
		assert.NilError(t, err, "write %d, %s after the configuration was accepted", i, time.Since(accepted))
		time.Sleep(20 * time.Millisecond)
	}
	lastData := c.Databases["release-north-1"].Record().LastData
	assert.Assert(t, lastData.Sub(accepted) < 3*time.Second, "the leaving server got work %s after the configuration was accepted", lastData.Sub(accepted))
}

// Guards against a public route that requires a key, and against a connection
// without a key to a route that needs one or to a route that does not exist.
func TestRoutesAndKeys(t *testing.T) {
	c := startExample(t, "sundarban")
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	conn, err := c.Connect(ctx, "howrah-1", "release-north-notices", "")
	assert.NilError(t, err)
	_, err = conn.Exec(ctx, "SELECT value FROM kv WHERE key = $1", "notice")
	assert.NilError(t, err)
	assert.NilError(t, conn.Close(ctx))
	_, err = c.Connect(ctx, "howrah-1", "release-north", "")
	assert.ErrorContains(t, err, "28P01")
	_, err = c.Connect(ctx, "howrah-1", "no-such-route", "head-office")
	assert.ErrorContains(t, err, "3D000")
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against hosts that stop at the same time and hand roles to each other
// endlessly, each handover costing a write to the store.
func TestStoppingAllHostsBoundsStoreWrites(t *testing.T) {
	c := startExample(t, "kandyan")
	before := c.Platform.Counts().Writes
	assert.NilError(t, c.StopHosts())
	writes := c.Platform.Counts().Writes - before
	// The 25 roles are 9 home roles of servers and 16 minter roles. Each role is
	// handed over and then released, and each host releases its lease. Owners also
	// write the rows of their groups.
	const roles, hosts, groups = 25, 9, 3
	assert.Assert(t, writes <= 3*roles+2*hosts+6*groups, "%d writes", writes)
	t.Logf("%d writes", writes)
}
