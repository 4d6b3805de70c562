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

// requestDepth is the number of requests of a stream buffered ahead of the
// backend server.
const requestDepth = 16

// Transaction status bytes of ReadyForQuery.
const txIdle = 'I'

// sqlStateReadOnly is the error of a write on a server that is not primary.
const sqlStateReadOnly = "25006"

// eventKind names what a connection's reader reports to its stream.
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

// errGone ends a stream whose entry host is gone.
var errGone = verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "entry host is gone")

// errConnectionEnded refuses a request whose connection ended before its use.
var errConnectionEnded error = verdict.New(verdict.NotRun, verdict.ConnectionLost, "the connection ended before the request was sent")

// run is one Run stream: one transaction, or several that the entry host sent
// without waiting. The methods in this file run in the stream's goroutine, those
// in sink.go in the reader goroutine of the connection.
type run struct {
	h      *Home
	p      *pool
	stream peer.RunServerStream
	start  *peerpb.Start
	// timeout bounds one statement, its waits included.
	timeout time.Duration

	in         chan *peerpb.RunRequest
	cancelled  chan struct{}
	cancelOnce sync.Once
	events     chan event
	done       chan struct{}

	// eof is set once the entry host sends no more.
	eof bool

	id backend.RequestID
	// granted carries the decisions of the queue. It has room for one, the most
	// that can be outstanding.
	granted chan grant
	// conn is set under the pool's lock before the grant is sent.
	conn     *conn
	front    frontend
	wanted   []*peerpb.Prepared
	prefix   batchPrefix
	deadline time.Time
	timer    *time.Timer
	// timing is set while the deadline of a statement runs.
	timing bool
	// sent is set once a byte of the current request may have been written.
	sent bool
	// dirty is set while the connection cannot serve another stream.
	dirty bool
	// inTx is set while the backend server reports an open transaction.
	inTx bool
	// slot is set while a slot of the backend server is held.
	slot bool
	// term is the term in which the primary is used, 0 on a replica.
	term uint64
	// statusAhead is set while the stream waits for the status alone.
	statusAhead bool

	activity activity
	answerState
}

// batchPrefix is what the home host sends ahead of a batch.
type batchPrefix struct {
	bytes   []byte
	answers []answer
	batch   answer
}

// grant is a decision of the queue: the request may go on, or err says why not.
type grant struct{ err error }

func newRun(h *Home, p *pool, s peer.RunServerStream, start *peerpb.Start) *run {
	timeout := time.Duration(start.TimeoutUs) * time.Microsecond
	if timeout <= 0 {
		timeout = config.DefaultDeadline.Std()
	}
	return &run{
		h: h, p: p, stream: s, start: start, timeout: timeout,
		in:        make(chan *peerpb.RunRequest, requestDepth),
		cancelled: make(chan struct{}),
		granted:   make(chan grant, 1),
		events:    make(chan event, 4),
		done:      make(chan struct{}),
		wanted:    start.Prepared,
		deadline:  time.Now().Add(timeout),
		timer:     time.NewTimer(timeout),
		timing:    true,
	}
}

func (r *run) write() bool { return r.start.Intent == peerpb.Intent_INTENT_WRITE }

// current reports whether a read asks for the primary's data.
func (r *run) current() bool { return !r.write() && r.start.StalenessUs == 0 }

// serve runs the stream to its end.
func (r *run) serve() error {
	defer close(r.done)
	defer r.timer.Stop()
	if r.start.Intent == peerpb.Intent_INTENT_UNSPECIFIED {
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "start without intent")
	}
	go r.receive()
	if err := r.authorize(); err != nil {
		return err
	}
	if err := r.firstRequest(); err != nil {
		return err
	}
	if err := r.p.acquire(r); err != nil {
		return err
	}
	r.enter(phaseStarting)
	err := errConnectionEnded
	if r.conn.attach(r) {
		err = r.transact()
	}
	if r.dirty || r.inTx {
		// The connection and the slot are given up before finish, which waits
		// for a send to an entry host that may not be reading.
		r.p.abandon(r)
		r.finish()
		return err
	}
	r.finish()
	r.p.release(r)
	return err
}

// receive passes requests on and watches for a cancel request.
func (r *run) receive() {
	defer close(r.in)
	for {
		m, err := r.stream.Recv()
		if err != nil {
			return
		}
		if m.GetCancel() {
			r.cancelRequest()
			continue
		}
		r.requested()
		select {
		case r.in <- m:
		case <-r.done:
			return
		}
	}
}

// firstRequest waits for frontend bytes, so that no slot is held without them.
func (r *run) firstRequest() error {
	for len(r.front.pending) == 0 {
		select {
		case m, ok := <-r.in:
			if !ok {
				return r.notSent(verdict.Cancelled, "stream ended before the request")
			}
			r.take(m)
		case <-r.cancelled:
			return r.notSent(verdict.Cancelled, "cancelled before the request was sent")
		case <-r.timer.C:
			return r.notSent(verdict.DeadlineExceeded, "no request before the deadline")
		}
	}
	return nil
}

func (r *run) notSent(reason verdict.Reason, format string, args ...any) error {
	return verdict.New(verdict.NotRun, reason, format, args...)
}

// take adds a request of the entry host. A further Start names statements that
// the following frontend bytes refer to.
func (r *run) take(m *peerpb.RunRequest) {
	if s := m.GetStart(); s != nil {
		r.wanted = append(r.wanted, s.Prepared...)
		return
	}
	r.front.add(m.GetFrontend())
}

// authorize checks the authority that the request needs before it is sent.
func (r *run) authorize() error {
	mayUseReplica := !r.write() && !r.current()
	if mayUseReplica && !r.p.primary() {
		return nil
	}
	term, err := r.h.opt.Authority.Writable(r.start.Group, r.start.Server)
	if err != nil {
		if mayUseReplica || r.inTx {
			// What is known of the server may be old; its status decides. An open
			// transaction goes on while a planned promotion waits for it; the
			// confirmation of its commit decides.
			return nil
		}
		return refusedBy(err)
	}
	if floor := r.start.Floor; floor != nil && floor.Term > term {
		return r.notSent(verdict.NoPrimary, "term %d is older than the session's term %d", term, floor.Term)
	}
	if r.inTx && term != r.term {
		return r.notSent(verdict.AuthorityLost, "term changed from %d to %d", r.term, term)
	}
	r.term = term
	return nil
}

// refusedBy gives the Authority's refusal the verdict NotRun, which Writable
// guarantees.
func refusedBy(err error) error {
	e := *verdict.From(err)
	if e.Reason == verdict.Internal {
		e.Reason = verdict.NoPrimary
	}
	e.Verdict = verdict.NotRun
	return &e
}

// transact relays batches until the transaction has ended and nothing that the
// entry host sent is left.
func (r *run) transact() error {
	for {
		if err := r.batch(); err != nil {
			return r.verdict(err)
		}
		if r.eof && r.inTx {
			return errGone
		}
		if !r.inTx && len(r.front.pending) == 0 && len(r.in) == 0 {
			return nil
		}
	}
}

// verdict states what is known about the request after an error. A request of
// which bytes were sent may have run, unless the error itself is the backend
// server's report of a rollback.
func (r *run) verdict(err error) error {
	e := *verdict.From(err)
	if e.Reason == verdict.Internal {
		e.Reason = verdict.ConnectionLost
	}
	if _, rolledBack := err.(*rolledBackError); rolledBack || !r.sent {
		e.Verdict = verdict.NotRun
	} else {
		e.Verdict = verdict.MayHaveRun
	}
	return &e
}

// batch relays one batch and its answer.
func (r *run) batch() error {
	r.beginBatch()
	if !r.inTx {
		r.sent = false
		if err := r.prologue(); err != nil {
			return err
		}
	}
	status, err := r.exchange()
	if err != nil {
		return err
	}
	wasIdle := !r.inTx
	r.inTx, r.dirty = status != txIdle, false
	r.enter(phaseIdle)
	r.p.yield(r)
	if err := r.withheldError(wasIdle, status); err != nil {
		return err
	}
	token, err := r.confirm(status)
	if err != nil {
		return err
	}
	r.front.answered()
	r.timing = false
	return r.sendReady(status, token)
}

// prologue prepares a read. The status query goes out together with the
// request if what is known of the server already satisfies the request, and
// alone otherwise, so that a read that the server cannot serve is refused
// before any byte of it is sent.
func (r *run) prologue() error {
	r.prefix, r.term = batchPrefix{}, 0
	if err := r.verify(); err != nil {
		return err
	}
	if r.write() {
		return nil
	}
	if err := r.authorize(); err != nil {
		return err
	}
	r.prefix.bytes = readPrefix
	r.prefix.answers = []answer{{kind: answerDiscard}, {kind: answerStatus}}
	if r.p.satisfies(r) {
		return nil
	}
	r.statusAhead = true
	if err := r.send(r.prefix.bytes, r.prefix.answers); err != nil {
		return err
	}
	r.prefix = batchPrefix{}
	if _, err := r.await(eventStatus); err != nil {
		return err
	}
	r.statusAhead, r.dirty = false, false
	return nil
}

const (
	// verifyAfter is the silence after which a connection has to give a sign of
	// life before a request is sent on it, because a request that is lost on a
	// silent link may have run. It costs one round trip on quiet servers.
	verifyAfter = 250 * time.Millisecond
	// verifyTimeout bounds the wait for the sign of life.
	verifyTimeout = 500 * time.Millisecond
)

// verify makes sure that the connection still answers.
func (r *run) verify() error {
	now := time.Now()
	if r.conn.quietFor(now) < verifyAfter {
		return nil
	}
	r.dirty = true
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
		r.dirty = false
		return nil
	case <-timeout.C:
		r.p.overdue(r.conn)
		return verdict.New(verdict.NotRun, verdict.AnswerOverdue, "a connection to %s is silent", r.start.Server)
	case <-r.stream.Context().Done():
		return errGone
	}
}

// readPrefix goes ahead of a read. It is repeated for every transaction, because
// the one before may have changed the setting.
var readPrefix = encode(encode(nil, &pgproto3.Query{String: readOnlyQuery}), &pgproto3.Query{String: dbconn.StatusQuery})

// exchange sends the batch and returns the transaction status that ends its
// answer.
func (r *run) exchange() (byte, error) {
	for {
		if err := r.forward(); err != nil {
			return 0, err
		}
		in := r.in
		if r.eof || len(r.front.pending) > maxMessage+headerSize {
			in = nil
		}
		select {
		case m, ok := <-in:
			if !ok {
				// An entry host that sends no more still gets its answer.
				if r.eof = true; r.front.endedBy == 0 {
					return 0, errGone
				}
				continue
			}
			r.take(m)
		case ev := <-r.events:
			switch ev.kind {
			case eventReady:
				return ev.txStatus, nil
			case eventCopyIn:
				r.front.copyIn = true
			case eventFailed:
				return 0, ev.err
			}
		case <-r.timer.C:
			if r.timing {
				return 0, r.overdue()
			}
		case <-r.stream.Context().Done():
			return 0, errGone
		}
	}
}

// forward sends what may be sent of the current batch.
func (r *run) forward() error {
	if len(r.front.pending) < headerSize || (r.front.endedBy != 0 && !r.front.accepts(r.front.pending[0])) {
		return nil
	}
	if !r.timing {
		r.timing, r.deadline = true, time.Now().Add(r.timeout)
		r.timer.Reset(r.timeout)
	}
	if !r.slot {
		r.enter(phaseStarting)
		if err := r.p.resume(r); err != nil {
			return err
		}
	}
	first := !r.front.started
	out, err := r.front.take(r.prepare)
	if err != nil {
		return err
	}
	if len(out) == 0 {
		return nil
	}
	r.bufferAnswer(r.front.endedBy != 0)
	if !first {
		return r.send(out, nil)
	}
	if r.write() || r.inTx {
		if err := r.authorize(); err != nil {
			return err
		}
	}
	if r.write() {
		if err := r.accept(0); err != nil {
			return err
		}
	}
	r.prefix.batch.kind = answerBatch
	answers := append(r.prefix.answers, r.prefix.batch)
	if len(r.prefix.bytes) > 0 {
		out = append(r.prefix.bytes[:len(r.prefix.bytes):len(r.prefix.bytes)], out...)
	}
	r.prefix = batchPrefix{}
	err = r.send(out, answers)
	r.enter(phaseRunning)
	return err
}

// prepare returns the messages that prepare the statements the batch needs.
func (r *run) prepare() []byte {
	out, parsing, closing := r.conn.statements.prepare(r.wanted)
	r.wanted = nil
	r.prefix.batch.parsing, r.prefix.batch.closing = parsing, closing
	return out
}

// send writes to the backend server and announces the answers.
func (r *run) send(b []byte, answers []answer) error {
	r.dirty = true
	n, err := r.conn.request(b, r.deadline, answers...)
	r.sent = r.sent || (n > 0 && r.front.started)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "%v", err)
	}
	return nil
}

// await waits for an event of the kind.
func (r *run) await(kind eventKind) (event, error) {
	for {
		select {
		case ev := <-r.events:
			switch ev.kind {
			case kind:
				return ev, nil
			case eventFailed:
				return event{}, ev.err
			}
			// An answer to a ping sent while the connection was idle.
		case <-r.timer.C:
			return event{}, r.overdue()
		case <-r.stream.Context().Done():
			return event{}, errGone
		}
	}
}

// overdue reports an answer that did not come before the deadline.
func (r *run) overdue() error {
	if !r.sent && !r.dirty {
		return r.notSent(verdict.DeadlineExceeded, "deadline passed before the request was sent")
	}
	r.p.overdue(r.conn)
	return verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "no answer from %s within %v", r.start.Server, r.timeout)
}

// confirm obtains the confirmation that the answer of a write needs and returns
// the causality token.
func (r *run) confirm(status byte) (*peerpb.Token, error) {
	if status != txIdle || !r.needsConfirmation() {
		return nil, nil
	}
	if err := r.send(statusQuery, []answer{{kind: answerPosition}}); err != nil {
		return nil, err
	}
	ev, err := r.await(eventStatus)
	if err != nil {
		return nil, err
	}
	r.dirty = false
	s := ev.status
	if s.Role != dbconn.Primary || s.Term != r.term {
		return nil, verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "%s is %s of term %d, not primary of term %d", s.Server, s.Role, s.Term, r.term)
	}
	ctx, cancel := context.WithDeadline(r.stream.Context(), r.deadline)
	defer cancel()
	if err := r.h.opt.Authority.ConfirmWrite(ctx, r.start.Group, r.term, s.Position); err != nil {
		return nil, unconfirmed(err)
	}
	r.h.opt.Authority.Committed(r.start.Group, r.start.Customer, r.term, s.Position)
	return &peerpb.Token{Group: r.start.Group, Term: r.term, Position: s.Position}, nil
}

// statusQuery is the encoded status query.
var statusQuery = encode(nil, &pgproto3.Query{String: dbconn.StatusQuery})

// unconfirmed gives an error of the Authority the reason authority_lost unless
// it has one of its own.
func unconfirmed(err error) error {
	e := *verdict.From(err)
	if e.Reason == verdict.Internal {
		e.Reason = verdict.AuthorityLost
	}
	e.Verdict = verdict.MayHaveRun
	return &e
}

// rolledBackError is the backend server's own report that it rolled the request
// back and is not the primary.
type rolledBackError struct{ cause *verdict.Error }

func (e *rolledBackError) Error() string { return e.cause.Error() }

func (e *rolledBackError) Unwrap() error { return e.cause }

// withheldError returns the error that the entry host is told as a verdict.
func (r *run) withheldError(wasIdle bool, status byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withheld == nil {
		return nil
	}
	e := verdict.New(verdict.NotRun, verdict.NoPrimary, "%s: %s", r.start.Server, r.withheld.Message)
	if wasIdle && status == txIdle && r.commands == 0 {
		return &rolledBackError{cause: e}
	}
	return e
}
