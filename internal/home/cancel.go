package home

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cancelTimeout bounds the delivery of one cancel request.
const cancelTimeout = time.Second

// cancelRunning cancels the batch of the stream if it runs on the backend
// server now. The connection serves no other stream afterwards, because the
// cancel request may take effect after the batch has ended.
func (r *run) cancelRunning() {
	r.activity.Lock()
	defer r.activity.Unlock()
	if !r.activity.running {
		return
	}
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
