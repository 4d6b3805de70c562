package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
	"github.com/cranberryhinge/cranberryhinge/internal/host"
)

// process runs one host, with a relay in front of its peer listener and another one in
// front of its store.
type process struct {
	settings   host.Settings
	dir        string
	binary     string
	peerRelay  *faultnet.Relay
	storeRelay *faultnet.Relay

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	shouldRun bool
	logFile   *os.File

	// lastStop is the start of the last planned stop, nil if there was none. It is not guarded
	// by mu, which a restart holds while it writes files: callers must not wait for that.
	lastStop atomic.Pointer[time.Time]
}

// start starts the host. Until shouldRun is cleared, the host is restarted whenever it
// exits. start does nothing if the host runs already: when two overlapping events end
// it, both call start.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shouldRun {
		return nil
	}
	p.shouldRun = true
	return p.spawn()
}

// spawn writes the settings and starts the process. The caller must hold p.mu.
func (p *process) spawn() error {
	path := filepath.Join(p.dir, p.settings.Name+".yaml")
	data, err := yaml.Marshal(p.settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if p.logFile == nil {
		if p.logFile, err = os.Create(filepath.Join(p.dir, p.settings.Name+".log")); err != nil {
			return errors.Wrap(err, "create log file")
		}
	}
	cmd := exec.Command(p.binary, "serve", "--protocol", "line", "--settings", path)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start host")
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // returns an error for a killed process
		close(exited)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.shouldRun && p.cmd == cmd {
			_ = p.spawn()
		}
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// pause suspends the process with SIGSTOP and resumes it after d.
func (p *process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// killAndRestart kills the process with SIGKILL and restarts it after downtime.
func (p *process) killAndRestart(downtime time.Duration) {
	p.mu.Lock()
	p.shouldRun = false
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-exited
	time.Sleep(downtime)
	_ = p.start()
}

// stopGrace is the time that a host has to exit after SIGTERM before it gets SIGKILL.
const stopGrace = 6 * time.Second

// stopAndRestart performs a planned stop with SIGTERM and restarts the process. It
// reports whether the process exited within stopGrace, without SIGKILL.
func (p *process) stopAndRestart() bool {
	p.mu.Lock()
	p.shouldRun = false
	now := time.Now()
	p.lastStop.Store(&now)
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	inTime := true
	select {
	case <-exited:
	case <-time.After(stopGrace):
		inTime = false
		p.signal(syscall.SIGKILL)
		<-exited
	}
	_ = p.start()
	return inTime
}

// terminate kills the process without a restart and closes its relays and log file.
func (p *process) terminate() {
	p.mu.Lock()
	p.shouldRun = false
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
	p.peerRelay.Close()
	p.storeRelay.Close()
	if p.logFile != nil {
		_ = p.logFile.Close()
	}
}

// lastStopTime returns the start of the last planned stop; zero if there was none.
func (p *process) lastStopTime() time.Time {
	if t := p.lastStop.Load(); t != nil {
		return *t
	}
	return time.Time{}
}
