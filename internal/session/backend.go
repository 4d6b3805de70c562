package session

import "encoding/binary"

// scanner finds message boundaries in a stream of backend bytes that arrives in
// arbitrary chunks.
type scanner struct {
	header  [headerBytes]byte
	have    int
	body    int
	forward bool
}

// MidMessage reports whether the client has seen only a part of a message, so
// that nothing else can be sent to it.
func (m *Machine) MidMessage() bool { return m.scan.body > 0 && m.scan.forward }

// Backend takes backend bytes and returns those for the client. The result may
// share memory with chunk.
func (m *Machine) Backend(chunk []byte) []byte {
	if m.scan.have == 0 && m.scan.body == 0 && m.passUnchanged(chunk) {
		return chunk
	}
	out := make([]byte, 0, len(chunk)+headerBytes)
	s := &m.scan
	for len(chunk) > 0 {
		if s.body > 0 {
			n := min(s.body, len(chunk))
			if s.forward {
				out = append(out, chunk[:n]...)
			}
			s.body -= n
			chunk = chunk[n:]
			continue
		}
		n := copy(s.header[s.have:], chunk)
		s.have += n
		chunk = chunk[n:]
		if s.have < headerBytes {
			break
		}
		s.have = 0
		s.body = max(0, int(binary.BigEndian.Uint32(s.header[1:]))-4)
		if s.header[0] == 'E' && m.replacement != nil {
			out = append(out, m.replacement...)
		}
		if s.forward = m.message(s.header[0]); s.forward {
			out = append(out, s.header[:]...)
		}
	}
	return out
}

// passUnchanged walks over a chunk of whole messages. It reports false, without
// an effect, when the chunk ends within a message or holds one that is dropped.
func (m *Machine) passUnchanged(chunk []byte) bool {
	if m.swallow > 0 {
		return false
	}
	for rest := chunk; len(rest) > 0; {
		if len(rest) < headerBytes || dropped(rest[0]) || rest[0] == 'E' && m.replacement != nil || rest[0] == '1' && m.injectedPending() {
			return false
		}
		size := 1 + int(binary.BigEndian.Uint32(rest[1:]))
		if size < headerBytes || size > len(rest) {
			return false
		}
		rest = rest[size:]
	}
	for rest := chunk; len(rest) > 0; rest = rest[1+int(binary.BigEndian.Uint32(rest[1:])):] {
		m.message(rest[0])
	}
	return true
}

func (m *Machine) injectedPending() bool {
	for _, e := range m.expected {
		if e.injected {
			return true
		}
	}
	return false
}

// dropped names messages that no client of a proxied session receives: its
// LISTEN is refused, and ReadyForQuery comes as a Ready message.
func dropped(typ byte) bool { return typ == 'A' || typ == 'Z' }

// message notes a backend message and reports whether the client gets it.
func (m *Machine) message(typ byte) bool {
	if m.swallow > 0 {
		switch typ {
		case '1', '2', 'C':
			m.swallow--
			return false
		case 'E':
			m.swallow = 0
		}
	}
	switch typ {
	case '1', '3':
		if len(m.expected) > 0 && m.expected[0].closing == (typ == '3') {
			e := m.expected[0]
			m.expected = m.expected[1:]
			return !e.injected
		}
	case 'E':
		m.revert()
		m.copyIn = false
		if m.replacement != nil {
			m.replacement = nil
			return false
		}
	case 'G':
		m.copyIn = true
	}
	return !dropped(typ)
}
