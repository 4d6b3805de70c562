// Package faultnet is a TCP relay for tests. Placed between two processes, it
// cuts, silences and delays their connections.
package faultnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	chunkBytes  = 32 << 10
	queueChunks = 256
	dialTimeout = 5 * time.Second
)

// Mode is what a relay does with its connections.
type Mode int

// Modes of a relay.
const (
	// Pass relays.
	Pass Mode = iota
	// Cut resets open connections and refuses new ones.
	Cut
	// Silent drops bytes in both directions. Connections stay open, and new ones
	// are accepted and stay silent.
	Silent
	// SilentToTarget drops bytes from the client only.
	SilentToTarget
	// SilentToClient drops bytes from the target only.
	SilentToClient
)

// Relay forwards TCP connections to a target.
type Relay struct {
	listener net.Listener
	target   string
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	pairs map[*pair]struct{}
}

// pair is one relayed connection. Once it lost bytes in a direction, that
// direction stays silent, because the rest would be out of step.
type pair struct {
	client, server net.Conn
	lostToTarget   bool
	lostToClient   bool
	once           sync.Once
	done           chan struct{}
}

// Listen starts a relay on address; an empty address takes a free loopback port.
func Listen(address, target string) (*Relay, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{listener: listener, target: target, ctx: ctx, cancel: cancel, pairs: make(map[*pair]struct{})}
	r.running.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the address to connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the mode. Pass restores new connections; open ones that lost
// bytes stay silent.
func (r *Relay) Set(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	if mode == Cut {
		r.resetAll()
	}
}

// targetKeepAlive is the time after which the target of a silenced connection
// drops it, as a server with TCP keep-alive does. Without that a server would
// count silent connections against its limit for ever.
const targetKeepAlive = 4 * time.Second

// SilenceOpen makes the open connections silent for good, in both directions.
// New connections work. The targets drop the silent ones after targetKeepAlive;
// the clients are not told.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.lostToTarget, p.lostToClient = true, true
		time.AfterFunc(targetKeepAlive, func() { _ = p.server.Close() })
	}
}

// SetDelay sets the one-way delay of every chunk that arrives from now on.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Open returns the number of open connections.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

// Close resets all connections and returns when the goroutines have ended.
func (r *Relay) Close() {
	r.cancel()
	r.listener.Close()
	r.mu.Lock()
	r.resetAll()
	r.mu.Unlock()
	r.running.Wait()
}

func (r *Relay) resetAll() {
	for p := range r.pairs {
		p.reset()
	}
}

// reset closes both sides with RST.
func (p *pair) reset() {
	for _, conn := range []net.Conn{p.client, p.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}

func (p *pair) close() {
	p.once.Do(func() {
		close(p.done)
		p.client.Close()
		if p.server != nil {
			p.server.Close()
		}
	})
}

func (r *Relay) accept() {
	defer r.running.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Add(1)
		go func() {
			defer r.running.Done()
			r.serve(client)
		}()
	}
}

func (r *Relay) currentMode() Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (r *Relay) serve(client net.Conn) {
	p := &pair{client: client, done: make(chan struct{})}
	defer p.close()
	switch r.currentMode() {
	case Cut:
		p.reset()
		return
	case Silent, SilentToTarget:
		p.lostToTarget, p.lostToClient = true, true
	default:
		dialer := net.Dialer{Timeout: dialTimeout}
		server, err := dialer.DialContext(r.ctx, "tcp", r.target)
		if err != nil {
			p.reset()
			return
		}
		p.server = server
	}
	if !r.add(p) {
		return
	}
	defer r.remove(p)
	if p.server == nil {
		r.discard(p)
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		r.relay(p, p.client, p.server, &p.lostToTarget, SilentToTarget)
	}()
	go func() {
		defer both.Done()
		r.relay(p, p.server, p.client, &p.lostToClient, SilentToClient)
	}()
	both.Wait()
}

// add registers a pair unless the relay was cut or closed meanwhile.
func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil || r.mode == Cut {
		p.reset()
		return false
	}
	r.pairs[p] = struct{}{}
	return true
}

func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// discard reads a connection that was silent from its start.
func (r *Relay) discard(p *pair) {
	buf := make([]byte, chunkBytes)
	for {
		if _, err := p.client.Read(buf); err != nil {
			return
		}
	}
}

type chunk struct {
	data []byte
	due  time.Time
}

// relay copies one direction. The end of a side is passed on like its bytes,
// and is hidden from the other side while the direction is silent.
func (r *Relay) relay(p *pair, from, to net.Conn, lost *bool, oneWay Mode) {
	queue := make(chan chunk, queueChunks)
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		defer close(queue)
		r.read(p, from, queue)
	}()
	for c := range queue {
		if !p.sleep(time.Until(c.due)) {
			break
		}
		if r.drops(lost, oneWay) {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	// The end of a silent side stays hidden from the other side.
	if !r.drops(lost, oneWay) {
		p.close()
	}
	for range queue {
	}
}

func (r *Relay) read(p *pair, from net.Conn, queue chan<- chunk) {
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		due := time.Now().Add(r.delay)
		r.mu.Unlock()
		select {
		case queue <- chunk{buf[:n], due}:
		case <-p.done:
			return
		}
	}
}

// drops reports whether the direction is silent and records that it lost bytes.
func (r *Relay) drops(lost *bool, oneWay Mode) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Silent || r.mode == oneWay {
		*lost = true
	}
	return *lost
}

func (p *pair) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.done:
		return false
	}
}
