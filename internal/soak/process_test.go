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

// Guards against host processes that outlive their run. When two overlapping events
// ended the same process, both restarted it, and only the second new process was
// tracked and killed at the end. Seen with seeds 1103, 1104, 1109 and 1111.
func TestOverlappingEventsLeaveNoProcess(t *testing.T) {
	dir := t.TempDir()
	pids, binary := filepath.Join(dir, "pids"), filepath.Join(dir, "host")
	script := "#!/bin/sh\necho $$ >> " + pids + "\nexec sleep 60\n"
	assert.NilError(t, os.WriteFile(binary, []byte(script), 0o700))
	peers, err := faultnet.Listen("", "127.0.0.1:1")
	assert.NilError(t, err)
	store, err := faultnet.Listen("", "127.0.0.1:1")
	assert.NilError(t, err)
	p := &process{dir: dir, binary: binary, peerRelay: peers, storeRelay: store}
	assert.NilError(t, p.start())
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() { p.killAndRestart(20 * time.Millisecond) })
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond) // for the script to write its process id
	p.terminate()
	data, err := os.ReadFile(pids)
	assert.NilError(t, err)
	for _, line := range strings.Fields(string(data)) {
		pid, err := strconv.Atoi(line)
		assert.NilError(t, err)
		if syscall.Kill(pid, 0) == nil {
			_ = syscall.Kill(pid, syscall.SIGKILL)
			t.Errorf("process %d still runs after the end of the run", pid)
		}
	}
}
