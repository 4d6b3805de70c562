package session

import "encoding/binary"

// scanner finds the message boundaries in backend bytes that arrive in arbitrary
// chunks.
type scanner struct {
	header [headerBytes]byte
	// headerRead is the number of received bytes of the current header. bodyLeft is
	// the number of bytes of the current body that have not been received yet.
	headerRead int
	bodyLeft   int
	// forward reports whether the client receives the current message.
	forward bool
}

// MidMessage reports whether ProcessBackendBytes has returned only a part of a
// backend message. No other message can be sent to the client before the rest of it.
func (m *Machine) MidMessage() bool { return m.scanner.bodyLeft > 0 && m.scanner.forward }

// ProcessBackendBytes processes a chunk of backend bytes and returns the bytes to
// send to the client. The result may share memory with chunk.
func (m *Machine) ProcessBackendBytes(chunk []byte) []byte {
	if m.scanner.headerRead == 0 && m.scanner.bodyLeft == 0 && m.passUnchanged(chunk) {
		return chunk
	}
	out := make([]byte, 0, len(chunk)+headerBytes)
	s := &m.scanner
	for len(chunk) > 0 {
		if s.bodyLeft > 0 {
			n := min(s.bodyLeft, len(chunk))
			if s.forward {
				out = append(out, chunk[:n]...)
			}
			s.bodyLeft -= n
			chunk = chunk[n:]
			continue
		}
		n := copy(s.header[s.headerRead:], chunk)
		s.headerRead += n
		chunk = chunk[n:]
		if s.headerRead < headerBytes {
			break
		}
		s.headerRead = 0
		s.bodyLeft = max(0, int(binary.BigEndian.Uint32(s.header[1:]))-4)
		if s.header[0] == 'E' && m.replacementError != nil {
			out = append(out, m.replacementError...)
		}
		if s.forward = m.trackBackendMessage(s.header[0]); s.forward {
			out = append(out, s.header[:]...)
		}
	}
	return out
}

// passUnchanged processes a chunk that the client receives unchanged. It reports
// false, and changes no state, when the chunk ends within a message or contains a
// message that may have to be dropped or replaced.
func (m *Machine) passUnchanged(chunk []byte) bool {
	if m.preambleAnswersLeft > 0 {
		return false
	}
	for rest := chunk; len(rest) > 0; {
		if len(rest) < headerBytes || isDropped(rest[0]) || rest[0] == 'E' && m.replacementError != nil || rest[0] == '1' && m.hasInjectedParse() {
			return false
		}
		size := 1 + int(binary.BigEndian.Uint32(rest[1:]))
		if size < headerBytes || size > len(rest) {
			return false
		}
		rest = rest[size:]
	}
	for rest := chunk; len(rest) > 0; rest = rest[1+int(binary.BigEndian.Uint32(rest[1:])):] {
		m.trackBackendMessage(rest[0])
	}
	return true
}

func (m *Machine) hasInjectedParse() bool {
	for _, e := range m.pendingCompletions {
		if e.injected {
			return true
		}
	}
	return false
}

// isDropped reports whether messages of the type are never forwarded to the client.
// NotificationResponse has no receiver because LISTEN is refused. ReadyForQuery is
// dropped because the home host reports the end of a batch in a message of its own,
// see Machine.EndBatch.
func isDropped(typ byte) bool { return typ == 'A' || typ == 'Z' }

// trackBackendMessage updates the state for a backend message of the type and reports
// whether the message is forwarded to the client.
func (m *Machine) trackBackendMessage(typ byte) bool {
	if m.preambleAnswersLeft > 0 {
		switch typ {
		case '1', '2', 'C':
			m.preambleAnswersLeft--
			return false
		case 'E':
			m.preambleAnswersLeft = 0
		}
	}
	switch typ {
	case '1', '3':
		if len(m.pendingCompletions) > 0 && m.pendingCompletions[0].isClose == (typ == '3') {
			e := m.pendingCompletions[0]
			m.pendingCompletions = m.pendingCompletions[1:]
			return !e.injected
		}
	case 'E':
		m.revertUnconfirmed()
		m.copyIn = false
		if m.replacementError != nil {
			m.replacementError = nil
			return false
		}
	case 'G':
		m.copyIn = true
	}
	return !isDropped(typ)
}
