package session

import (
	"bytes"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Transaction status bytes of ReadyForQuery.
const (
	StatusIdle   byte = 'I'
	StatusOpen   byte = 'T'
	StatusFailed byte = 'E'
)

const (
	// flushBytes is the size at which collected frontend bytes are sent before
	// the batch is complete.
	flushBytes = 32 << 10
	// maxStatements bounds the prepared statements of one client. pgx keeps 512
	// by default.
	maxStatements = 1024
	// maxAnnounced bounds the named statements of one stream. It is half of what
	// a backend connection keeps, so that none of them is evicted meanwhile.
	maxAnnounced = 128
	// settingAnswers is the number of messages that answer one parameter of the
	// preamble: ParseComplete, BindComplete and CommandComplete.
	settingAnswers = 3
	headerBytes    = 5
)

// Step is what the entry host has to do after a client message.
type Step struct {
	// Send asks to forward the collected frontend bytes.
	Send bool
	// End says that the batch is complete: the backend server answers with
	// ReadyForQuery.
	End bool
	// Reply holds bytes for the client that need no backend server.
	Reply []byte
	// Close says that the client ended the session.
	Close bool
}

// Machine is the protocol state of one session. It is not safe for concurrent
// use.
type Machine struct {
	group    string
	readOnly bool
	floor    Token
	status   byte
	// preamble holds the messages that set the session's parameters.
	preamble []byte
	settings int

	statements map[string]*Statement

	// The fields below describe the open batch and the open stream.
	out       []byte
	runs      bool
	first     command
	started   bool
	skipping  bool
	local     bool
	localOut  []byte
	needed    []*Statement
	announced map[string]bool
	unnamed   *Statement
	expected  []expectation
	scan      scanner
	copyIn    bool
	simple    bool
	// aborting drops client messages until Sync after a refusal within a
	// transaction; replacement is sent instead of the backend server's error.
	aborting    bool
	replacement []byte
	// swallow is the number of answers to the preamble that are still owed.
	swallow int
}

// expectation is one ParseComplete or CloseComplete that the backend server
// still owes.
type expectation struct {
	closing  bool
	injected bool
	// name is what the message changed, previous what it replaced. Both are
	// unset for injected messages and for portals.
	name     string
	named    bool
	previous *Statement
}

// New returns the machine of a new session. On a read-only route every
// statement is a read.
func New(group string, readOnly bool) *Machine {
	return &Machine{group: group, readOnly: readOnly, status: StatusIdle}
}

// Floor returns the causality token that reads of the session have to cover.
func (m *Machine) Floor() Token { return m.floor }

// Raise raises the floor. A token of another group has no effect.
func (m *Machine) Raise(t Token) {
	if t.Group == m.group && (m.floor.IsZero() || m.floor.Before(t)) {
		m.floor = t
	}
}

// Status returns the transaction status that the client last saw.
func (m *Machine) Status() byte { return m.status }

// InBatch reports whether a batch has begun whose ReadyForQuery is still owed.
func (m *Machine) InBatch() bool {
	return m.started || m.skipping || len(m.out) > 0 || m.local
}

// CopyIn reports whether the backend server waits for copy data.
func (m *Machine) CopyIn() bool { return m.copyIn }

// Runs reports whether the open batch executes anything. A batch that only
// prepares and describes does not.
func (m *Machine) Runs() bool { return m.runs }

// Read reports whether the collected batch may run on a replica.
func (m *Machine) Read() bool { return m.readOnly || m.first == commandBeginReadOnly }

// Prepared returns the statements that the home host has to prepare before the
// collected bytes, and remembers them as announced on the stream.
func (m *Machine) Prepared() []*peerpb.Prepared {
	if len(m.needed) == 0 {
		return nil
	}
	out := make([]*peerpb.Prepared, 0, len(m.needed))
	for _, s := range m.needed {
		out = append(out, s.proto())
	}
	m.needed = nil
	return out
}

// Set makes every transaction start with the session parameter. It is for
// startup parameters, which the client expects to last.
func (m *Machine) Set(name, value string) {
	text := "SET " + name + " TO '" + strings.ReplaceAll(value, "'", "''") + "'"
	for _, msg := range []pgproto3.FrontendMessage{&pgproto3.Parse{Query: text}, &pgproto3.Bind{}, &pgproto3.Execute{}} {
		m.preamble, _ = msg.Encode(m.preamble)
	}
	m.settings++
}

// Take returns the collected frontend bytes.
func (m *Machine) Take() []byte {
	b := m.out
	if !m.started && m.status == StatusIdle && m.settings > 0 {
		b = append(bytes.Clone(m.preamble), b...)
		m.swallow = settingAnswers * m.settings
	}
	m.out = nil
	m.started = true
	return b
}

// Client takes one message of the client: its type and its body, which is valid
// only during the call. An error refuses the batch before any part of it was
// sent; Refuse must follow.
func (m *Machine) Client(typ byte, body []byte) (Step, *verdict.Error) {
	step, refused := m.client(typ, body)
	if refused != nil && (m.started || m.status != StatusIdle) {
		return m.abort(typ, refused), nil
	}
	return step, refused
}

// Abort drops the collected bytes of a batch that has been sent in part and makes
// the backend server abort it. The refusal replaces the backend server's error.
func (m *Machine) Abort(refused *verdict.Error, ended bool) {
	m.out = nil
	m.abort(0, refused)
	if ended {
		m.aborting = false
		m.out = appendMessage(m.out, 'S', nil)
		return
	}
	m.out = appendMessage(m.out, 'H', nil)
}

// abort makes the backend server fail the open transaction, and replaces its
// error by the refusal. A message that names a statement that does not exist has
// this effect in every transaction state.
func (m *Machine) abort(typ byte, refused *verdict.Error) Step {
	m.replacement = errorResponse("ERROR", refused)
	out, start := beginMessage(m.out, 'D')
	out = append(out, "S"+missingPrefix+"\x00"...)
	m.out = finishMessage(out, start)
	if typ == 'Q' {
		m.out = appendMessage(m.out, 'S', nil)
		return Step{Send: true, End: true}
	}
	m.aborting = true
	return Step{}
}

func (m *Machine) client(typ byte, body []byte) (Step, *verdict.Error) {
	switch typ {
	case 'X':
		return Step{Close: true}, nil
	case 'd', 'c', 'f':
		return m.copyMessage(typ, body)
	}
	if m.skipping {
		return m.skip(typ), nil
	}
	if m.aborting && typ != 'S' {
		return Step{}, nil
	}
	switch typ {
	case 'Q':
		return m.query(body)
	case 'P':
		return m.parse(body)
	case 'B':
		return m.bind(body)
	case 'D', 'C':
		return m.describeOrClose(typ, body)
	case 'E':
		if m.local {
			return m.localExecute(), nil
		}
		m.runs = true
		return m.forward(typ, body), nil
	case 'H':
		if m.local {
			return Step{}, nil
		}
		s := m.forward(typ, body)
		s.Send = true
		return s, nil
	case 'S':
		return m.sync(body), nil
	case 'F':
		return Step{}, verdict.New(verdict.NotRun, verdict.Unsupported, "function call messages are not supported")
	default:
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "invalid message type %q", typ)
	}
}

// copyMessage forwards copy data while the backend server waits for it. Copy
// messages that arrive after the copy has failed are dropped.
func (m *Machine) copyMessage(typ byte, body []byte) (Step, *verdict.Error) {
	if !m.copyIn {
		return Step{}, nil
	}
	s := m.forward(typ, body)
	if typ != 'd' {
		m.copyIn = false
		s.Send, s.End = true, m.simple
	}
	return s, nil
}

func (m *Machine) skip(typ byte) Step {
	if typ != 'S' {
		return Step{}
	}
	m.skipping = false
	m.endBatch()
	return Step{Reply: readyForQuery(m.status)}
}

func (m *Machine) forward(typ byte, body []byte) Step {
	m.out = appendMessage(m.out, typ, body)
	return Step{Send: len(m.out) >= flushBytes}
}

func (m *Machine) query(body []byte) (Step, *verdict.Error) {
	var q pgproto3.Query
	if err := q.Decode(body); err != nil {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed Query message")
	}
	kind := classify(q.String)
	if err := m.refused(kind); err != nil {
		return Step{}, err
	}
	if local := m.localFor(kind, q.String); local != nil && !m.InBatch() {
		return Step{Reply: append(local.run(m), readyForQuery(m.status)...)}, nil
	}
	if m.local {
		return Step{}, mixedBatch()
	}
	m.noteFirst(kind)
	m.runs, m.simple, m.unnamed = true, true, nil
	delete(m.statements, "")
	m.out = appendMessage(m.out, 'Q', body)
	return Step{Send: true, End: true}, nil
}

func (m *Machine) refused(kind command) *verdict.Error {
	switch {
	case kind == commandUnsupported:
		return verdict.New(verdict.NotRun, verdict.Unsupported, "the statement needs session state, which a proxied connection does not keep")
	case kind == commandSessionObject && m.status == StatusIdle && m.first != commandBegin && m.first != commandBeginReadOnly:
		return verdict.New(verdict.NotRun, verdict.Unsupported, "temporary objects and cursors are available within a transaction only")
	case kind == commandReadWrite && m.Read():
		return verdict.New(verdict.NotRun, verdict.Unsupported, "read-write mode is not available on a read-only route or transaction")
	}
	return nil
}

func (m *Machine) noteFirst(kind command) {
	if m.status == StatusIdle && len(m.out) == 0 && !m.started {
		m.first = kind
	}
}

func (m *Machine) parse(body []byte) (Step, *verdict.Error) {
	var p pgproto3.Parse
	if err := p.Decode(body); err != nil {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed Parse message")
	}
	kind := classify(p.Query)
	if err := m.refused(kind); err != nil {
		return Step{}, err
	}
	if len(m.statements) >= maxStatements {
		return Step{}, verdict.New(verdict.NotRun, verdict.Unsupported, "more than %d prepared statements", maxStatements)
	}
	s := newStatement(p.Query, p.ParameterOIDs)
	if s.local = m.localFor(kind, p.Query); s.local != nil {
		return m.localParse(p.Name, s)
	}
	if m.local {
		return Step{}, mixedBatch()
	}
	m.noteFirst(kind)
	m.expected = append(m.expected, expectation{name: p.Name, named: true, previous: m.statements[p.Name]})
	m.store(p.Name, s)
	return m.parseUnnamed(s)
}

// parseUnnamed makes s the unnamed statement of the backend connection.
// Statements get a name there only when they are announced, so that a text that
// does not parse never occupies one.
func (m *Machine) parseUnnamed(s *Statement) (Step, *verdict.Error) {
	out, err := (&pgproto3.Parse{Query: s.text.Value(), ParameterOIDs: s.oids}).Encode(m.out)
	if err != nil {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed Parse message")
	}
	m.out, m.unnamed = out, s
	return Step{Send: len(m.out) >= flushBytes}, nil
}

func (m *Machine) store(name string, s *Statement) {
	if m.statements == nil {
		m.statements = make(map[string]*Statement)
	}
	m.statements[name] = s
}

// resolve returns the backend name for a statement of the client. A statement
// that can no longer be announced, because a part of the batch has been sent, is
// prepared inline as the unnamed statement.
func (m *Machine) resolve(name string) (string, *verdict.Error) {
	s := m.statements[name]
	switch {
	case s == nil:
		return missingPrefix + name, nil
	case s.local != nil:
		return "", mixedBatch()
	case m.unnamed == s:
		return "", nil
	case m.announced[s.backend]:
		return s.backend, nil
	case !m.started && len(m.announced) < maxAnnounced:
		m.announce(s)
		return s.backend, nil
	}
	m.expected = append(m.expected, expectation{injected: true})
	_, err := m.parseUnnamed(s)
	return "", err
}

// announce adds s to the statements that the home host prepares.
func (m *Machine) announce(s *Statement) {
	if m.announced == nil {
		m.announced = make(map[string]bool)
	}
	m.announced[s.backend] = true
	m.needed = append(m.needed, s)
}

func (m *Machine) bind(body []byte) (Step, *verdict.Error) {
	portal := bytes.IndexByte(body, 0)
	if portal < 0 {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed Bind message")
	}
	rest := body[portal+1:]
	end := bytes.IndexByte(rest, 0)
	if end < 0 {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed Bind message")
	}
	client := string(rest[:end])
	if s := m.statements[client]; s != nil && s.local != nil {
		return m.localBind(s)
	}
	if m.local {
		return Step{}, mixedBatch()
	}
	if s := m.statements[client]; s != nil {
		m.noteFirst(classify(s.text.Value()))
	}
	name, refused := m.resolve(client)
	if refused != nil {
		return Step{}, refused
	}
	out, start := beginMessage(m.out, 'B')
	out = append(out, body[:portal+1]...)
	out = append(out, name...)
	out = append(out, rest[end:]...)
	m.out = finishMessage(out, start)
	return Step{Send: len(m.out) >= flushBytes}, nil
}

// describeOrClose rewrites statement names; portals belong to the backend
// connection that the batch runs on and pass unchanged.
func (m *Machine) describeOrClose(typ byte, body []byte) (Step, *verdict.Error) {
	if len(body) < 2 || body[len(body)-1] != 0 {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed message of type %q", typ)
	}
	name := string(body[1 : len(body)-1])
	if m.local {
		return m.localDescribeOrClose(typ, body[0], name)
	}
	if body[0] != 'S' {
		if typ == 'C' {
			m.expected = append(m.expected, expectation{closing: true})
		}
		return m.forward(typ, body), nil
	}
	backend := ""
	if typ == 'C' {
		m.expected = append(m.expected, expectation{closing: true, name: name, named: true, previous: m.statements[name]})
		// Backend names are shared between sessions and stay. Closing the
		// unnamed statement yields the CloseComplete that the client expects.
		delete(m.statements, name)
		m.unnamed = nil
	} else {
		var refused *verdict.Error
		if backend, refused = m.resolve(name); refused != nil {
			return Step{}, refused
		}
	}
	out, start := beginMessage(m.out, typ)
	out = append(out, 'S')
	out = append(out, backend...)
	out = append(out, 0)
	m.out = finishMessage(out, start)
	return Step{Send: len(m.out) >= flushBytes}, nil
}

func (m *Machine) sync(body []byte) Step {
	if m.local || !m.InBatch() {
		reply := append(m.localOut, readyForQuery(m.status)...)
		m.endBatch()
		return Step{Reply: reply}
	}
	m.simple = false
	s := m.forward('S', body)
	s.Send, s.End = true, true
	return s
}

// Refuse ends the batch after a refusal or a failure. It returns the bytes for
// the client: the error and, when the client waits for it, ReadyForQuery. The
// collected bytes are dropped. The caller must not use it inside an open
// transaction.
func (m *Machine) Refuse(e *verdict.Error, ended bool) []byte {
	reply := errorResponse("ERROR", e)
	m.revert()
	m.status = StatusIdle
	m.endStream()
	m.endBatch()
	if ended {
		return append(reply, readyForQuery(m.status)...)
	}
	m.skipping = true
	return reply
}

// revert undoes the changes of Parse and Close messages that the backend server
// did not confirm. The unnamed statement is dropped: a Parse that fails destroys
// it, and one that was skipped cannot be told from it.
func (m *Machine) revert() {
	unparsed := false
	for i := len(m.expected) - 1; i >= 0; i-- {
		e := m.expected[i]
		unparsed = unparsed || e.named && e.name == "" && !e.closing
		switch {
		case !e.named:
		case e.previous == nil:
			delete(m.statements, e.name)
		default:
			m.store(e.name, e.previous)
		}
	}
	if unparsed {
		delete(m.statements, "")
	}
	m.expected = nil
}

// Ready takes the end of a batch: the transaction status and the token of a
// commit. It returns the bytes for the client.
func (m *Machine) Ready(status byte, token Token) []byte {
	var reply []byte
	if !token.IsZero() {
		m.Raise(token)
		reply = parameterStatus(tokenSetting, token.String())
	}
	m.status = status
	m.revert()
	m.endBatch()
	if status == StatusIdle {
		m.endStream()
	}
	return append(reply, readyForQuery(status)...)
}

func (m *Machine) endBatch() {
	m.out, m.runs, m.started, m.copyIn, m.simple = nil, false, false, false, false
	m.local, m.localOut, m.unnamed = false, nil, nil
	m.aborting, m.replacement, m.swallow = false, nil, 0
	if m.status == StatusIdle {
		m.first = commandOther
	}
}

func (m *Machine) endStream() {
	m.first, m.announced, m.needed = commandOther, nil, nil
	m.scan = scanner{}
}

func appendMessage(dst []byte, typ byte, body []byte) []byte {
	dst, start := beginMessage(dst, typ)
	return finishMessage(append(dst, body...), start)
}

func beginMessage(dst []byte, typ byte) (out []byte, start int) {
	start = len(dst)
	return append(dst, typ, 0, 0, 0, 0), start
}

func finishMessage(dst []byte, start int) []byte {
	binary.BigEndian.PutUint32(dst[start+1:], uint32(len(dst)-start-1))
	return dst
}
