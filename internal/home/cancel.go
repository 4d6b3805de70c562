package home

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cancelTimeout bounds the delivery of one cancel request.
const cancelTimeout = time.Second

// phase says what a cancel request means for a stream.
type phase uint8

const (
	phaseQueued   phase = iota // waits for a connection: the request is refused
	phaseStarting              // is about to be sent: it is cancelled once it was
	phaseRunning               // runs on the backend server: it is cancelled there
	phaseIdle                  // nothing runs: a cancel request has no effect
)

// activity is what a stream does now. It has a lock of its own, because a send
// to a slow entry host must not delay a cancel request.
type activity struct {
	sync.Mutex
	phase phase
	// cancel is set by a cancel request that came while starting.
	cancel bool
}

// enter changes the phase.
func (r *run) enter(p phase) {
	a := &r.activity
	a.Lock()
	defer a.Unlock()
	a.phase = p
	switch {
	case p == phaseRunning && a.cancel:
		r.cancelRunning()
	case p == phaseStarting:
		return
	}
	a.cancel = false
}

// requested notes that the entry host sent a request. A cancel request behind it
// is meant for it, also if the stream's goroutine has not seen it yet.
func (r *run) requested() {
	r.activity.Lock()
	defer r.activity.Unlock()
	if r.activity.phase == phaseIdle {
		r.activity.phase = phaseStarting
	}
}

// cancelRequest acts on a cancel request of the entry host.
func (r *run) cancelRequest() {
	a := &r.activity
	a.Lock()
	defer a.Unlock()
	switch a.phase {
	case phaseQueued:
		r.cancelOnce.Do(func() { close(r.cancelled) })
	case phaseStarting:
		a.cancel = true
	case phaseRunning:
		r.cancelRunning()
	}
}

// cancelRunning cancels the batch that runs on the backend server. The
// connection serves no other stream afterwards, because the cancel request may
// take effect after the batch has ended.
func (r *run) cancelRunning() {
	c := r.conn
	c.markRetired()
	r.p.mu.Lock()
	r.p.spawn(func() { r.p.sendCancel(c) })
	r.p.mu.Unlock()
}

// sendCancel delivers a cancel request for what runs on the connection.
func (p *pool) sendCancel(c *conn) {
	ctx, cancel := context.WithTimeout(p.ctx, cancelTimeout)
	defer cancel()
	select {
	case p.cancels <- struct{}{}:
		defer func() { <-p.cancels }()
	case <-ctx.Done():
		return
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.h.opt.Log.Warn().Str("server", p.name).Err(err).Msg("cancel request")
		return
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(cancelTimeout))
	if _, err := nc.Write(encode(nil, &pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret})); err != nil {
		return
	}
	// The backend server closes the connection once it has acted.
	var b [1]byte
	_, _ = nc.Read(b[:])
}
