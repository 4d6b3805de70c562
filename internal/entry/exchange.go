package entry

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/session"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// exchange is one open Run stream of a client.
type exchange struct {
	client *client
	stream peer.RunStream
	ctx    context.Context
	cancel context.CancelFunc
	// admitted and end are used by the client's goroutine only; end is the
	// deadline of the first batch.
	admitted bool
	end      time.Time

	// sendMu serialises Send, which gRPC does not.
	sendMu sync.Mutex
	// ended is set, under sendMu, after CloseSend.
	ended bool

	// Below: under client.mu.
	inBatch bool
	guard   *time.Timer
	// overdue is why the exchange is given up.
	overdue *verdict.Error
}

// deadline returns the bound for one statement on the route.
func deadline(r config.Route) time.Duration {
	return cmp.Or(r.Deadline, config.DefaultDeadline).Std()
}

// open admits the request and opens a stream for it. An error means that no byte
// of the request was sent.
func (c *client) open() (*exchange, *verdict.Error) {
	e := c.entry
	if err := e.opts.Keys.Check(c.routeName, c.customer, c.key); err != nil {
		return nil, verdict.From(err)
	}
	route, doc, ok := e.route(c.routeName)
	if !ok || route.Group != c.route.Group || route.Mode != c.route.Mode {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownRoute, "route %q has changed", c.routeName)
	}
	c.route = route
	ctx, cancel := context.WithCancel(e.base)
	x := &exchange{client: c, ctx: ctx, cancel: cancel, inBatch: true}
	x.end = time.Now().Add(deadline(route))
	openCtx, done := context.WithDeadline(ctx, x.end)
	defer done()
	guard := time.AfterFunc(deadline(route)+overdueGrace, func() {
		c.abortOpening(x, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "no home host accepted the request before its deadline"))
	})
	defer guard.Stop()
	c.mu.Lock()
	c.opening = x
	start := &peerpb.Start{
		RequestId:     e.requestID.Add(1),
		Customer:      c.customer,
		Route:         route.Name,
		Group:         route.Group,
		Intent:        peerpb.Intent_INTENT_WRITE,
		ConfigVersion: uint64(doc.Version),
	}
	if c.machine.Read() {
		start.Intent, start.ReadOnly = peerpb.Intent_INTENT_READ, true
		start.StalenessUs = route.Staleness.Std().Microseconds()
	}
	start.Prepared = c.machine.Prepared()
	x.admitted = c.machine.Runs()
	c.mu.Unlock()
	stream, err := x.dial(openCtx, start)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opening = nil
	if x.overdue != nil && err == nil {
		err = x.overdue
	}
	if err != nil {
		cancel()
		return nil, x.openError(err)
	}
	x.stream, c.exchange = stream, x
	e.wg.Go(x.receive)
	return x, nil
}

// dial admits the request and opens the stream.
func (x *exchange) dial(ctx context.Context, start *peerpb.Start) (peer.RunStream, error) {
	c := x.client
	if x.admitted {
		if err := c.entry.opts.Limiter.Admit(ctx, c.customer); err != nil {
			return nil, err
		}
	}
	if start.Intent == peerpb.Intent_INTENT_READ {
		floor, err := c.floor(ctx)
		if err != nil {
			return nil, err
		}
		start.Floor = floor.Proto()
	}
	if start.TimeoutUs = time.Until(x.end).Microseconds(); start.TimeoutUs <= 0 {
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the request waited until its deadline")
	}
	// The stream lives longer than the call that opens it.
	return c.entry.opts.Opener.Open(x.ctx, start)
}

// openError returns the refusal for a request that was not sent.
func (x *exchange) openError(err error) *verdict.Error {
	if x.overdue != nil {
		return x.overdue
	}
	if refused, ok := asRefusal(err); ok {
		return refused
	}
	return verdict.New(verdict.NotRun, verdict.HomeUnreachable, "no home host accepted the request")
}

// beginBatch starts the deadline of a batch.
func (x *exchange) beginBatch(deadline time.Duration) {
	x.client.mu.Lock()
	defer x.client.mu.Unlock()
	x.inBatch = true
	x.guard = time.AfterFunc(deadline, func() {
		x.cancelAndAbandon(verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "the statement's deadline has passed"))
	})
}

// forward sends frontend bytes. A failed stream is reported by receive.
func (x *exchange) forward(chunk []byte) {
	for len(chunk) > 0 {
		n := min(len(chunk), maxChunkBytes)
		x.send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Frontend{Frontend: chunk[:n:n]}})
		chunk = chunk[n:]
	}
}

// cancelRequest asks the home host to cancel the running statement. It does not
// wait, because a stalled stream must not hold up the caller.
func (x *exchange) cancelRequest() {
	x.client.entry.wg.Go(func() {
		x.send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Cancel{Cancel: true}})
	})
}

func (x *exchange) send(m *peerpb.RunRequest) {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	if !x.ended {
		_ = x.stream.Send(m)
	}
}

// cancelAndAbandon cancels the running statement and, when its answer stays out,
// gives the exchange up for the reason.
func (x *exchange) cancelAndAbandon(reason *verdict.Error) {
	c := x.client
	c.mu.Lock()
	if c.exchange != x || !x.inBatch {
		c.mu.Unlock()
		return
	}
	if x.guard != nil {
		x.guard.Stop()
	}
	x.guard = time.AfterFunc(overdueGrace, func() { x.giveUp(reason) })
	c.mu.Unlock()
	x.cancelRequest()
}

// abortOpening gives up a request of which nothing was sent.
func (c *client) abortOpening(x *exchange, reason *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opening == x && x.overdue == nil {
		x.overdue = verdict.New(verdict.NotRun, reason.Reason, "%s", reason.Message)
		x.cancel()
	}
}

// giveUp ends the exchange; its late answer reaches nobody.
func (x *exchange) giveUp(reason *verdict.Error) {
	c := x.client
	c.mu.Lock()
	if c.exchange != x || !x.inBatch {
		c.mu.Unlock()
		return
	}
	x.overdue = verdict.New(verdict.MayHaveRun, reason.Reason, "%s", reason.Message)
	c.mu.Unlock()
	x.cancel()
}

// abandon ends the stream before the home host does, which rolls an open
// transaction back.
func (x *exchange) abandon() { x.cancel() }

// receive passes answers on until the stream ends.
func (x *exchange) receive() {
	defer x.cancel()
	for {
		m, err := x.stream.Recv()
		if err != nil {
			x.fail(verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "the connection to the home host was lost"))
			return
		}
		switch k := m.Kind.(type) {
		case *peerpb.RunResponse_Backend:
			if x.backend(k.Backend) != nil {
				return
			}
		case *peerpb.RunResponse_Ready:
			if x.ready(k.Ready) {
				x.drain()
				return
			}
		case *peerpb.RunResponse_Failure:
			x.fail(peer.Refusal(k.Failure))
			return
		}
	}
}

func (x *exchange) backend(chunk []byte) error {
	c := x.client
	c.mu.Lock()
	if c.exchange != x {
		c.mu.Unlock()
		return errEnded
	}
	out := c.machine.Backend(chunk)
	c.mu.Unlock()
	err := c.write(out)
	if err != nil {
		c.abort()
		return err
	}
	c.mu.Lock()
	if c.machine.CopyIn() {
		c.changed.Broadcast()
	}
	c.mu.Unlock()
	return nil
}

// ready ends a batch and reports whether the stream ends with it.
func (x *exchange) ready(r *peerpb.Ready) bool {
	c := x.client
	c.mu.Lock()
	if c.exchange != x {
		c.mu.Unlock()
		return true
	}
	if x.guard != nil {
		x.guard.Stop()
	}
	x.inBatch = false
	status := byte(r.Status)
	out := c.machine.Ready(status, session.TokenFrom(r.Token))
	ended := status == session.StatusIdle
	if ended {
		c.exchange = nil
	}
	return !c.answerLocked(out) || ended
}

// answerLocked ends the open batch and sends its last bytes. It takes the write
// lock before it releases mu, so that an answer to the client's next message
// cannot overtake them. It reports whether the client took them.
func (c *client) answerLocked(out []byte) bool {
	c.awaiting = false
	c.writeMu.Lock()
	c.changed.Broadcast()
	c.mu.Unlock()
	err := c.writeLocked(out)
	c.writeMu.Unlock()
	if err != nil {
		c.abort()
	}
	return err == nil
}

// drain lets the home host end a finished stream.
func (x *exchange) drain() {
	x.sendMu.Lock()
	x.ended = true
	_ = x.stream.CloseSend()
	x.sendMu.Unlock()
	timer := time.AfterFunc(streamEndWait, x.cancel)
	defer timer.Stop()
	for {
		if _, err := x.stream.Recv(); err != nil {
			return
		}
	}
}

// fail reports a failed exchange to the client. Within a transaction, or in the
// middle of a message, the session ends with it.
func (x *exchange) fail(reason *verdict.Error) {
	c := x.client
	c.mu.Lock()
	if c.exchange != x {
		c.mu.Unlock()
		return
	}
	if x.guard != nil {
		x.guard.Stop()
	}
	if x.overdue != nil {
		reason = x.overdue
	}
	c.exchange = nil
	if c.dead || c.machine.MidMessage() {
		c.mu.Unlock()
		c.abort()
		return
	}
	if c.machine.Status() != session.StatusIdle {
		c.lost = reason
		c.changed.Broadcast()
		c.mu.Unlock()
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	c.entry.refused(reason)
	c.answerLocked(c.machine.Refuse(reason, c.awaiting))
}

// abort ends the session from outside its goroutine.
func (c *client) abort() {
	c.mu.Lock()
	c.dead = true
	c.changed.Broadcast()
	c.mu.Unlock()
	_ = c.conn.Close()
}
