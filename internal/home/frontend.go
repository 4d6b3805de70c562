package home

import (
	"bytes"
	"encoding/binary"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// maxFrontendMessage is the largest length of a frontend message that is
// accepted (design, section 10).
const maxFrontendMessage = 16 << 20

// headerSize is the size of a message's type byte and length field.
const headerSize = 5

// Types of the frontend messages that the home host inspects.
const (
	msgQuery        = 'Q'
	msgSync         = 'S'
	msgFunctionCall = 'F'
	msgFlush        = 'H'
	msgTerminate    = 'X'
	msgCopyData     = 'd'
	msgCopyDone     = 'c'
	msgCopyFail     = 'f'
)

// batchSplitter splits the frontend bytes of a stream into batches. A batch
// ends with Query, Sync or FunctionCall. The next batch is held until the
// backend server has answered the current one, because the position of a commit
// has to be queried between two batches.
type batchSplitter struct {
	pending []byte
	// pendingCopied is set when pending is a copy that may be appended to,
	// rather than the buffer of the entry host's message.
	pendingCopied bool
	// batchStarted is set once a message of the current batch has been taken.
	batchStarted bool
	// batchEnd is the type of the message that ended the current batch, or 0.
	batchEnd byte
	// copyInActive is set while the backend server accepts copy data.
	copyInActive bool
}

// add appends bytes from the entry host.
func (f *batchSplitter) add(b []byte) {
	if len(f.pending) == 0 {
		f.pending, f.pendingCopied = b, false
		return
	}
	if !f.pendingCopied {
		f.pending, f.pendingCopied = bytes.Clone(f.pending), true
	}
	f.pending = append(f.pending, b...)
}

// takeSendable returns the complete messages of the current batch that may be
// sent now. preparePrefix is called if the batch starts with a message of the
// extended query protocol; the bytes that it returns are sent before that
// message.
func (f *batchSplitter) takeSendable(preparePrefix func() []byte) ([]byte, error) {
	var out []byte
	from, at := 0, 0
	for len(f.pending)-at >= headerSize {
		kind := f.pending[at]
		length := binary.BigEndian.Uint32(f.pending[at+1:])
		if length < headerSize-1 {
			return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "frontend message %q has invalid length %d", kind, length)
		}
		if length > maxFrontendMessage {
			return nil, verdict.New(verdict.NotRun, verdict.MessageTooBig, "frontend message %q of %d bytes exceeds the size limit", kind, length)
		}
		size := int(length) + 1
		if len(f.pending)-at < size {
			break
		}
		if !f.batchStarted && isCopyMessage(kind) {
			// Drop copy data after a failed COPY; the backend server would
			// ignore it.
			out = append(out, f.pending[from:at]...)
			at += size
			from = at
			continue
		}
		if !f.belongsToBatch(kind) {
			break
		}
		if kind == msgTerminate {
			return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "Terminate message inside a Run stream")
		}
		if !f.batchStarted && kind == msgFlush {
			// There is nothing to flush. Dropping the Flush keeps the prefix
			// directly before the batch.
			out = append(out, f.pending[from:at]...)
			at += size
			from = at
			continue
		}
		if !f.batchStarted && isExtendedQuery(kind) {
			if prefix := preparePrefix(); len(prefix) > 0 {
				out = append(out, f.pending[from:at]...)
				out = append(out, prefix...)
				from = at
			}
		}
		f.batchStarted = true
		if kind == msgQuery || kind == msgSync || kind == msgFunctionCall {
			f.batchEnd = kind
		}
		at += size
	}
	if out == nil {
		out = f.pending[from:at:at]
	} else {
		out = append(out, f.pending[from:at]...)
	}
	f.pending = f.pending[at:]
	return out, nil
}

// belongsToBatch reports whether a message belongs to the current batch. After
// the message that ends the batch, only copy data does and, in a COPY of the
// extended query protocol, Flush and a second Sync: the backend server ignores
// a Sync that it reads while it accepts copy data.
func (f *batchSplitter) belongsToBatch(kind byte) bool {
	switch {
	case f.batchEnd == 0 || isCopyMessage(kind):
		return true
	case kind == msgSync || kind == msgFlush:
		return f.copyInActive && f.batchEnd == msgSync
	default:
		return false
	}
}

// beginNextBatch starts the next batch after ReadyForQuery.
func (f *batchSplitter) beginNextBatch() {
	f.batchStarted, f.batchEnd, f.copyInActive = false, 0, false
}

func isCopyMessage(kind byte) bool {
	return kind == msgCopyData || kind == msgCopyDone || kind == msgCopyFail
}

func isExtendedQuery(kind byte) bool {
	switch kind {
	case 'P', 'B', 'D', 'E', 'C':
		return true
	default:
		return false
	}
}
