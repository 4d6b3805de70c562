// Package faultnet provides a TCP relay that injects network faults in tests. The
// relay forwards connections between a client and a target process. It can reset
// connections, delay their bytes, or make them silent: bytes are dropped while the
// connection stays open.
package faultnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	maxChunkBytes   = 32 << 10
	maxQueuedChunks = 256
	dialTimeout     = 5 * time.Second
)

// Mode determines how a relay treats its connections.
type Mode int

// Modes of a relay.
const (
	// Pass forwards bytes in both directions.
	Pass Mode = iota
	// Cut resets open connections, and new ones as soon as they are accepted.
	Cut
	// Silent drops bytes in both directions. Open connections stay open. New ones
	// are accepted but not connected to the target, and stay silent in every mode.
	Silent
	// SilentToTarget drops the bytes from the client to the target. New connections
	// are treated as in mode Silent.
	SilentToTarget
	// SilentToClient drops the bytes from the target to the client.
	SilentToClient
)

// Relay forwards TCP connections to a target.
type Relay struct {
	listener   net.Listener
	target     string
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	conns map[*relayedConn]struct{}
}

// relayedConn is one relayed connection. Once bytes were dropped in a direction,
// that direction stays silent, because the receiver would see a byte stream with a
// gap.
type relayedConn struct {
	client, target net.Conn
	silentToTarget bool
	silentToClient bool
	closeOnce      sync.Once
	closed         chan struct{}
}

// Listen starts a relay from address to target. An empty address selects a free
// loopback port.
func Listen(address, target string) (*Relay, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "start the relay listener")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{listener: listener, target: target, ctx: ctx, cancel: cancel, conns: make(map[*relayedConn]struct{})}
	r.goroutines.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the listen address of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetMode changes the mode. In mode Pass, connections that have lost bytes stay
// silent; all others work.
func (r *Relay) SetMode(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	if mode == Cut {
		r.resetAll()
	}
}

// targetKeepAliveTimeout is the time after which SilenceOpenConnections closes the
// target side of a connection, as a server with TCP keep-alive would. Otherwise the
// connection would count against the connection limit of the server forever.
const targetKeepAliveTimeout = 4 * time.Second

// SilenceOpenConnections makes the open connections permanently silent in both
// directions. New connections work. The target sides close after
// targetKeepAliveTimeout; the client sides stay open and receive neither FIN nor
// RST.
func (r *Relay) SilenceOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.silentToTarget, p.silentToClient = true, true
		// Connections that were accepted in mode Silent have no target.
		if p.target != nil {
			time.AfterFunc(targetKeepAliveTimeout, func() { _ = p.target.Close() })
		}
	}
}

// SetDelay sets the one-way delay of all bytes that arrive from now on.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// OpenConnections returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close stops the listener, resets all connections and waits for the goroutines of
// the relay.
func (r *Relay) Close() {
	r.cancel()
	r.listener.Close()
	r.mu.Lock()
	r.resetAll()
	r.mu.Unlock()
	r.goroutines.Wait()
}

func (r *Relay) resetAll() {
	for p := range r.conns {
		p.reset()
	}
}

// reset closes both sides with a TCP RST.
func (p *relayedConn) reset() {
	for _, conn := range []net.Conn{p.client, p.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}

func (p *relayedConn) close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.client.Close()
		if p.target != nil {
			p.target.Close()
		}
	})
}

func (r *Relay) accept() {
	defer r.goroutines.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Add(1)
		go func() {
			defer r.goroutines.Done()
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
	p := &relayedConn{client: client, closed: make(chan struct{})}
	defer p.close()
	switch r.currentMode() {
	case Cut:
		p.reset()
		return
	case Silent, SilentToTarget:
		p.silentToTarget, p.silentToClient = true, true
	default:
		dialer := net.Dialer{Timeout: dialTimeout}
		target, err := dialer.DialContext(r.ctx, "tcp", r.target)
		if err != nil {
			p.reset()
			return
		}
		p.target = target
	}
	if !r.add(p) {
		return
	}
	defer r.remove(p)
	if p.target == nil {
		r.discardInput(p)
		return
	}
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		r.copyDirection(p, p.client, p.target, &p.silentToTarget, SilentToTarget)
	}()
	go func() {
		defer directions.Done()
		r.copyDirection(p, p.target, p.client, &p.silentToClient, SilentToClient)
	}()
	directions.Wait()
}

// add registers a connection. If the relay was closed or set to Cut in the meantime,
// it resets the connection and returns false.
func (r *Relay) add(p *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil || r.mode == Cut {
		p.reset()
		return false
	}
	r.conns[p] = struct{}{}
	return true
}

func (r *Relay) remove(p *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
}

// discardInput reads from a client without a target connection until it closes.
func (r *Relay) discardInput(p *relayedConn) {
	buf := make([]byte, maxChunkBytes)
	for {
		if _, err := p.client.Read(buf); err != nil {
			return
		}
	}
}

// chunk is the result of one read, to be written at deliverAt.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// copyDirection forwards the bytes of one direction and then closes both sides. If
// the direction is silent, it leaves them open, so that the receiver does not see
// the end of the stream.
func (r *Relay) copyDirection(p *relayedConn, from, to net.Conn, silent *bool, oneWayMode Mode) {
	queue := make(chan chunk, maxQueuedChunks)
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		defer close(queue)
		r.readChunks(p, from, queue)
	}()
	for c := range queue {
		if !p.wait(time.Until(c.deliverAt)) {
			break
		}
		if r.updateSilent(silent, oneWayMode) {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	if !r.updateSilent(silent, oneWayMode) {
		p.close()
	}
	for range queue {
	}
}

// readChunks reads from a side into the queue until it ends or p is closed.
func (r *Relay) readChunks(p *relayedConn, from net.Conn, queue chan<- chunk) {
	for {
		buf := make([]byte, maxChunkBytes)
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		deliverAt := time.Now().Add(r.delay)
		r.mu.Unlock()
		select {
		case queue <- chunk{buf[:n], deliverAt}:
		case <-p.closed:
			return
		}
	}
}

// updateSilent reports whether a direction is silent. If the current mode drops its
// bytes, it first marks the direction as permanently silent.
func (r *Relay) updateSilent(silent *bool, oneWayMode Mode) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Silent || r.mode == oneWayMode {
		*silent = true
	}
	return *silent
}

// wait waits for d and returns false if p is closed before.
func (p *relayedConn) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.closed:
		return false
	}
}
