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

// phase determines how a cancel request for a stream is handled.
type phase uint8

const (
	phaseQueued   phase = iota // the request waits for a connection: reject the request
	phaseStarting              // the request has not been sent yet: cancel it once it has been sent
	phaseRunning               // the request runs on the backend server: cancel it there
	phaseIdle                  // no request runs: ignore the cancel request
)

// cancelState is the state of a stream with respect to cancel requests. It has
// its own lock, because a send to a slow entry host must not delay a cancel
// request.
type cancelState struct {
	sync.Mutex
	phase phase
	// pending is set by a cancel request that arrived in phaseStarting.
	pending bool
}

// setPhase changes the phase and sends a pending cancel request when the batch
// starts to run.
func (r *runStream) setPhase(p phase) {
	a := &r.cancelState
	a.Lock()
	defer a.Unlock()
	a.phase = p
	switch {
	case p == phaseRunning && a.pending:
		r.cancelRunning()
	case p == phaseStarting:
		return
	}
	a.pending = false
}

// recordRequest records that the entry host sent a request. A cancel request
// that arrives afterwards applies to this request, even if the stream's
// goroutine has not processed the request yet.
func (r *runStream) recordRequest() {
	r.cancelState.Lock()
	defer r.cancelState.Unlock()
	if r.cancelState.phase == phaseIdle {
		r.cancelState.phase = phaseStarting
	}
}

// handleCancelRequest handles a cancel request from the entry host.
func (r *runStream) handleCancelRequest() {
	a := &r.cancelState
	a.Lock()
	defer a.Unlock()
	switch a.phase {
	case phaseQueued:
		r.cancelOnce.Do(func() { close(r.cancelled) })
	case phaseStarting:
		a.pending = true
	case phaseRunning:
		r.cancelRunning()
	}
}

// cancelRunning cancels the batch that runs on the backend server. It retires
// the connection, because the cancel request may take effect only after the
// batch has ended and would then cancel a statement of another stream.
func (r *runStream) cancelRunning() {
	c := r.conn
	c.markRetired()
	r.pool.mu.Lock()
	r.pool.spawn(func() { r.pool.sendCancel(c) })
	r.pool.mu.Unlock()
}

// sendCancel sends a cancel request for the statement that runs on the
// connection.
func (p *pool) sendCancel(c *conn) {
	ctx, cancel := context.WithTimeout(p.ctx, cancelTimeout)
	defer cancel()
	select {
	case p.cancelLimiter <- struct{}{}:
		defer func() { <-p.cancelLimiter }()
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
	// The backend server closes the connection once it has processed the
	// request.
	var b [1]byte
	_, _ = nc.Read(b[:])
}
