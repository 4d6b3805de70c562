package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
	"github.com/cranberryhinge/cranberryhinge/internal/host"
)

// process is one host and the relays in front of it and of its store.
type process struct {
	settings host.Settings
	dir      string
	binary   string
	peers    *faultnet.Relay
	store    *faultnet.Relay

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	wanted  bool
	stopped time.Time // when it was last asked to stop
	log     *os.File
}

// start runs the program. It is started again whenever it ends while it is wanted.
// It does nothing if the program runs already: of two events that ended it, the
// other one may have started it again.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted {
		return nil
	}
	p.wanted = true
	return p.spawn()
}

// spawn starts the process. The caller holds the lock.
func (p *process) spawn() error {
	path := filepath.Join(p.dir, p.settings.Name+".yaml")
	data, err := yaml.Marshal(p.settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if p.log == nil {
		if p.log, err = os.Create(filepath.Join(p.dir, p.settings.Name+".log")); err != nil {
			return errors.Wrap(err, "create log")
		}
	}
	cmd := exec.Command(p.binary, "serve", "--protocol", "line", "--settings", path)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start host")
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // a killed process ends with an error
		close(exited)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.wanted && p.cmd == cmd {
			_ = p.spawn()
		}
	}()
	return nil
}

// signal sends a signal to the process that this run started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// pause stops the process for the time without ending it.
func (p *process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// kill ends the process and starts it again after the time.
func (p *process) kill(down time.Duration) {
	p.mu.Lock()
	p.wanted = false
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-exited
	time.Sleep(down)
	_ = p.start()
}

// stopGrace is the time from SIGTERM to SIGKILL.
const stopGrace = 6 * time.Second

// stop stops the process as planned and starts it again. It reports whether the
// process ended by itself in time.
func (p *process) stop() bool {
	p.mu.Lock()
	p.wanted = false
	p.stopped = time.Now()
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

// end ends the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.wanted = false
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
	p.peers.Close()
	p.store.Close()
	if p.log != nil {
		_ = p.log.Close()
	}
}

// stoppedAt returns when the process was last asked to stop.
func (p *process) stoppedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}
