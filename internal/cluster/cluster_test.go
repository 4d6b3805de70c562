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
		Document: doc, Drain: 5 * time.Second,
		Database: standin.DatabaseSettings{
			ConnectDelay:   10 * time.Millisecond,
			TransportDelay: standin.Range{Min: time.Millisecond, Max: 2 * time.Millisecond},
			ApplyDelay:     standin.Range{Min: 50 * time.Millisecond, Max: 200 * time.Millisecond},
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

// Guards against the whole path being broken anywhere: a pgx client in default
// mode writes through one host and reads its write through another.
func TestWriteHereReadThere(t *testing.T) {
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

// Guards against a caller's key reaching a backend server or a log line.
func TestKeyStaysAtTheEntryHost(t *testing.T) {
	var logs safeBuffer
	c := startExampleWith(t, "kandyan", func(s *Settings) { s.LogWriter, s.LogLevel = &logs, "debug" })
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	secret := secretOf("lanka-build", testKeyID)
	for _, db := range c.Databases {
		db.Watch(secret)
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

// Guards against a caller that promotes or fences a database by a statement of
// its own.
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

// Guards against requests that are cut, and work that still arrives, when a
// backend server leaves: the primary moves to another server.
func TestLeavingPrimary(t *testing.T) {
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
	last := c.Databases["release-north-1"].Record().LastData
	assert.Assert(t, last.Sub(accepted) < 3*time.Second, "the leaving server got work %s after the configuration was accepted", last.Sub(accepted))
}

// Guards against a customer using a route that does not list it, and against a
// public route asking for a key.
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

// safeBuffer is a buffer that hosts write to while the test reads.
type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against hosts that stop at the same time handing roles to each other
// without end, one write to the store each.
func TestStoppingAllHostsWritesLittle(t *testing.T) {
	c := startExample(t, "kandyan")
	before := c.Platform.Counts().Writes
	assert.NilError(t, c.StopHosts())
	writes := c.Platform.Counts().Writes - before
	// 9 servers and 16 minters: each role is handed over and then freed, and
	// each host gives its lease up. Owners write their groups' rows besides.
	const roles, hosts, groups = 25, 9, 3
	assert.Assert(t, writes <= 3*roles+2*hosts+6*groups, "%d writes", writes)
	t.Logf("%d writes", writes)
}
