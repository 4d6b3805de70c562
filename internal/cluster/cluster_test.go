package cluster

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
)

func startExample(t *testing.T, name string) *Cluster {
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
