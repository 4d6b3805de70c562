package home

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// maxHeld bounds the answer bytes of one stream that wait for the
	// confirmation of a commit.
	maxHeld = 4 << 20
	// earlyLimit bounds the answer bytes of a write that are kept back before
	// its first completed command. It covers the answers that precede an error
	// which the entry host is told as a verdict, such as ParseComplete.
	earlyLimit = 8 << 10
)

// answerState is what a run knows about the answer of its current batch.
type answerState struct {
	// mu serialises sends on the stream and guards the fields below.
	mu       sync.Mutex
	finished bool
	accepted bool
	// buffered is set while the entry host awaits nothing before the batch ends.
	buffered bool
	held     [][]byte
	heldLen  int
	// relayed is set once bytes of the batch's answer were sent.
	relayed bool
	// readConfirmed is set once a read on the primary may be answered.
	readConfirmed bool
	// commands counts the completed commands of the batch, rolledBack those
	// among them that are a ROLLBACK.
	commands, rolledBack int
	// mayHaveWritten is set when the batch of a read may have written, so that
	// it has to be confirmed like a write.
	mayHaveWritten bool
	// withheld is an error that the entry host is told as a verdict instead.
	withheld *pgproto3.ErrorResponse
}

// beginBatch clears the state of the previous batch.
func (r *run) beginBatch() {
	r.mu.Lock()
	r.buffered, r.held, r.heldLen, r.relayed, r.readConfirmed = false, nil, 0, false, false
	r.commands, r.rolledBack, r.withheld, r.mayHaveWritten = 0, 0, nil, false
	r.mu.Unlock()
}

// bufferAnswer says whether the start of the answer may be kept back.
func (r *run) bufferAnswer(on bool) {
	r.mu.Lock()
	r.buffered = on
	r.mu.Unlock()
}

// finish keeps the reader goroutine off the stream from now on.
func (r *run) finish() {
	r.mu.Lock()
	r.finished = true
	r.mu.Unlock()
}

// needsConfirmation reports whether the batch may have written and completed
// anything but rollbacks.
func (r *run) needsConfirmation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return (r.write() || r.mayHaveWritten) && r.commands > r.rolledBack
}

// relay implements sink.
func (r *run) relay(chunk []byte, final bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return errGone
	}
	if final && r.mayHaveWritten {
		return r.hold(chunk)
	}
	if r.write() && (final || (r.buffered && r.heldLen+len(chunk) <= earlyLimit)) {
		return r.hold(chunk)
	}
	if err := r.confirmRead(); err != nil {
		return err
	}
	if err := r.sendHeld(); err != nil {
		return err
	}
	return r.sendBackend(bytes.Clone(chunk))
}

// hold keeps a chunk until the batch is confirmed.
func (r *run) hold(chunk []byte) error {
	if r.heldLen+len(chunk) > maxHeld {
		return verdict.New(verdict.MayHaveRun, verdict.ResultTooBig, "more than %d bytes follow the first command of the batch", maxHeld)
	}
	r.heldLen += len(chunk)
	if n := len(r.held); n > 0 && len(r.held[n-1])+len(chunk) <= readBuffer {
		r.held[n-1] = append(r.held[n-1], chunk...)
		return nil
	}
	r.held = append(r.held, bytes.Clone(chunk))
	return nil
}

// confirmRead waits until a read on the primary may be answered.
func (r *run) confirmRead() error {
	if r.write() || r.term == 0 || r.readConfirmed {
		return nil
	}
	ctx, cancel := context.WithDeadline(r.stream.Context(), r.deadline)
	defer cancel()
	if err := r.h.opt.Authority.ConfirmRead(ctx, r.start.Group, r.term); err != nil {
		return unconfirmed(err)
	}
	r.readConfirmed = true
	return nil
}

// sendHeld sends what was kept back.
func (r *run) sendHeld() error {
	for _, chunk := range r.held {
		if err := r.sendBackend(chunk); err != nil {
			return err
		}
	}
	r.held, r.heldLen = nil, 0
	return nil
}

func (r *run) sendBackend(chunk []byte) error {
	r.relayed = true
	return r.stream.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Backend{Backend: chunk}})
}

// accept tells the entry host that the request holds a connection and how old
// the data is.
func (r *run) accept(age time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted || r.finished {
		return nil
	}
	r.accepted = true
	return r.stream.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Accepted{Accepted: &peerpb.Accepted{AgeUs: age.Microseconds()}}})
}

// sendReady releases what was kept back and ends the batch.
func (r *run) sendReady(status byte, token *peerpb.Token) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.sendHeld(); err != nil {
		return err
	}
	return r.stream.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Ready{Ready: &peerpb.Ready{Status: uint32(status), Token: token}}})
}

// statusRow implements sink. The status of a read is checked here, before the
// answer to the request behind it is read.
func (r *run) statusRow(s dbconn.Status) error {
	r.p.observe(s)
	age, err := r.check(s)
	if err != nil {
		r.post(event{kind: eventFailed, err: err})
		if r.statusAhead {
			return nil
		}
		return err
	}
	if err := r.accept(age); err != nil {
		return err
	}
	if r.statusAhead {
		r.post(event{kind: eventStatus, status: s})
	}
	return nil
}

// position implements sink.
func (r *run) position(s dbconn.Status) {
	r.p.observe(s)
	r.post(event{kind: eventStatus, status: s})
}

// check decides whether a read may be answered from a server with the status.
// It returns the age of the data.
func (r *run) check(s dbconn.Status) (time.Duration, error) {
	stale := func(format string, args ...any) error {
		return verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, format, args...)
	}
	if s.Role == dbconn.Primary {
		if r.term == 0 && r.statusAhead {
			term, err := r.h.opt.Authority.Writable(r.start.Group, r.start.Server)
			if err != nil {
				return 0, refusedBy(err)
			}
			r.term = term
		}
		if s.Term != r.term {
			return 0, stale("%s is primary of term %d, not %d", s.Server, s.Term, r.term)
		}
		if f := r.start.Floor; f != nil && f.Term > s.Term {
			return 0, stale("%s has term %d, the session needs %d", s.Server, s.Term, f.Term)
		}
		return 0, nil
	}
	if s.Role != dbconn.Replica || r.current() {
		return 0, stale("%s is %s", s.Server, s.Role)
	}
	r.term = 0
	return r.p.freshness(s, r.start)
}

// commandTag implements sink.
func (r *run) commandTag(tag []byte) {
	r.mu.Lock()
	r.commands++
	if string(tag) == "ROLLBACK" {
		r.rolledBack++
	}
	if !r.write() && mayWrite(tag, r.term != 0) {
		r.mayHaveWritten = true
	}
	r.mu.Unlock()
}

// mayWrite reports whether a command of a read may have written. The read-only
// default keeps single statements from writing, but a caller can ask for READ
// WRITE in its transaction, which takes effect on a primary.
func mayWrite(tag []byte, primary bool) bool {
	word, _, _ := bytes.Cut(tag, []byte(" "))
	switch string(word) {
	case "SELECT", "SHOW", "FETCH", "MOVE", "BEGIN", "START", "ROLLBACK", "SAVEPOINT", "RELEASE", "DECLARE", "CLOSE", "EXPLAIN":
		return false
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		return true
	default:
		return primary
	}
}

// serverError implements sink. A write that a server refused because it is not
// the primary any more is reported as "not run", so that it can run on the new
// primary.
func (r *run) serverError(m *pgproto3.ErrorResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.write() || r.inTx || r.relayed || r.commands > 0 || m.Code != sqlStateReadOnly {
		return false
	}
	r.withheld = m
	return true
}

// copyIn implements sink.
func (r *run) copyIn() {
	r.mu.Lock()
	r.buffered = false
	err := r.sendHeld()
	r.mu.Unlock()
	if err != nil {
		r.post(event{kind: eventFailed, err: err})
		return
	}
	r.post(event{kind: eventCopyIn})
}

// pong implements sink.
func (r *run) pong() { r.post(event{kind: eventPong}) }

// ready implements sink.
func (r *run) ready(txStatus byte) {
	if !r.write() {
		r.mu.Lock()
		err := r.confirmRead()
		r.mu.Unlock()
		if err != nil {
			r.post(event{kind: eventFailed, err: err})
			return
		}
	}
	r.post(event{kind: eventReady, txStatus: txStatus})
}

// broken implements sink.
func (r *run) broken(err error) { r.post(event{kind: eventFailed, err: connectionError(err)}) }

// connectionError gives the error of a connection its reason.
func connectionError(err error) error {
	if e := (*verdict.Error)(nil); errors.As(err, &e) {
		return e
	}
	return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "%v", err)
}

// post reports to the stream's goroutine.
func (r *run) post(ev event) {
	select {
	case r.events <- ev:
	case <-r.done:
	}
}
