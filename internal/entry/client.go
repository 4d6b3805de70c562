package entry

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/session"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// client is one client connection and its session. Its own goroutine reads from
// the client. The goroutine of the open exchange and the background goroutines of
// the Entry access the session under mu.
type client struct {
	entry         *Entry
	conn          net.Conn
	encrypted     bool
	registered    bool
	protocolMinor uint32
	// header is the buffer for message headers. It is the only message buffer of an
	// idle session.
	header [headerBytes]byte
	// lease accounts for the memory that the session needs beyond small buffers. Only the
	// client's goroutine uses the fields below: reservedInput and reservedStatements are
	// what the message and the batch hold, reservedState what the prepared statements
	// hold, and addedState bounds what was added to them since.
	lease                             *budget.Lease
	reservedInput, reservedStatements int
	reservedState, addedState         int
	// countedStatements is the number of prepared statements after the last batch.
	countedStatements int
	processID         uint32
	secret            uint32
	// routeName never changes; the client's goroutine refreshes route from the
	// configuration in force.
	routeName string
	route     config.Route
	customer  string
	keyID     string

	mu           sync.Mutex
	stateChanged *sync.Cond
	machine      *session.Machine
	// exchange is the open exchange, nil between transactions.
	exchange *exchange
	// openingExchange is the exchange whose stream is being opened, or nil.
	openingExchange *exchange
	// awaitingReady is set from the client's last message of a batch until the
	// batch is answered with ReadyForQuery.
	awaitingReady bool
	// closeReason is the error with which the session has to end, or nil. If
	// closeImmediately is set, the session does not wait for the end of the
	// transaction.
	closeReason      *verdict.Error
	closeImmediately bool
	// lostReason is the error that ended the open transaction, or nil.
	lostReason *verdict.Error
	// handlingMessage is set while a message of the client is being read or handled.
	handlingMessage bool
	// terminated is set when the session is ending: only its final error may still
	// be sent to the client.
	terminated bool

	writeMu sync.Mutex
}

// headerBytes is the size of a message header: one byte for the type, four for the
// length.
const headerBytes = 5

// errSessionEnded ends a session without a message to the client.
var errSessionEnded = errors.New("session ended")

func asVerdictError(err error) (*verdict.Error, bool) {
	var e *verdict.Error
	ok := errors.As(err, &e)
	return e, ok
}

// serve reads and handles messages of the client until either side ends the
// session.
func (c *client) serve() {
	defer c.close()
	for {
		typ, body, err := c.readMessage()
		if err == nil {
			err = c.handleMessage(typ, body)
			releaseBody(body)
		}
		c.endMessage()
		if err != nil {
			c.sendFinalError(err)
			return
		}
	}
}

// endMessage gives back what a message held, and at the end of a batch what its statements
// held.
func (c *client) endMessage() {
	c.mu.Lock()
	c.handlingMessage = false
	batchEnded := !c.machine.InBatch() && !c.awaitingReady
	idle := batchEnded && c.machine.Status() == session.StatusIdle
	c.mu.Unlock()
	c.lease.Release(budget.Input, c.reservedInput)
	c.reservedInput = 0
	if batchEnded {
		c.lease.Release(budget.Statements, c.reservedStatements)
		c.reservedStatements = 0
		c.releaseClosedStatements()
	}
	c.lease.SetBusy(!idle)
}

// releaseClosedStatements gives back what prepared statements held that the batch has
// closed.
func (c *client) releaseClosedStatements() {
	if c.reservedState == 0 {
		return
	}
	c.mu.Lock()
	count := c.machine.StatementCount()
	fewer := count < c.countedStatements
	c.countedStatements = count
	left := c.reservedState
	if fewer {
		left = min(left, c.machine.StatementBytes())
	}
	c.mu.Unlock()
	c.lease.Release(budget.State, c.reservedState-left)
	c.reservedState = left
}

func (c *client) setHandlingMessage(on bool) {
	c.mu.Lock()
	c.handlingMessage = on
	c.mu.Unlock()
}

// sendFinalError sends the error that ends the session. An err without a verdict
// ends the session without a message.
func (c *client) sendFinalError(err error) {
	refusal, ok := asVerdictError(err)
	if !ok {
		return
	}
	c.mu.Lock()
	noMessage := c.terminated || c.machine.MidMessage()
	shutdown := refusal == c.closeReason
	c.terminated = true
	c.mu.Unlock()
	if noMessage {
		return
	}
	c.entry.recordRefusal(refusal)
	message := session.FatalResponse(refusal)
	if shutdown {
		message = session.ShutdownResponse(refusal)
	}
	if c.write(message) == nil {
		linger(c.conn)
	}
}

// lingerTimeout bounds the wait for the client to close the connection after the
// final message.
const lingerTimeout = time.Second

// linger discards input until the client closes the connection or lingerTimeout
// has passed. Closing a socket with unread data would reset the connection, and the
// client could lose the final message.
func linger(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, conn)
}

// close cancels the open exchange, closes the connection and removes the session
// from the registry. The home host rolls back an open transaction when its stream
// ends.
func (c *client) close() {
	c.mu.Lock()
	x := c.exchange
	c.exchange, c.terminated = nil, true
	c.mu.Unlock()
	if x != nil {
		x.cancelStream()
	}
	_ = c.conn.Close()
	c.lease.Close()
	c.entry.sessions.remove(c)
}

// readMessage returns the next message of the client. The caller passes the body to
// releaseBody after use.
func (c *client) readMessage() (typ byte, body []byte, err error) {
	header := c.header[:]
	if err := c.awaitMessage(header[:1]); err != nil {
		return 0, nil, err
	}
	c.setHandlingMessage(true)
	if !c.lease.SetBusy(true) {
		return 0, nil, errSessionEnded
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(c.entry.opts.ClientTimeout))
	if _, err := io.ReadFull(c.conn, header[1:]); err != nil {
		return 0, nil, c.incompleteMessageError(err)
	}
	size := int(int32(binary.BigEndian.Uint32(header[1:]))) - 4
	if size < 0 {
		return 0, nil, protocolViolation("invalid message length")
	}
	if size > maxMessageBytes {
		return 0, nil, verdict.New(c.unfinishedRequestVerdict(), verdict.MessageTooBig, "message of %d bytes is over the limit of %d", size, maxMessageBytes)
	}
	if body, err = c.readBody(c.conn, size); err != nil {
		if refusal, ok := asVerdictError(err); ok {
			return 0, nil, refusal
		}
		return 0, nil, c.incompleteMessageError(err)
	}
	return header[0], body, nil
}

// readBody reads a message body of size bytes. For a large body, memory is
// allocated as the bytes arrive, so that a header alone cannot claim the full size.
func (c *client) readBody(r io.Reader, size int) ([]byte, error) {
	if size <= pooledBodyBytes {
		body := (*bodyPool.Get().(*[]byte))[:size]
		_, err := io.ReadFull(r, body)
		if err != nil {
			releaseBody(body)
		}
		return body, err
	}
	var body []byte
	for len(body) < size {
		filled := len(body)
		newLen := min(size, max(initialBodyBytes, 2*filled))
		if newLen > budget.SmallBytes && !c.lease.Reserve(budget.Input, newLen-c.reservedInput) {
			return nil, verdict.New(c.unfinishedRequestVerdict(), verdict.MemoryLimit, "no memory for a message of %d bytes; try again", size)
		}
		c.reservedInput = max(c.reservedInput, newLen)
		body = slices.Grow(body, newLen-filled)[:newLen]
		if _, err := io.ReadFull(r, body[filled:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// awaitMessage waits for the first byte of a message. Between transactions there is
// no time limit, and no body buffer is held.
func (c *client) awaitMessage(first []byte) error {
	for {
		reason, deadline, err := c.setReadDeadline()
		if err != nil {
			return err
		}
		_, err = io.ReadFull(c.conn, first)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return errSessionEnded
		}
		if closeErr := c.pendingCloseError(); closeErr != nil {
			return closeErr
		}
		if reason != nil && !time.Now().Before(deadline) && c.inBatchOrTransaction() {
			return reason
		}
	}
}

// setReadDeadline sets the read deadline that the state of the session requires. It
// returns the deadline and, as reason, the error that ends the session when the
// deadline passes. Between transactions both are zero.
func (c *client) setReadDeadline() (reason *verdict.Error, deadline time.Time, err error) {
	c.mu.Lock()
	switch {
	case c.machine.InBatch():
		deadline = time.Now().Add(c.entry.opts.ClientTimeout)
		reason = verdict.New(c.unfinishedRequestVerdictLocked(), verdict.ProtocolViolation, "the client did not complete its request in time")
	case c.machine.Status() != session.StatusIdle:
		deadline = time.Now().Add(c.entry.opts.IdleTransactionTimeout)
		reason = verdict.New(verdict.NotRun, verdict.IdleTransactionTimeout, "terminating connection due to idle-in-transaction timeout")
	}
	c.mu.Unlock()
	_ = c.conn.SetReadDeadline(deadline)
	// A concurrent requestClose may have set a deadline that this one has overwritten,
	// so check for a pending close here. A later requestClose overwrites this deadline.
	if closeErr := c.pendingCloseError(); closeErr != nil {
		return nil, deadline, closeErr
	}
	return reason, deadline, nil
}

// inBatchOrTransaction reports whether a read deadline still applies to the next
// message of the client. It is checked when the deadline has passed, because the
// batch can end after the deadline was set.
func (c *client) inBatchOrTransaction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.InBatch() || c.machine.Status() != session.StatusIdle
}

// pendingCloseError returns the error with which the session has to end now, or nil.
func (c *client) pendingCloseError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.terminated:
		return errSessionEnded
	case c.lostReason != nil:
		return c.lostReason
	case c.closeReason == nil:
		return nil
	case c.machine.InBatch() || c.awaitingReady:
		return nil
	case c.closeImmediately || c.machine.Status() == session.StatusIdle:
		return c.closeReason
	}
	return nil
}

// unfinishedRequestVerdict returns the verdict for a request that the client has not
// completed.
func (c *client) unfinishedRequestVerdict() verdict.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unfinishedRequestVerdictLocked()
}

// unfinishedRequestVerdictLocked is unfinishedRequestVerdict for callers that hold mu.
func (c *client) unfinishedRequestVerdictLocked() verdict.Verdict {
	if c.exchange != nil && c.machine.InBatch() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// incompleteMessageError returns the error that ends the session after err
// interrupted the read of a message.
func (c *client) incompleteMessageError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if closeErr := c.pendingCloseError(); closeErr != nil {
			return closeErr
		}
		return verdict.New(c.unfinishedRequestVerdict(), verdict.ProtocolViolation, "the client did not complete its message in time")
	}
	return errSessionEnded
}

// frontendMessageTypes are the message types that a client may send after its login.
// After any other type, the boundaries of the following messages cannot be trusted.
const frontendMessageTypes = "QPBDCEHSXFdcf"

// handleMessage processes one message. If the message ends a batch, it waits for the
// ReadyForQuery of the batch.
func (c *client) handleMessage(typ byte, body []byte) error {
	if strings.IndexByte(frontendMessageTypes, typ) < 0 {
		return verdict.New(c.unfinishedRequestVerdict(), verdict.ProtocolViolation, "invalid message type %q", typ)
	}
	c.mu.Lock()
	if c.lostReason != nil {
		c.mu.Unlock()
		return c.lostReason
	}
	var step session.Step
	refusal := c.reserveMessage(typ, len(body))
	if refusal == nil {
		step, refusal = c.machine.ProcessClientMessage(typ, body)
	} else {
		step, refusal = c.machine.RefuseMessage(typ, body, refusal)
	}
	if refusal != nil {
		reply := c.machine.Refuse(refusal, typ == 'Q' || typ == 'S')
		c.mu.Unlock()
		c.entry.recordRefusal(refusal)
		return c.write(reply)
	}
	if step.End {
		c.awaitingReady = true
	}
	c.mu.Unlock()
	switch {
	case step.Close:
		return errSessionEnded
	case len(step.Reply) > 0:
		return c.write(step.Reply)
	case step.Send:
		if err := c.forwardCollected(step.End); err != nil {
			return err
		}
	}
	if step.End {
		return c.awaitReadyForQuery()
	}
	return nil
}

// statementCopies is the number of copies of a message that are held at once until its
// batch is answered: as collected, in the message to the home host and there.
const statementCopies = 3

// reserveMessage reserves what a message makes the session hold beyond its read buffer,
// until the batch ends, and for a Parse as long as the statement exists. The caller holds
// mu. Copy data is sent on before the next message is read.
func (c *client) reserveMessage(typ byte, size int) *verdict.Error {
	if typ == 'd' {
		return nil
	}
	if size > budget.SmallBytes {
		if !c.lease.Reserve(budget.Statements, statementCopies*size) {
			return verdict.New(verdict.NotRun, verdict.MemoryLimit, "no memory for a statement of this size; try again")
		}
		c.reservedStatements += statementCopies * size
	}
	if typ != 'P' {
		return nil
	}
	if c.addedState += size; c.addedState <= budget.SmallBytes {
		return nil
	}
	want := c.machine.StatementBytes() + size
	if !c.lease.Reserve(budget.State, want-c.reservedState) {
		return verdict.New(verdict.NotRun, verdict.MemoryLimit, "no memory for more prepared statements of this session")
	}
	c.lease.Release(budget.State, c.reservedState-want)
	c.reservedState, c.addedState = want, 0
	return nil
}

// forwardCollected sends the collected frontend bytes to the home host. It opens an
// exchange if none is open.
func (c *client) forwardCollected(batchEnded bool) error {
	c.mu.Lock()
	x := c.exchange
	newBatch := x == nil || !x.inBatch
	executes := c.machine.ExecutesStatement()
	c.mu.Unlock()
	timeout := statementTimeout(c.route)
	if x == nil {
		var refusal *verdict.Error
		if x, refusal = c.openExchange(); refusal != nil {
			return c.refuseBatch(refusal, batchEnded)
		}
		timeout = time.Until(x.deadline)
	} else if executes && !x.limiterCalled {
		ctx, cancel := context.WithTimeout(x.ctx, timeout)
		err := c.entry.opts.Limiter.Admit(ctx, c.customer)
		cancel()
		if err != nil {
			refusal := verdict.From(err)
			c.entry.recordRefusal(refusal)
			c.mu.Lock()
			c.machine.Abort(refusal, batchEnded)
			c.mu.Unlock()
		}
		x.limiterCalled = true
	}
	if newBatch {
		x.beginBatch(timeout)
	}
	c.mu.Lock()
	if c.exchange != x {
		c.mu.Unlock()
		return nil
	}
	prepared := c.machine.TakeStatementsToPrepare()
	chunk := c.machine.TakeFrontendBytes()
	c.mu.Unlock()
	if len(prepared) > 0 {
		// A Start message after the first one lists the prepared statements to which
		// the following frontend bytes refer.
		x.send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Start{Start: &peerpb.Start{Prepared: prepared}}})
	}
	x.forward(chunk)
	return nil
}

// refuseBatch answers a batch of which nothing was sent to a home host.
func (c *client) refuseBatch(refusal *verdict.Error, batchEnded bool) error {
	c.mu.Lock()
	reply := c.machine.Refuse(refusal, batchEnded)
	c.awaitingReady = false
	c.mu.Unlock()
	c.entry.recordRefusal(refusal)
	return c.write(reply)
}

// awaitReadyForQuery waits until the batch is answered, or until the backend server
// expects copy data.
func (c *client) awaitReadyForQuery() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.awaitingReady && !c.terminated && c.lostReason == nil && !c.machine.CopyIn() {
		c.stateChanged.Wait()
	}
	switch {
	case c.terminated:
		return errSessionEnded
	case c.lostReason != nil:
		return c.lostReason
	}
	return nil
}

// requestClose ends the session with the reason. If immediate is set, an idle
// transaction ends at once and a running statement is cancelled; otherwise the open
// transaction may finish first.
func (c *client) requestClose(reason *verdict.Error, immediate bool) {
	c.mu.Lock()
	accepted := c.closeReason == nil || immediate && !c.closeImmediately
	if accepted {
		c.closeReason, c.closeImmediately = reason, immediate
	}
	running := c.awaitingReady || c.machine.InBatch()
	interruptRead := !running && !c.handlingMessage && (immediate || c.machine.Status() == session.StatusIdle)
	x, opening := c.exchange, c.openingExchange
	c.mu.Unlock()
	if !accepted {
		return
	}
	if interruptRead {
		// A read deadline in the past interrupts the read of the session's
		// goroutine, which is the only one that ends the session.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if immediate && x != nil {
		x.cancelThenAbort(reason)
	}
	if immediate && opening != nil {
		c.abortOpening(opening, reason)
	}
}

// cancelStatement cancels the running statement or the request whose stream is being
// opened. It has no effect between statements.
func (c *client) cancelStatement() {
	c.mu.Lock()
	x, opening := c.exchange, c.openingExchange
	running := x != nil && x.inBatch
	c.mu.Unlock()
	if running {
		x.cancelRequest()
	}
	if opening != nil {
		c.abortOpening(opening, verdict.New(verdict.NotRun, verdict.Cancelled, "canceling statement due to user request"))
	}
}

// write sends bytes to the client. It returns errSessionEnded if they cannot be
// written within ClientTimeout.
func (c *client) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeLocked(b)
}

// writeLocked is write for callers that hold writeMu.
func (c *client) writeLocked(b []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.entry.opts.ClientTimeout))
	if _, err := c.conn.Write(b); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.entry.opts.Counters.Add("client_write_timeouts", 1)
		}
		return errSessionEnded
	}
	return nil
}

// bodyPool holds buffers for message bodies of up to pooledBodyBytes.
var bodyPool = sync.Pool{New: func() any { b := make([]byte, pooledBodyBytes); return &b }}

const (
	pooledBodyBytes = 4 << 10
	// initialBodyBytes is the memory allocated for a larger body before its first
	// byte arrives.
	initialBodyBytes = 64 << 10
)

// releaseBody returns a body of readBody to the pool if it was taken from the pool.
func releaseBody(b []byte) {
	if cap(b) == pooledBodyBytes {
		b = b[:pooledBodyBytes]
		bodyPool.Put(&b)
	}
}

// resolveFloor returns the floor of the session. For a session without a token it
// first requests the log position of the primary, so that the first read covers the
// caller's earlier commits.
func (c *client) resolveFloor(ctx context.Context) (session.Token, error) {
	c.mu.Lock()
	t := c.machine.Floor()
	c.mu.Unlock()
	if !t.IsZero() {
		return t, nil
	}
	t, err := c.entry.positions.get(ctx, c.route.Group, c.customer)
	for err != nil {
		// Retry: another server may become primary before the caller's deadline.
		if !clock.Sleep(ctx, positionRetryDelay) {
			return session.Token{}, err
		}
		t, err = c.entry.positions.get(ctx, c.route.Group, c.customer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.RaiseFloor(t)
	return c.machine.Floor(), nil
}
