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

// exchange is the Run stream between a session and a home host. It lasts until no
// transaction is open.
type exchange struct {
	client *client
	stream peer.RunStream
	ctx    context.Context
	cancel context.CancelFunc
	// limiterCalled and deadline are used by the client's goroutine only.
	// limiterCalled is set when the rate limiter is called for the exchange, which
	// happens at most once. deadline is the deadline of the first batch.
	limiterCalled bool
	deadline      time.Time

	// sendMu serialises calls of Send, which gRPC does not allow concurrently.
	sendMu sync.Mutex
	// sendClosed is set under sendMu when CloseSend is called.
	sendClosed bool

	// The fields below are guarded by client.mu.
	inBatch       bool
	deadlineTimer *time.Timer
	// abortReason is the error with which the exchange was aborted, or nil.
	abortReason *verdict.Error
}

// statementTimeout returns the time limit for one statement on the route.
func statementTimeout(r config.Route) time.Duration {
	return cmp.Or(r.Deadline, config.DefaultDeadline).Std()
}

// openExchange checks the key of the session, passes a request that executes a
// statement through the rate limiter, and opens an exchange for the request. An error
// means that no byte of the request was sent.
func (c *client) openExchange() (*exchange, *verdict.Error) {
	e := c.entry
	if err := e.opts.Keys.CheckSession(c.routeName, c.customer, c.keyID); err != nil {
		return nil, verdict.From(err)
	}
	route, doc, ok := e.route(c.routeName)
	if !ok || route.Group != c.route.Group || route.Mode != c.route.Mode {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownRoute, "route %q has changed", c.routeName)
	}
	c.route = route
	ctx, cancel := context.WithCancel(e.sessionCtx)
	x := &exchange{client: c, ctx: ctx, cancel: cancel, inBatch: true}
	x.deadline = time.Now().Add(statementTimeout(route))
	openCtx, cancelOpen := context.WithDeadline(ctx, x.deadline)
	defer cancelOpen()
	openTimer := time.AfterFunc(statementTimeout(route)+cancelGracePeriod, func() {
		c.abortOpening(x, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "no home host accepted the request before its deadline"))
	})
	defer openTimer.Stop()
	c.mu.Lock()
	c.openingExchange = x
	start := &peerpb.Start{
		RequestId:     e.requestID.Add(1),
		Customer:      c.customer,
		Route:         route.Name,
		Group:         route.Group,
		Intent:        peerpb.Intent_INTENT_WRITE,
		ConfigVersion: uint64(doc.Version),
	}
	if c.machine.MayRunOnReplica() {
		start.Intent, start.ReadOnly = peerpb.Intent_INTENT_READ, true
		start.StalenessUs = route.Staleness.Std().Microseconds()
	}
	start.Prepared = c.machine.TakeStatementsToPrepare()
	x.limiterCalled = c.machine.ExecutesStatement()
	c.mu.Unlock()
	stream, err := x.admitAndOpen(openCtx, start)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openingExchange = nil
	if x.abortReason != nil && err == nil {
		err = x.abortReason
	}
	if err != nil {
		cancel()
		return nil, x.openError(err)
	}
	x.stream, c.exchange = stream, x
	e.wg.Go(x.receive)
	return x, nil
}

// admitAndOpen passes the request through the rate limiter, sets the floor of a read,
// and opens the stream.
func (x *exchange) admitAndOpen(ctx context.Context, start *peerpb.Start) (peer.RunStream, error) {
	c := x.client
	if x.limiterCalled {
		if err := c.entry.opts.Limiter.Admit(ctx, c.customer); err != nil {
			return nil, err
		}
	}
	if start.Intent == peerpb.Intent_INTENT_READ {
		floor, err := c.resolveFloor(ctx)
		if err != nil {
			return nil, err
		}
		start.Floor = floor.Proto()
	}
	if start.TimeoutUs = time.Until(x.deadline).Microseconds(); start.TimeoutUs <= 0 {
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the request was not sent before its deadline")
	}
	// x.ctx instead of ctx: the stream must outlive the call that opens it.
	return c.entry.opts.Opener.Open(x.ctx, start)
}

// openError returns the refusal of a request whose exchange could not be opened
// because of err.
func (x *exchange) openError(err error) *verdict.Error {
	if x.abortReason != nil {
		return x.abortReason
	}
	if refusal, ok := asVerdictError(err); ok {
		return refusal
	}
	return verdict.New(verdict.NotRun, verdict.HomeUnreachable, "no home host accepted the request")
}

// beginBatch marks the start of a batch and starts its deadline timer.
func (x *exchange) beginBatch(timeout time.Duration) {
	x.client.mu.Lock()
	defer x.client.mu.Unlock()
	x.inBatch = true
	x.deadlineTimer = time.AfterFunc(timeout, func() {
		x.cancelThenAbort(verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "the result of the statement did not arrive before its deadline"))
	})
}

// forward sends frontend bytes in chunks. It ignores errors, because receive reports
// a failed stream.
func (x *exchange) forward(chunk []byte) {
	for len(chunk) > 0 {
		n := min(len(chunk), maxChunkBytes)
		x.send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Frontend{Frontend: chunk[:n:n]}})
		chunk = chunk[n:]
	}
}

// cancelRequest sends the home host a request to cancel the running statement. It
// does not wait for the send, because a stalled stream must not block the caller.
func (x *exchange) cancelRequest() {
	x.client.entry.wg.Go(func() {
		x.send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Cancel{Cancel: true}})
	})
}

func (x *exchange) send(m *peerpb.RunRequest) {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	if !x.sendClosed {
		_ = x.stream.Send(m)
	}
}

// cancelThenAbort cancels the running statement. If the batch has not ended after
// cancelGracePeriod, it aborts the exchange with the reason.
func (x *exchange) cancelThenAbort(reason *verdict.Error) {
	c := x.client
	c.mu.Lock()
	if c.exchange != x || !x.inBatch {
		c.mu.Unlock()
		return
	}
	if x.deadlineTimer != nil {
		x.deadlineTimer.Stop()
	}
	x.deadlineTimer = time.AfterFunc(cancelGracePeriod, func() { x.abort(reason) })
	c.mu.Unlock()
	x.cancelRequest()
}

// abortOpening aborts an exchange whose stream is still being opened, with the reason
// and the verdict NotRun.
func (c *client) abortOpening(x *exchange, reason *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openingExchange == x && x.abortReason == nil {
		x.abortReason = verdict.New(verdict.NotRun, reason.Reason, "%s", reason.Message)
		x.cancel()
	}
}

// abort cancels the stream and records the reason with the verdict MayHaveRun. A late
// response is discarded.
func (x *exchange) abort(reason *verdict.Error) {
	c := x.client
	c.mu.Lock()
	if c.exchange != x || !x.inBatch {
		c.mu.Unlock()
		return
	}
	x.abortReason = verdict.New(verdict.MayHaveRun, reason.Reason, "%s", reason.Message)
	c.mu.Unlock()
	x.cancel()
}

// cancelStream ends the stream from this side. The home host then rolls back an open
// transaction.
func (x *exchange) cancelStream() { x.cancel() }

// receive forwards responses to the client until the stream ends.
func (x *exchange) receive() {
	defer x.cancel()
	for {
		m, err := x.stream.Recv()
		if err != nil {
			x.handleFailure(verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "the connection to the home host was lost"))
			return
		}
		switch k := m.Kind.(type) {
		case *peerpb.RunResponse_Backend:
			if x.handleBackendData(k.Backend) != nil {
				return
			}
		case *peerpb.RunResponse_Ready:
			if x.handleReady(k.Ready) {
				x.awaitStreamEnd()
				return
			}
		case *peerpb.RunResponse_Failure:
			x.handleFailure(peer.DecodeFailure(k.Failure))
			return
		}
	}
}

// handleBackendData forwards backend bytes to the client.
func (x *exchange) handleBackendData(chunk []byte) error {
	c := x.client
	c.mu.Lock()
	if c.exchange != x {
		c.mu.Unlock()
		return errSessionEnded
	}
	out := c.machine.ProcessBackendBytes(chunk)
	c.mu.Unlock()
	err := c.write(out)
	if err != nil {
		c.terminate()
		return err
	}
	c.mu.Lock()
	if c.machine.CopyIn() {
		c.stateChanged.Broadcast()
	}
	c.mu.Unlock()
	return nil
}

// handleReady ends a batch. It reports whether the exchange ends with it.
func (x *exchange) handleReady(r *peerpb.Ready) bool {
	c := x.client
	c.mu.Lock()
	if c.exchange != x {
		c.mu.Unlock()
		return true
	}
	if x.deadlineTimer != nil {
		x.deadlineTimer.Stop()
	}
	x.inBatch = false
	status := byte(r.Status)
	out := c.machine.EndBatch(status, session.TokenFromProto(r.Token))
	ended := status == session.StatusIdle
	if ended {
		c.exchange = nil
	}
	return !c.finishBatchAndUnlock(out) || ended
}

// finishBatchAndUnlock ends the open batch, releases mu, which the caller holds, and
// sends the last bytes of the response. It acquires writeMu before it releases mu, so
// that the response to the client's next message cannot overtake these bytes. It
// reports whether they were written.
func (c *client) finishBatchAndUnlock(out []byte) bool {
	c.awaitingReady = false
	c.writeMu.Lock()
	c.stateChanged.Broadcast()
	c.mu.Unlock()
	err := c.writeLocked(out)
	c.writeMu.Unlock()
	if err != nil {
		c.terminate()
	}
	return err == nil
}

// awaitStreamEnd closes the sending side of a finished stream and waits up to
// streamEndTimeout for the home host to end it.
func (x *exchange) awaitStreamEnd() {
	x.sendMu.Lock()
	x.sendClosed = true
	_ = x.stream.CloseSend()
	x.sendMu.Unlock()
	timer := time.AfterFunc(streamEndTimeout, x.cancel)
	defer timer.Stop()
	for {
		if _, err := x.stream.Recv(); err != nil {
			return
		}
	}
}

// handleFailure reports a failed exchange to the client. Within a transaction, or
// if only a part of a backend message has been sent to the client, the session ends
// as well.
func (x *exchange) handleFailure(reason *verdict.Error) {
	c := x.client
	c.mu.Lock()
	if c.exchange != x {
		c.mu.Unlock()
		return
	}
	if x.deadlineTimer != nil {
		x.deadlineTimer.Stop()
	}
	if x.abortReason != nil {
		reason = x.abortReason
	}
	c.exchange = nil
	if c.terminated || c.machine.MidMessage() {
		c.mu.Unlock()
		c.terminate()
		return
	}
	if c.machine.Status() != session.StatusIdle {
		c.lostReason = reason
		c.stateChanged.Broadcast()
		c.mu.Unlock()
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	c.entry.recordRefusal(reason)
	c.finishBatchAndUnlock(c.machine.Refuse(reason, c.awaitingReady))
}

// terminate ends the session without a message to the client. Goroutines other than
// the session's own may call it.
func (c *client) terminate() {
	c.mu.Lock()
	c.terminated = true
	c.stateChanged.Broadcast()
	c.mu.Unlock()
	_ = c.conn.Close()
}
