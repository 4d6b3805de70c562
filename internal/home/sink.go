package home

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// maxHeldBytes limits the answer bytes of one stream that are held until a
	// commit is confirmed.
	maxHeldBytes = 4 << 20
	// maxEarlyHeldBytes limits the answer bytes of a write that are held before
	// its first completed command. It is large enough for the messages that
	// precede an error which is withheld and sent as a verdict, such as
	// ParseComplete.
	maxEarlyHeldBytes = 8 << 10
)

// answerState is the state of the answer to the stream's current batch.
type answerState struct {
	// mu serialises sends on the stream and guards the fields below.
	mu           sync.Mutex
	closed       bool
	acceptedSent bool
	// mayHoldEarly is set while the entry host expects no message before the
	// end of the batch.
	mayHoldEarly bool
	heldChunks   [][]byte
	heldBytes    int
	// answerSent is set once bytes of the batch's answer have been sent.
	answerSent bool
	// readConfirmed is set once the Authority has confirmed the batch's read on
	// the primary.
	readConfirmed bool
	// completedCommands counts the completed commands of the batch;
	// completedRollbacks counts the ROLLBACK commands among them.
	completedCommands, completedRollbacks int
	// mayHaveWritten is set when the batch of a read may have written and
	// therefore has to be confirmed like a write.
	mayHaveWritten bool
	// failed is set when the server has answered the batch with an error.
	failed bool
	// shape holds the sent part of the batch, and tags the completed commands. txStatus is
	// the transaction status before the batch.
	shape    batchShape
	tags     txTags
	txStatus byte
	// withheldResponse is an error that is sent to the entry host as a verdict
	// instead of being relayed.
	withheldResponse *pgproto3.ErrorResponse
}

// resetAnswerState clears the state of the previous batch.
func (r *runStream) resetAnswerState() {
	r.mu.Lock()
	r.mayHoldEarly, r.heldChunks, r.heldBytes, r.answerSent, r.readConfirmed = false, nil, 0, false, false
	r.completedCommands, r.completedRollbacks, r.withheldResponse, r.mayHaveWritten = 0, 0, nil, false
	r.failed, r.shape, r.tags = false, batchShape{}, txTags{}
	r.mu.Unlock()
}

// allowEarlyHold sets whether the answer may be held before the first completed
// command.
func (r *runStream) allowEarlyHold(allowed bool) {
	r.mu.Lock()
	r.mayHoldEarly = allowed
	r.mu.Unlock()
}

// closeAnswers stops the reader goroutine from sending on the stream.
func (r *runStream) closeAnswers() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
}

// needsConfirmation reports whether the batch may have written and has
// completed a command other than ROLLBACK.
func (r *runStream) needsConfirmation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return (r.isWrite() || r.mayHaveWritten) && r.completedCommands > r.completedRollbacks
}

// failedWithoutCommit reports whether the batch of a write, or the last one of a
// transaction, was answered with an error and needs no confirmation of a commit.
func (r *runStream) failedWithoutCommit(wasIdle bool) bool {
	if r.needsConfirmation() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed && (r.isWrite() || !wasIdle)
}

// relay implements sink.
func (r *runStream) relay(chunk []byte, commandCompleted bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errEntryDisconnected
	}
	if commandCompleted && r.mayHaveWritten {
		return r.holdChunk(chunk)
	}
	if r.isWrite() && (commandCompleted || (r.mayHoldEarly && r.heldBytes+len(chunk) <= maxEarlyHeldBytes)) {
		return r.holdChunk(chunk)
	}
	if err := r.confirmRead(); err != nil {
		return err
	}
	if err := r.sendHeld(); err != nil {
		return err
	}
	return r.sendBackend(bytes.Clone(chunk))
}

// holdChunk holds a chunk until the batch is confirmed.
func (r *runStream) holdChunk(chunk []byte) error {
	if r.heldBytes+len(chunk) > maxHeldBytes {
		return verdict.New(verdict.MayHaveRun, verdict.ResultTooBig, "more than %d bytes follow the first completed command of the batch", maxHeldBytes)
	}
	r.heldBytes += len(chunk)
	if n := len(r.heldChunks); n > 0 && len(r.heldChunks[n-1])+len(chunk) <= readBufferSize {
		r.heldChunks[n-1] = append(r.heldChunks[n-1], chunk...)
		return nil
	}
	r.heldChunks = append(r.heldChunks, bytes.Clone(chunk))
	return nil
}

// confirmRead blocks until the answer to a read on the primary may be sent.
func (r *runStream) confirmRead() error {
	if r.isWrite() || r.term == 0 || r.readConfirmed {
		return nil
	}
	ctx, cancel := context.WithDeadline(r.stream.Context(), r.deadline)
	defer cancel()
	if err := r.home.opt.Authority.ConfirmRead(ctx, r.start.Group, r.term); err != nil {
		return unconfirmedError(err)
	}
	r.readConfirmed = true
	return nil
}

// sendHeld sends the held chunks.
func (r *runStream) sendHeld() error {
	for _, chunk := range r.heldChunks {
		if err := r.sendBackend(chunk); err != nil {
			return err
		}
	}
	r.heldChunks, r.heldBytes = nil, 0
	return nil
}

func (r *runStream) sendBackend(chunk []byte) error {
	r.answerSent = true
	return r.stream.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Backend{Backend: chunk}})
}

// sendAccepted sends Accepted to the entry host, at most once for each stream.
// The message reports that the request has a connection, and the age of the
// server's data.
func (r *runStream) sendAccepted(age time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acceptedSent || r.closed {
		return nil
	}
	r.acceptedSent = true
	return r.stream.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Accepted{Accepted: &peerpb.Accepted{AgeUs: age.Microseconds()}}})
}

// sendReady sends the held chunks and ends the batch.
func (r *runStream) sendReady(status byte, token *peerpb.Token) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.sendHeld(); err != nil {
		return err
	}
	return r.stream.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Ready{Ready: &peerpb.Ready{Status: uint32(status), Token: token}}})
}

// handleStatusRow implements sink. It checks whether the server may serve the
// read. If the request was sent together with the status query, this happens
// before any part of its answer is relayed.
func (r *runStream) handleStatusRow(s dbconn.Status) error {
	r.pool.recordStatus(s)
	age, err := r.checkReadStatus(s)
	if err != nil {
		r.postEvent(event{kind: eventFailed, err: err})
		if r.awaitingStatusOnly {
			return nil
		}
		return err
	}
	if err := r.sendAccepted(age); err != nil {
		return err
	}
	if r.awaitingStatusOnly {
		r.postEvent(event{kind: eventStatus, status: s})
	}
	return nil
}

// handleCommitPosition implements sink.
func (r *runStream) handleCommitPosition(s dbconn.Status) {
	r.pool.recordStatus(s)
	r.postEvent(event{kind: eventStatus, status: s})
}

// checkReadStatus checks whether a server with the status may serve the read.
// It returns the age of the server's data.
func (r *runStream) checkReadStatus(s dbconn.Status) (time.Duration, error) {
	notFresh := func(format string, args ...any) error {
		return verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, format, args...)
	}
	if s.Role == dbconn.Primary {
		if r.term == 0 && r.awaitingStatusOnly {
			term, err := r.home.opt.Authority.WritableTerm(r.start.Group, r.start.Server)
			if err != nil {
				return 0, authorityRefusal(err)
			}
			r.term = term
		}
		if s.Term != r.term {
			return 0, notFresh("%s is primary of term %d, not %d", s.Server, s.Term, r.term)
		}
		if f := r.start.Floor; f != nil && f.Term > s.Term {
			return 0, notFresh("%s is in term %d, the session requires term %d", s.Server, s.Term, f.Term)
		}
		return 0, nil
	}
	if s.Role != dbconn.Replica || r.requiresPrimary() {
		return 0, notFresh("%s has role %s, which cannot serve this read", s.Server, s.Role)
	}
	r.term = 0
	return r.pool.checkFreshness(s, r.start)
}

// handleCommandTag implements sink.
func (r *runStream) handleCommandTag(tag []byte, index int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.shape.checkTag(tag, index, r.txStatus); err != nil {
		return err
	}
	r.tags.add(tag)
	r.completedCommands++
	if string(tag) == "ROLLBACK" {
		r.completedRollbacks++
	}
	if !r.isWrite() && commandMayWrite(tag, r.term != 0) {
		r.mayHaveWritten = true
	}
	return nil
}

// commandMayWrite reports whether a command of a read may have written. The
// read-only default rejects writes in single statements, but a client can start
// a transaction with READ WRITE, which takes effect on a primary.
func commandMayWrite(tag []byte, primary bool) bool {
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

// handleServerError implements sink. A write that the server rejected because
// it is no longer the primary gets the verdict NotRun, so that it can run on
// the new primary.
func (r *runStream) handleServerError(m *pgproto3.ErrorResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
	if !r.isWrite() || r.inTx || r.answerSent || r.completedCommands > 0 || m.Code != sqlStateReadOnly {
		return false
	}
	r.withheldResponse = m
	return true
}

// handleCopyIn implements sink.
func (r *runStream) handleCopyIn() {
	r.mu.Lock()
	r.mayHoldEarly = false
	err := r.sendHeld()
	r.mu.Unlock()
	if err != nil {
		r.postEvent(event{kind: eventFailed, err: err})
		return
	}
	r.postEvent(event{kind: eventCopyIn})
}

// handlePong implements sink.
func (r *runStream) handlePong() { r.postEvent(event{kind: eventPong}) }

// handleReady implements sink.
func (r *runStream) handleReady(txStatus byte, got *messageCounts) error {
	if err := r.checkAnswer(txStatus, got); err != nil {
		return err
	}
	if !r.isWrite() {
		r.mu.Lock()
		err := r.confirmRead()
		r.mu.Unlock()
		if err != nil {
			r.postEvent(event{kind: eventFailed, err: err})
			return nil
		}
	}
	r.postEvent(event{kind: eventReady, txStatus: txStatus})
	return nil
}

// checkAnswer checks whether the messages and the transaction status can answer the batch.
func (r *runStream) checkAnswer(txStatus byte, got *messageCounts) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.shape.checkEnd(got); err != nil {
		return err
	}
	if !r.tags.canFollow(r.txStatus, txStatus, r.failed) {
		return misplaced(fmt.Sprintf("transaction status %q after %q", txStatus, r.txStatus))
	}
	r.txStatus = txStatus
	return nil
}

// recordSent records messages of the batch before they are sent.
func (r *runStream) recordSent(messages []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shape.add(messages, r.words)
}

// handleConnLost implements sink.
func (r *runStream) handleConnLost(err error) {
	if m := asMisplaced(err); m != nil {
		m.requestID = r.start.RequestId
	}
	r.postEvent(event{kind: eventFailed, err: connectionError(err)})
}

// connectionError returns the verdict error that err wraps. Without one, it
// returns err as a verdict error with the reason connection_lost.
func connectionError(err error) error {
	if e := (*verdict.Error)(nil); errors.As(err, &e) {
		return e
	}
	return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "%v", err)
}

// postEvent sends an event to the stream's goroutine.
func (r *runStream) postEvent(ev event) {
	select {
	case r.events <- ev:
	case <-r.done:
	}
}
