package soak

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
)

// Guards against hosts that outlive their run: two events that ended the same
// process both started it again, and only the later one was known. Seen as hosts of
// seeds 1103, 1104, 1109 and 1111 that still ran after the soak.
func TestOverlappingEventsLeaveNoProcess(t *testing.T) {
	dir := t.TempDir()
	pids, binary := filepath.Join(dir, "pids"), filepath.Join(dir, "host")
	script := "#!/bin/sh\necho $$ >> " + pids + "\nexec sleep 60\n"
	assert.NilError(t, os.WriteFile(binary, []byte(script), 0o700))
	peers, err := faultnet.Listen("", "127.0.0.1:1")
	assert.NilError(t, err)
	store, err := faultnet.Listen("", "127.0.0.1:1")
	assert.NilError(t, err)
	p := &process{dir: dir, binary: binary, peers: peers, store: store}
	assert.NilError(t, p.start())
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() { p.kill(20 * time.Millisecond) })
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond) // the script has written its id
	p.end()
	data, err := os.ReadFile(pids)
	assert.NilError(t, err)
	for _, line := range strings.Fields(string(data)) {
		pid, err := strconv.Atoi(line)
		assert.NilError(t, err)
		if syscall.Kill(pid, 0) == nil {
			_ = syscall.Kill(pid, syscall.SIGKILL)
			t.Errorf("process %d is still there", pid)
		}
	}
}
