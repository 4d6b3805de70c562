package soak

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
	"github.com/cranberryhinge/cranberryhinge/platform/standin"
)

// startRestartingProcess returns a process that was stopped as planned and whose restart
// waits until finish is called.
func startRestartingProcess(t *testing.T) (p *process, finish func()) {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "host")
	assert.NilError(t, os.WriteFile(binary, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	peers, err := faultnet.Listen("", "127.0.0.1:1")
	assert.NilError(t, err)
	store, err := faultnet.Listen("", "127.0.0.1:1")
	assert.NilError(t, err)
	p = &process{dir: dir, binary: binary, peerRelay: peers, storeRelay: store}
	p.settings.Name = "h0"
	assert.NilError(t, p.start())
	// The settings are written at each start: to a pipe that nobody reads, the write waits.
	settings := filepath.Join(dir, "h0.yaml")
	assert.NilError(t, os.Remove(settings))
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	exited, restarted := p.exited, make(chan struct{})
	go func() {
		defer close(restarted)
		p.stopAndRestart()
	}()
	<-exited
	return p, func() {
		f, err := os.Open(settings)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, f)
		assert.NilError(t, err)
		assert.NilError(t, f.Close())
		<-restarted
	}
}

// Guards against a LOST whose time is that of the host's restart: a request that was cut at
// once counted as cut late when its caller then waited for a slow restart. Seen with seed
// 7001 beside load.
func TestCutIsTimedBeforeRestart(t *testing.T) {
	env, err := standin.NewEnvironment(nil, nil)
	assert.NilError(t, err)
	defer env.Close()
	r := &run{env: env}
	p, finish := startRestartingProcess(t)
	defer p.terminate()
	restarted := make(chan struct{})
	time.AfterFunc(2*cutTolerance, func() {
		defer close(restarted)
		finish()
	})
	time.Sleep(cutTolerance / 4) // for the restart to begin
	r.checkOutcome(p, time.Now(), standin.Outcome{ID: "cut-at-once", Cut: true})
	select {
	case <-restarted:
		t.Error("the check waited for the restart")
	default:
	}
	<-restarted
	assert.Equal(t, len(env.Oracle.Breaches()), 0, "%v", env.Oracle.Breaches())
	// A request that was cut late still counts.
	r.checkOutcome(p, time.Now().Add(-cutTolerance-time.Millisecond), standin.Outcome{ID: "cut-late", Cut: true})
	assert.Equal(t, len(env.Oracle.Breaches()), 1)
}
