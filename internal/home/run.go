package home

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// requestBufferLen is the number of requests of a stream that are buffered
// before they are sent to the backend server.
const requestBufferLen = 16

// txStatusIdle is the transaction status of ReadyForQuery outside a
// transaction.
const txStatusIdle = 'I'

// sqlStateReadOnly is the SQLSTATE of a write on a server that is not the
// primary.
const sqlStateReadOnly = "25006"

// eventKind is the kind of an event that a connection's reader goroutine
// reports to its stream.
type eventKind uint8

const (
	eventReady eventKind = iota
	eventStatus
	eventPong
	eventCopyIn
	eventFailed
)

type event struct {
	kind     eventKind
	txStatus byte
	status   dbconn.Status
	err      error
}

// errEntryDisconnected terminates a stream whose entry host has disconnected.
var errEntryDisconnected = verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "entry host disconnected")

// errConnEnded rejects a request whose connection closed after the request was
// admitted and before it was sent.
var errConnEnded error = verdict.New(verdict.NotRun, verdict.ConnectionLost, "backend connection closed before the request was sent")

// runStream is one Run stream: one transaction, or several that the entry host
// pipelined. The methods in this file run in the stream's goroutine, those in
// sink.go in the reader goroutine of the connection.
type runStream struct {
	home   *Home
	pool   *pool
	stream peer.RunServerStream
	start  *peerpb.Start
	// timeout bounds the execution of one statement, including its time in the
	// queue.
	timeout time.Duration

	requests   chan *peerpb.RunRequest
	cancelled  chan struct{}
	cancelOnce sync.Once
	events     chan event
	done       chan struct{}

	// requestsClosed is set once the entry host has closed its sending side.
	requestsClosed bool

	id backend.RequestID
	// decisions carries the decisions of the dispatcher. At most one decision
	// can be outstanding, so its capacity is one.
	decisions chan queueDecision
	// conn is set under the pool's lock before the decision is sent on decisions.
	conn               *conn
	frontend           batchSplitter
	requiredStatements []*peerpb.Prepared
	words              statementWords
	prefix             batchPrefix
	deadline           time.Time
	timer              *time.Timer
	// deadlineArmed is set while the deadline of a statement is in force.
	deadlineArmed bool
	// requestSent is set once a byte of the current request may have been
	// written to the backend server.
	requestSent bool
	// connDirty is set while the connection must not be reused by another
	// stream.
	connDirty bool
	// inTx is set while the backend server reports an open transaction.
	inTx bool
	// holdsSlot is set while the stream occupies a slot of the backend server.
	holdsSlot bool
	// term is the term in which the primary is used, or 0 on a replica.
	term uint64
	// awaitingStatusOnly is set while the status query is outstanding and the
	// request has not been sent with it.
	awaitingStatusOnly bool

	cancelState cancelState
	answerState
}

// batchPrefix holds the messages that the home host sends before a batch, and
// the answers that they cause.
type batchPrefix struct {
	bytes       []byte
	answers     []expectedAnswer
	batchAnswer expectedAnswer
}

// queueDecision is the dispatcher's decision on a queued request or statement. A
// nil err admits it.
type queueDecision struct{ err error }

func newRunStream(h *Home, p *pool, s peer.RunServerStream, start *peerpb.Start) *runStream {
	timeout := time.Duration(start.TimeoutUs) * time.Microsecond
	if timeout <= 0 {
		timeout = config.DefaultDeadline.Std()
	}
	words := newStatementWords()
	words.addPrepared(start.Prepared)
	return &runStream{
		home: h, pool: p, stream: s, start: start, timeout: timeout,
		requests:           make(chan *peerpb.RunRequest, requestBufferLen),
		cancelled:          make(chan struct{}),
		decisions:          make(chan queueDecision, 1),
		events:             make(chan event, 4),
		done:               make(chan struct{}),
		requiredStatements: start.Prepared,
		words:              words,
		answerState:        answerState{txStatus: txStatusIdle},
		deadline:           time.Now().Add(timeout),
		timer:              time.NewTimer(timeout),
		deadlineArmed:      true,
	}
}

func (r *runStream) isWrite() bool { return r.start.Intent == peerpb.Intent_INTENT_WRITE }

// requiresPrimary reports whether a read requires the current data of the
// primary.
func (r *runStream) requiresPrimary() bool { return !r.isWrite() && r.start.StalenessUs == 0 }

// serve runs the stream until it ends.
func (r *runStream) serve() error {
	defer close(r.done)
	defer r.timer.Stop()
	if r.start.Intent == peerpb.Intent_INTENT_UNSPECIFIED {
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "start message without intent")
	}
	go r.receiveRequests()
	if err := r.authorize(); err != nil {
		return err
	}
	if err := r.awaitFrontendBytes(); err != nil {
		return err
	}
	if err := r.pool.acquire(r); err != nil {
		return err
	}
	r.setPhase(phaseStarting)
	err := errConnEnded
	if r.conn.attach(r) {
		err = r.relayTransaction()
	}
	if r.connDirty || r.inTx {
		// Release the connection and the slot before calling closeAnswers,
		// which can block on a send to an entry host that does not read.
		r.pool.discardConn(r)
		r.closeAnswers()
		return err
	}
	r.closeAnswers()
	r.pool.resetConn(r)
	return err
}

// receiveRequests forwards requests to the stream's goroutine and handles
// cancel requests.
func (r *runStream) receiveRequests() {
	defer close(r.requests)
	for {
		m, err := r.stream.Recv()
		if err != nil {
			return
		}
		if m.GetCancel() {
			r.handleCancelRequest()
			continue
		}
		r.recordRequest()
		select {
		case r.requests <- m:
		case <-r.done:
			return
		}
	}
}

// awaitFrontendBytes waits for the first frontend bytes, so that a stream
// without a request occupies no slot.
func (r *runStream) awaitFrontendBytes() error {
	for len(r.frontend.pending) == 0 {
		select {
		case m, ok := <-r.requests:
			if !ok {
				return r.notRunError(verdict.Cancelled, "stream ended before a request arrived")
			}
			r.addRequest(m)
		case <-r.cancelled:
			return r.notRunError(verdict.Cancelled, "cancelled before the request was sent")
		case <-r.timer.C:
			return r.notRunError(verdict.DeadlineExceeded, "no request arrived before the deadline")
		}
	}
	return nil
}

func (r *runStream) notRunError(reason verdict.Reason, format string, args ...any) error {
	return verdict.New(verdict.NotRun, reason, format, args...)
}

// addRequest adds a request from the entry host. A Start message after the first
// one lists prepared statements to which the following frontend bytes refer.
func (r *runStream) addRequest(m *peerpb.RunRequest) {
	if s := m.GetStart(); s != nil {
		r.requiredStatements = append(r.requiredStatements, s.Prepared...)
		r.words.addPrepared(s.Prepared)
		return
	}
	r.frontend.add(m.GetFrontend())
}

// authorize checks whether this host may send the request to the backend server
// now. It sets term if the server may be used as the primary.
func (r *runStream) authorize() error {
	mayUseReplica := !r.isWrite() && !r.requiresPrimary()
	if mayUseReplica && !r.pool.wasPrimary() {
		return nil
	}
	term, err := r.home.opt.Authority.WritableTerm(r.start.Group, r.start.Server)
	if err != nil {
		if mayUseReplica || r.inTx {
			// For a read that a replica may serve, the last known status may be
			// out of date, and the status query decides. An open transaction
			// continues while a planned promotion waits for it, and the
			// confirmation of its commit decides.
			return nil
		}
		return authorityRefusal(err)
	}
	if floor := r.start.Floor; floor != nil && floor.Term > term {
		return r.notRunError(verdict.NoPrimary, "term %d is older than the session's term %d", term, floor.Term)
	}
	if r.inTx && term != r.term {
		return r.notRunError(verdict.AuthorityLost, "term changed from %d to %d during the transaction", r.term, term)
	}
	r.term = term
	return nil
}

// authorityRefusal sets the verdict of an error of Authority.WritableTerm to
// NotRun, which WritableTerm guarantees.
func authorityRefusal(err error) error {
	e := *verdict.From(err)
	if e.Reason == verdict.Internal {
		e.Reason = verdict.NoPrimary
	}
	e.Verdict = verdict.NotRun
	return &e
}

// relayTransaction relays batches until no transaction is open and every request
// that the entry host has sent so far has been processed.
func (r *runStream) relayTransaction() error {
	for {
		if err := r.relayBatch(); err != nil {
			return r.errorWithVerdict(err)
		}
		if r.requestsClosed && r.inTx {
			return errEntryDisconnected
		}
		if !r.inTx && len(r.frontend.pending) == 0 && len(r.requests) == 0 {
			return nil
		}
	}
}

// errorWithVerdict derives the verdict of a failed request. A request may have
// run if any of its bytes were sent, unless the error is the backend server's
// report of a rollback.
func (r *runStream) errorWithVerdict(err error) error {
	e := *verdict.From(err)
	if e.Reason == verdict.Internal {
		e.Reason = verdict.ConnectionLost
	}
	if _, rolledBack := err.(*rolledBackError); rolledBack || !r.requestSent {
		e.Verdict = verdict.NotRun
	} else {
		e.Verdict = verdict.MayHaveRun
	}
	return &e
}

// relayBatch relays one batch to the backend server and its answer to the entry
// host.
func (r *runStream) relayBatch() error {
	r.resetAnswerState()
	if !r.inTx {
		r.requestSent = false
		if err := r.preflight(); err != nil {
			return err
		}
	}
	status, err := r.exchange()
	if err != nil {
		return err
	}
	wasIdle := !r.inTx
	r.inTx, r.connDirty = status != txStatusIdle, false
	r.setPhase(phaseIdle)
	r.pool.releaseSlot(r)
	if err := r.confirmFailure(wasIdle, status); err != nil {
		return err
	}
	if err := r.withheldError(wasIdle, status); err != nil {
		return err
	}
	token, err := r.confirmBatch(status)
	if err != nil {
		return err
	}
	r.frontend.beginNextBatch()
	r.deadlineArmed = false
	return r.sendReady(status, token)
}

// preflight verifies the connection and, for a read, prepares the status query.
// If the last known status of the server satisfies the read, the status query
// is sent together with the request. Otherwise it is sent alone, so that a read
// that the server cannot serve is rejected before any byte of it is sent.
func (r *runStream) preflight() error {
	r.prefix, r.term = batchPrefix{}, 0
	if err := r.verifyConn(); err != nil {
		return err
	}
	if r.isWrite() {
		return nil
	}
	if err := r.authorize(); err != nil {
		return err
	}
	query, answer := statusQuery(answerStatus)
	r.prefix.bytes = append(readOnlyBytes[:len(readOnlyBytes):len(readOnlyBytes)], query...)
	r.prefix.answers = []expectedAnswer{{kind: answerDiscard}, answer}
	if r.pool.lastStatusSatisfies(r) {
		return nil
	}
	r.awaitingStatusOnly = true
	if err := r.send(r.prefix.bytes, r.prefix.answers); err != nil {
		return err
	}
	r.prefix = batchPrefix{}
	if _, err := r.awaitEvent(eventStatus); err != nil {
		return err
	}
	r.awaitingStatusOnly, r.connDirty = false, false
	return nil
}

const (
	// verifyAfter is the time without received data after which a connection is
	// pinged before a request is sent on it, because a request that is lost on
	// a silent connection may have run. The ping costs one round trip on
	// servers with little traffic.
	verifyAfter = 250 * time.Millisecond
	// verifyTimeout bounds the wait for the answer to the ping.
	verifyTimeout = 500 * time.Millisecond
)

// verifyConn pings a connection that has received nothing for verifyAfter and
// waits for the answer.
func (r *runStream) verifyConn() error {
	now := time.Now()
	if r.conn.timeSinceRead(now) < verifyAfter {
		return nil
	}
	r.connDirty = true
	limit := now.Add(verifyTimeout)
	if err := r.conn.ping(limit); err != nil {
		return verdict.New(verdict.NotRun, verdict.ConnectionLost, "%v", err)
	}
	timeout := time.NewTimer(verifyTimeout)
	defer timeout.Stop()
	select {
	case ev := <-r.events:
		if ev.kind == eventFailed {
			return ev.err
		}
		r.connDirty = false
		return nil
	case <-timeout.C:
		r.pool.handleOverdueAnswer(r.conn)
		return verdict.New(verdict.NotRun, verdict.AnswerOverdue, "connection to %s did not answer a ping", r.start.Server)
	case <-r.stream.Context().Done():
		return errEntryDisconnected
	}
}

// readOnlyBytes is the encoded query that starts the prefix of a read. It is sent for
// every transaction, because the previous one may have changed the setting.
var readOnlyBytes = encode(nil, &pgproto3.Query{String: readOnlyQuery})

// statusQuery returns an encoded status query with a new mark, and its answer.
func statusQuery(kind answerKind) ([]byte, expectedAnswer) {
	m := dbconn.NewMark()
	return encode(nil, &pgproto3.Query{String: dbconn.StatusQuery(m)}), expectedAnswer{kind: kind, mark: m}
}

// exchange sends the batch and returns the transaction status in the
// ReadyForQuery message that ends its answer.
func (r *runStream) exchange() (byte, error) {
	for {
		if err := r.sendPending(); err != nil {
			return 0, err
		}
		in := r.requests
		if r.requestsClosed || len(r.frontend.pending) > maxFrontendMessage+headerSize {
			in = nil
		}
		select {
		case m, ok := <-in:
			if !ok {
				// An entry host that closed its sending side still receives the
				// answer to a complete batch.
				if r.requestsClosed = true; r.frontend.batchEnd == 0 {
					return 0, errEntryDisconnected
				}
				continue
			}
			r.addRequest(m)
		case ev := <-r.events:
			switch ev.kind {
			case eventReady:
				return ev.txStatus, nil
			case eventCopyIn:
				r.frontend.copyInActive = true
			case eventFailed:
				return 0, ev.err
			}
		case <-r.timer.C:
			if r.deadlineArmed {
				return 0, r.overdueError()
			}
		case <-r.stream.Context().Done():
			return 0, errEntryDisconnected
		}
	}
}

// sendPending sends the messages of the current batch that may be sent now.
func (r *runStream) sendPending() error {
	if len(r.frontend.pending) < headerSize || (r.frontend.batchEnd != 0 && !r.frontend.belongsToBatch(r.frontend.pending[0])) {
		return nil
	}
	if !r.deadlineArmed {
		r.deadlineArmed, r.deadline = true, time.Now().Add(r.timeout)
		r.timer.Reset(r.timeout)
	}
	if !r.holdsSlot {
		r.setPhase(phaseStarting)
		if err := r.pool.reacquireSlot(r); err != nil {
			return err
		}
	}
	first := !r.frontend.batchStarted
	out, err := r.frontend.takeSendable(r.prepareStatements)
	if err != nil {
		return err
	}
	if len(out) == 0 {
		return nil
	}
	r.allowEarlyHold(r.frontend.batchEnd != 0)
	r.recordSent(out)
	if !first {
		return r.send(out, nil)
	}
	if r.isWrite() || r.inTx {
		if err := r.authorize(); err != nil {
			return err
		}
	}
	if r.isWrite() {
		if err := r.sendAccepted(0); err != nil {
			return err
		}
	}
	r.prefix.batchAnswer.kind = answerBatch
	answers := append(r.prefix.answers, r.prefix.batchAnswer)
	if len(r.prefix.bytes) > 0 {
		out = append(r.prefix.bytes[:len(r.prefix.bytes):len(r.prefix.bytes)], out...)
	}
	r.prefix = batchPrefix{}
	err = r.send(out, answers)
	r.setPhase(phaseRunning)
	return err
}

// prepareStatements returns the messages that prepare the statements required
// by the batch.
func (r *runStream) prepareStatements() []byte {
	out, parsing, closing := r.conn.statements.prepare(r.requiredStatements)
	r.requiredStatements = nil
	r.prefix.batchAnswer.parsing, r.prefix.batchAnswer.outstandingCloses = parsing, closing
	return out
}

// send writes to the backend server and registers the expected answers.
func (r *runStream) send(b []byte, answers []expectedAnswer) error {
	r.connDirty = true
	n, err := r.conn.sendRequest(b, r.deadline, answers...)
	r.requestSent = r.requestSent || (n > 0 && r.frontend.batchStarted)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "%v", err)
	}
	return nil
}

// awaitEvent waits for an event of the given kind.
func (r *runStream) awaitEvent(kind eventKind) (event, error) {
	for {
		select {
		case ev := <-r.events:
			switch ev.kind {
			case kind:
				return ev, nil
			case eventFailed:
				return event{}, ev.err
			}
			// Ignore the answer to a ping that was sent while the connection
			// was idle.
		case <-r.timer.C:
			return event{}, r.overdueError()
		case <-r.stream.Context().Done():
			return event{}, errEntryDisconnected
		}
	}
}

// overdueError returns the error for an answer that did not arrive before the
// deadline, and starts a probe of the server.
func (r *runStream) overdueError() error {
	if !r.requestSent && !r.connDirty {
		return r.notRunError(verdict.DeadlineExceeded, "deadline passed before the request was sent")
	}
	r.pool.handleOverdueAnswer(r.conn)
	return verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "no answer from %s within %v", r.start.Server, r.timeout)
}

// confirmBatch obtains the confirmation that a write requires before it is
// acknowledged, and returns the causality token.
func (r *runStream) confirmBatch(status byte) (*peerpb.Token, error) {
	if status != txStatusIdle || !r.needsConfirmation() {
		return nil, nil
	}
	s, err := r.queryPosition()
	if err != nil {
		return nil, err
	}
	if s.Role != dbconn.Primary || s.Term != r.term {
		return nil, verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "%s is %s of term %d, not primary of term %d", s.Server, s.Role, s.Term, r.term)
	}
	ctx, cancel := context.WithDeadline(r.stream.Context(), r.deadline)
	defer cancel()
	if err := r.home.opt.Authority.ConfirmWrite(ctx, r.start.Group, r.term, s.Position); err != nil {
		return nil, unconfirmedError(err)
	}
	r.home.opt.Authority.RecordCommit(r.start.Group, r.start.Customer, r.term, s.Position)
	return &peerpb.Token{Group: r.start.Group, Term: r.term, Position: s.Position}, nil
}

// queryPosition sends a status query behind the batch and returns its answer. It fails if the
// server has answered the batch more than once.
func (r *runStream) queryPosition() (dbconn.Status, error) {
	query, answer := statusQuery(answerPosition)
	if err := r.send(query, []expectedAnswer{answer}); err != nil {
		return dbconn.Status{}, err
	}
	ev, err := r.awaitEvent(eventStatus)
	if err != nil {
		return dbconn.Status{}, err
	}
	r.connDirty = false
	return ev.status, nil
}

// confirmFailure checks that an error which ends a write or a transaction is the answer to
// this batch. An error is a promise that nothing is kept, and the caller may repeat the
// request after it.
func (r *runStream) confirmFailure(wasIdle bool, status byte) error {
	if status != txStatusIdle || !r.failedWithoutCommit(wasIdle) {
		return nil
	}
	_, err := r.queryPosition()
	return err
}

// unconfirmedError sets the verdict of an Authority error to MayHaveRun, and
// its reason to authority_lost if it has no specific one.
func unconfirmedError(err error) error {
	e := *verdict.From(err)
	if e.Reason == verdict.Internal {
		e.Reason = verdict.AuthorityLost
	}
	e.Verdict = verdict.MayHaveRun
	return &e
}

// rolledBackError reports that the backend server rolled the request back
// because it is not the primary.
type rolledBackError struct{ cause *verdict.Error }

func (e *rolledBackError) Error() string { return e.cause.Error() }

func (e *rolledBackError) Unwrap() error { return e.cause }

// withheldError returns the error that is sent to the entry host as a verdict
// in place of the backend server's error message, or nil.
func (r *runStream) withheldError(wasIdle bool, status byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withheldResponse == nil {
		return nil
	}
	e := verdict.New(verdict.NotRun, verdict.NoPrimary, "%s: %s", r.start.Server, r.withheldResponse.Message)
	if wasIdle && status == txStatusIdle && r.completedCommands == 0 {
		return &rolledBackError{cause: e}
	}
	return e
}
