package home

import (
	"bytes"
	"encoding/binary"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// maxMessage is the largest frontend message that is accepted (design, section 10).
const maxMessage = 16 << 20

// headerSize is the size of a message's type byte and length field.
const headerSize = 5

// Types of frontend messages that the home host distinguishes.
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

// frontend splits the frontend bytes of a stream into batches. A batch ends
// with Query, Sync or FunctionCall, and the next one is kept back until the
// backend server has answered it, because the position of a commit has to be
// asked for between two batches.
type frontend struct {
	pending []byte
	// owned is set when pending is not the entry host's message itself.
	owned bool
	// started is set while a message of the current batch was taken.
	started bool
	// endedBy is the type of the message that ended the current batch, else 0.
	endedBy byte
	// copyIn is set while the backend server accepts copy data.
	copyIn bool
}

// add appends bytes that the entry host sent.
func (f *frontend) add(b []byte) {
	if len(f.pending) == 0 {
		f.pending, f.owned = b, false
		return
	}
	if !f.owned {
		f.pending, f.owned = bytes.Clone(f.pending), true
	}
	f.pending = append(f.pending, b...)
}

// take returns the whole messages of the current batch that may be sent now.
// extended is called when the batch starts with a message of the extended
// protocol; the bytes that it returns are sent ahead of that message.
func (f *frontend) take(extended func() []byte) ([]byte, error) {
	var out []byte
	from, at := 0, 0
	for len(f.pending)-at >= headerSize {
		kind := f.pending[at]
		length := binary.BigEndian.Uint32(f.pending[at+1:])
		if length < headerSize-1 {
			return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "message %q has length %d", kind, length)
		}
		if length > maxMessage {
			return nil, verdict.New(verdict.NotRun, verdict.MessageTooBig, "message %q of %d bytes", kind, length)
		}
		size := int(length) + 1
		if len(f.pending)-at < size {
			break
		}
		if !f.started && isCopy(kind) {
			// Copy data after a failed COPY; the backend server would ignore it.
			out = append(out, f.pending[from:at]...)
			at += size
			from = at
			continue
		}
		if !f.accepts(kind) {
			break
		}
		if kind == msgTerminate {
			return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "Terminate inside a stream")
		}
		if !f.started && kind == msgFlush {
			// Nothing to flush; skipping it keeps the prefix ahead of the batch.
			out = append(out, f.pending[from:at]...)
			at += size
			from = at
			continue
		}
		if !f.started && isExtended(kind) {
			if prefix := extended(); len(prefix) > 0 {
				out = append(out, f.pending[from:at]...)
				out = append(out, prefix...)
				from = at
			}
		}
		f.started = true
		if kind == msgQuery || kind == msgSync || kind == msgFunctionCall {
			f.endedBy = kind
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

// accepts reports whether a message belongs to the current batch. After its
// end only copy data does and, in an extended COPY, the second Sync: the
// backend server ignores a Sync that it reads while it accepts copy data.
func (f *frontend) accepts(kind byte) bool {
	switch {
	case f.endedBy == 0 || isCopy(kind):
		return true
	case kind == msgSync || kind == msgFlush:
		return f.copyIn && f.endedBy == msgSync
	default:
		return false
	}
}

// answered starts the next batch after ReadyForQuery.
func (f *frontend) answered() { f.started, f.endedBy, f.copyIn = false, 0, false }

func isCopy(kind byte) bool {
	return kind == msgCopyData || kind == msgCopyDone || kind == msgCopyFail
}

func isExtended(kind byte) bool {
	switch kind {
	case 'P', 'B', 'D', 'E', 'C':
		return true
	default:
		return false
	}
}
