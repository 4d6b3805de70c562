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
	// flushBytes is the number of collected frontend bytes at which they are sent
	// although the batch is not complete.
	flushBytes = 32 << 10
	// maxStatements limits the prepared statements of one client. The statement
	// cache of pgx holds 512 by default.
	maxStatements = 1024
	// maxNamedStatements limits the named statements of one stream. It is half of
	// the number that a backend connection keeps, so that none of them is evicted
	// while the stream is open.
	maxNamedStatements = 128
	// answersPerSetting is the number of backend messages that answer one parameter
	// of the preamble: ParseComplete, BindComplete and CommandComplete.
	answersPerSetting = 3
	headerBytes       = 5
)

// Step is the action that the entry host must take after a client message.
type Step struct {
	// Send means that the collected frontend bytes have to be sent.
	Send bool
	// End means that the batch is complete: the backend server answers it with
	// ReadyForQuery.
	End bool
	// Reply holds bytes for the client that the proxy produced itself.
	Reply []byte
	// Close means that the client ended the session.
	Close bool
}

// Machine is the protocol state of one session. It is not safe for concurrent
// use.
type Machine struct {
	group    string
	readOnly bool
	floor    Token
	status   byte
	// preamble holds the messages that set the session parameters; settingCount is
	// the number of parameters.
	preamble     []byte
	settingCount int

	statements map[string]*Statement

	// The fields below describe the current batch and the current stream.

	// collected holds the frontend bytes of the batch that have not been sent.
	collected    []byte
	executes     bool
	firstCommand command
	// partSent is set once a part of the batch has been sent.
	partSent      bool
	skipUntilSync bool
	// localBatch is set when the entry host answers the batch itself; localReplies
	// holds the answers that the client receives at Sync.
	localBatch   bool
	localReplies []byte
	// toPrepare holds the statements that the home host has to prepare before the
	// next bytes. prepareRequested holds the backend names of all statements for which
	// the stream has requested this.
	toPrepare        []*Statement
	prepareRequested map[string]bool
	// unnamed is the statement that the batch prepared last as the unnamed statement
	// of the backend connection, or the bound statement of a local batch.
	unnamed            *Statement
	pendingCompletions []pendingCompletion
	scanner            scanner
	copyIn             bool
	simpleQuery        bool
	// While aborting is set, client messages up to Sync are dropped, because a
	// message was refused within a transaction or after a part of the batch was sent.
	// replacementError is sent to the client instead of the backend server's error.
	aborting         bool
	replacementError []byte
	// preambleAnswersLeft is the number of backend messages still expected in answer
	// to the preamble. The client does not receive them.
	preambleAnswersLeft int
}

// pendingCompletion is a ParseComplete or CloseComplete that the backend server has
// not sent yet.
type pendingCompletion struct {
	isClose bool
	// injected is set for the answer to a Parse that the proxy added; the client
	// does not receive it.
	injected bool
	// name is the client's name of the statement that the message changed, and
	// previous the statement that had the name before. Both are unset for injected
	// messages and for portals.
	name     string
	hasName  bool
	previous *Statement
}

// New returns the Machine of a new session on a route to the group. On a read-only
// route every statement is a read.
func New(group string, readOnly bool) *Machine {
	return &Machine{group: group, readOnly: readOnly, status: StatusIdle}
}

// Floor returns the causality token that reads of the session must cover.
func (m *Machine) Floor() Token { return m.floor }

// RaiseFloor raises the floor to t. A token of another group or one that is not newer
// than the floor has no effect.
func (m *Machine) RaiseFloor(t Token) {
	if t.Group == m.group && (m.floor.IsZero() || m.floor.Before(t)) {
		m.floor = t
	}
}

// Status returns the transaction status last reported to the client.
func (m *Machine) Status() byte { return m.status }

// InBatch reports whether a batch has begun and its ReadyForQuery has not been sent
// to the client.
func (m *Machine) InBatch() bool {
	return m.partSent || m.skipUntilSync || len(m.collected) > 0 || m.localBatch
}

// CopyIn reports whether the backend server waits for copy data.
func (m *Machine) CopyIn() bool { return m.copyIn }

// ExecutesStatement reports whether the current batch executes a statement. A batch
// that only prepares and describes statements does not.
func (m *Machine) ExecutesStatement() bool { return m.executes }

// MayRunOnReplica reports whether the collected batch may run on a replica.
func (m *Machine) MayRunOnReplica() bool { return m.readOnly || m.firstCommand == commandBeginReadOnly }

// TakeStatementsToPrepare returns the statements that the home host has to prepare
// before it sends the collected bytes. A statement is returned once for each
// stream.
func (m *Machine) TakeStatementsToPrepare() []*peerpb.Prepared {
	if len(m.toPrepare) == 0 {
		return nil
	}
	out := make([]*peerpb.Prepared, 0, len(m.toPrepare))
	for _, s := range m.toPrepare {
		out = append(out, s.proto())
	}
	m.toPrepare = nil
	return out
}

// SetParameter adds a session parameter, which is set again at the start of every
// stream. It is used for startup parameters, which have to stay in effect for the
// whole session.
func (m *Machine) SetParameter(name, value string) {
	text := "SET " + name + " TO '" + strings.ReplaceAll(value, "'", "''") + "'"
	for _, msg := range []pgproto3.FrontendMessage{&pgproto3.Parse{Query: text}, &pgproto3.Bind{}, &pgproto3.Execute{}} {
		m.preamble, _ = msg.Encode(m.preamble)
	}
	m.settingCount++
}

// TakeFrontendBytes returns the collected frontend bytes and removes them from the
// Machine. The first bytes of a stream are preceded by the preamble.
func (m *Machine) TakeFrontendBytes() []byte {
	b := m.collected
	if !m.partSent && m.status == StatusIdle && m.settingCount > 0 {
		b = append(bytes.Clone(m.preamble), b...)
		m.preambleAnswersLeft = answersPerSetting * m.settingCount
	}
	m.collected = nil
	m.partSent = true
	return b
}

// ProcessClientMessage processes one client message, given by its type and its
// body; body is not used after the call. An error means that the batch is refused,
// that no part of it was sent, and that no transaction is open; the caller must then
// call Refuse.
func (m *Machine) ProcessClientMessage(typ byte, body []byte) (Step, *verdict.Error) {
	step, refused := m.handleClientMessage(typ, body)
	if refused != nil && (m.partSent || m.status != StatusIdle) {
		return m.abort(typ, refused), nil
	}
	return step, refused
}

// RefuseMessage refuses one client message before it is processed, in the same way as
// ProcessClientMessage. A message that would be skipped is skipped.
func (m *Machine) RefuseMessage(typ byte, body []byte, refused *verdict.Error) (Step, *verdict.Error) {
	switch {
	case m.skipUntilSync || m.aborting || m.copyIn:
		return m.ProcessClientMessage(typ, body)
	case m.partSent || m.status != StatusIdle:
		return m.abort(typ, refused), nil
	}
	return Step{}, refused
}

// StatementCount returns the number of prepared statements.
func (m *Machine) StatementCount() int { return len(m.statements) }

// StatementBytes returns the size of the texts of the prepared statements.
func (m *Machine) StatementBytes() int {
	size := 0
	for name, s := range m.statements {
		size += len(name) + len(s.text.Value())
	}
	return size
}

// Abort drops the collected bytes of a batch of an open stream and collects messages
// that make the backend server abort the batch. The client receives the refusal
// instead of the backend server's error. ended is set if the client has ended the
// batch.
func (m *Machine) Abort(refused *verdict.Error, ended bool) {
	m.collected = nil
	m.abort(0, refused)
	if ended {
		m.aborting = false
		m.collected = appendMessage(m.collected, 'S', nil)
		return
	}
	m.collected = appendMessage(m.collected, 'H', nil)
}

// abort makes the backend server fail the batch and an open transaction, and replaces
// its error with the refusal. It collects a Describe of a statement that does not
// exist, which has this effect in every transaction state.
func (m *Machine) abort(typ byte, refused *verdict.Error) Step {
	m.replacementError = errorResponse("ERROR", refused)
	out, start := beginMessage(m.collected, 'D')
	out = append(out, "S"+missingPrefix+"\x00"...)
	m.collected = finishMessage(out, start)
	if typ == 'Q' {
		m.collected = appendMessage(m.collected, 'S', nil)
		return Step{Send: true, End: true}
	}
	m.aborting = true
	return Step{}
}

func (m *Machine) handleClientMessage(typ byte, body []byte) (Step, *verdict.Error) {
	switch typ {
	case 'X':
		return Step{Close: true}, nil
	case 'd', 'c', 'f':
		return m.copyMessage(typ, body)
	}
	if m.skipUntilSync {
		return m.skipMessage(typ), nil
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
		if m.localBatch {
			return m.localExecute(), nil
		}
		m.executes = true
		return m.forward(typ, body), nil
	case 'H':
		if m.localBatch {
			return Step{}, nil
		}
		s := m.forward(typ, body)
		s.Send = true
		return s, nil
	case 'S':
		return m.sync(body), nil
	case 'F':
		return Step{}, verdict.New(verdict.NotRun, verdict.UnsupportedSessionState, "function call messages are not supported")
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
		s.Send, s.End = true, m.simpleQuery
	}
	return s, nil
}

func (m *Machine) skipMessage(typ byte) Step {
	if typ != 'S' {
		return Step{}
	}
	m.skipUntilSync = false
	m.resetBatch()
	return Step{Reply: readyForQuery(m.status)}
}

func (m *Machine) forward(typ byte, body []byte) Step {
	m.collected = appendMessage(m.collected, typ, body)
	return Step{Send: len(m.collected) >= flushBytes}
}

func (m *Machine) query(body []byte) (Step, *verdict.Error) {
	var q pgproto3.Query
	if err := q.Decode(body); err != nil {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed Query message")
	}
	kind := classify(q.String)
	if err := m.checkSupported(kind); err != nil {
		return Step{}, err
	}
	if local := m.localStatementFor(kind, q.String); local != nil && !m.InBatch() {
		return Step{Reply: append(local.apply(m), readyForQuery(m.status)...)}, nil
	}
	if m.localBatch {
		return Step{}, mixedBatchError()
	}
	m.recordFirstCommand(kind)
	m.executes, m.simpleQuery, m.unnamed = true, true, nil
	delete(m.statements, "")
	m.collected = appendMessage(m.collected, 'Q', body)
	return Step{Send: true, End: true}, nil
}

func (m *Machine) checkSupported(kind command) *verdict.Error {
	switch {
	case kind == commandUnsupported:
		return verdict.New(verdict.NotRun, verdict.UnsupportedSessionState, "the statement needs session state, which a proxied connection does not keep")
	case kind == commandSessionObject && m.status == StatusIdle && m.firstCommand != commandBegin && m.firstCommand != commandBeginReadOnly:
		return verdict.New(verdict.NotRun, verdict.UnsupportedSessionState, "temporary objects and cursors are available within a transaction only")
	case kind == commandReadWrite && m.MayRunOnReplica():
		return verdict.New(verdict.NotRun, verdict.UnsupportedSessionState, "read-write mode is not available on a read-only route or transaction")
	}
	return nil
}

func (m *Machine) recordFirstCommand(kind command) {
	if m.status == StatusIdle && len(m.collected) == 0 && !m.partSent {
		m.firstCommand = kind
	}
}

func (m *Machine) parse(body []byte) (Step, *verdict.Error) {
	var p pgproto3.Parse
	if err := p.Decode(body); err != nil {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed Parse message")
	}
	kind := classify(p.Query)
	if err := m.checkSupported(kind); err != nil {
		return Step{}, err
	}
	if len(m.statements) >= maxStatements {
		return Step{}, verdict.New(verdict.NotRun, verdict.UnsupportedSessionState, "more than %d prepared statements", maxStatements)
	}
	s := newStatement(p.Query, p.ParameterOIDs)
	if s.local = m.localStatementFor(kind, p.Query); s.local != nil {
		return m.localParse(p.Name, s)
	}
	if m.localBatch {
		return Step{}, mixedBatchError()
	}
	m.recordFirstCommand(kind)
	m.pendingCompletions = append(m.pendingCompletions, pendingCompletion{name: p.Name, hasName: true, previous: m.statements[p.Name]})
	m.storeStatement(p.Name, s)
	return m.parseUnnamed(s)
}

// parseUnnamed prepares s as the unnamed statement of the backend connection. Only
// statements passed to requestPrepare get a name on the backend connection, so that a
// text that does not parse never occupies a name.
func (m *Machine) parseUnnamed(s *Statement) (Step, *verdict.Error) {
	out, err := (&pgproto3.Parse{Query: s.text.Value(), ParameterOIDs: s.oids}).Encode(m.collected)
	if err != nil {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed Parse message")
	}
	m.collected, m.unnamed = out, s
	return Step{Send: len(m.collected) >= flushBytes}, nil
}

func (m *Machine) storeStatement(name string, s *Statement) {
	if m.statements == nil {
		m.statements = make(map[string]*Statement)
	}
	m.statements[name] = s
}

// resolveBackendName returns the backend name of a client's statement. The home host
// can prepare a statement only before the first bytes of the batch are sent, and at
// most maxNamedStatements for one stream. Any other statement is prepared within the
// batch as the unnamed statement.
func (m *Machine) resolveBackendName(name string) (string, *verdict.Error) {
	s := m.statements[name]
	switch {
	case s == nil:
		return missingPrefix + name, nil
	case s.local != nil:
		return "", mixedBatchError()
	case m.unnamed == s:
		return "", nil
	case m.prepareRequested[s.backendName]:
		return s.backendName, nil
	case !m.partSent && len(m.prepareRequested) < maxNamedStatements:
		m.requestPrepare(s)
		return s.backendName, nil
	}
	m.pendingCompletions = append(m.pendingCompletions, pendingCompletion{injected: true})
	_, err := m.parseUnnamed(s)
	return "", err
}

// requestPrepare adds s to the statements that the home host has to prepare.
func (m *Machine) requestPrepare(s *Statement) {
	if m.prepareRequested == nil {
		m.prepareRequested = make(map[string]bool)
	}
	m.prepareRequested[s.backendName] = true
	m.toPrepare = append(m.toPrepare, s)
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
	clientName := string(rest[:end])
	if s := m.statements[clientName]; s != nil && s.local != nil {
		return m.localBind(s)
	}
	if m.localBatch {
		return Step{}, mixedBatchError()
	}
	if s := m.statements[clientName]; s != nil {
		m.recordFirstCommand(classify(s.text.Value()))
	}
	name, refused := m.resolveBackendName(clientName)
	if refused != nil {
		return Step{}, refused
	}
	out, start := beginMessage(m.collected, 'B')
	out = append(out, body[:portal+1]...)
	out = append(out, name...)
	out = append(out, rest[end:]...)
	m.collected = finishMessage(out, start)
	return Step{Send: len(m.collected) >= flushBytes}, nil
}

// describeOrClose rewrites the statement name of a Describe or Close message. Names
// of portals are not changed, because portals belong to the backend connection on
// which the batch runs.
func (m *Machine) describeOrClose(typ byte, body []byte) (Step, *verdict.Error) {
	if len(body) < 2 || body[len(body)-1] != 0 {
		return Step{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed message of type %q", typ)
	}
	name := string(body[1 : len(body)-1])
	if m.localBatch {
		return m.localDescribeOrClose(typ, body[0], name)
	}
	if body[0] != 'S' {
		if typ == 'C' {
			m.pendingCompletions = append(m.pendingCompletions, pendingCompletion{isClose: true})
		}
		return m.forward(typ, body), nil
	}
	backend := ""
	if typ == 'C' {
		m.pendingCompletions = append(m.pendingCompletions, pendingCompletion{isClose: true, name: name, hasName: true, previous: m.statements[name]})
		// The named statement stays on the backend connection, because other
		// sessions share it. Closing the unnamed statement instead produces the
		// CloseComplete that the client expects.
		delete(m.statements, name)
		m.unnamed = nil
	} else {
		var refused *verdict.Error
		if backend, refused = m.resolveBackendName(name); refused != nil {
			return Step{}, refused
		}
	}
	out, start := beginMessage(m.collected, typ)
	out = append(out, 'S')
	out = append(out, backend...)
	out = append(out, 0)
	m.collected = finishMessage(out, start)
	return Step{Send: len(m.collected) >= flushBytes}, nil
}

func (m *Machine) sync(body []byte) Step {
	if m.localBatch || !m.InBatch() {
		reply := append(m.localReplies, readyForQuery(m.status)...)
		m.resetBatch()
		return Step{Reply: reply}
	}
	m.simpleQuery = false
	s := m.forward('S', body)
	s.Send, s.End = true, true
	return s
}

// Refuse ends the batch after a refusal or a failure and drops the collected bytes.
// It returns the bytes for the client: the error and, when the client has ended the
// batch, ReadyForQuery. Otherwise client messages are skipped until Sync. Refuse
// must not be called within an open transaction.
func (m *Machine) Refuse(e *verdict.Error, ended bool) []byte {
	reply := errorResponse("ERROR", e)
	m.revertUnconfirmed()
	m.status = StatusIdle
	m.resetStream()
	m.resetBatch()
	if ended {
		return append(reply, readyForQuery(m.status)...)
	}
	m.skipUntilSync = true
	return reply
}

// revertUnconfirmed undoes the changes of the Parse and Close messages that the
// backend server did not confirm. If a Parse of the unnamed statement is among them,
// the unnamed statement is dropped: a Parse that fails destroys it, and a failed
// Parse cannot be distinguished from a skipped one.
func (m *Machine) revertUnconfirmed() {
	unnamedParseUnconfirmed := false
	for i := len(m.pendingCompletions) - 1; i >= 0; i-- {
		e := m.pendingCompletions[i]
		unnamedParseUnconfirmed = unnamedParseUnconfirmed || e.hasName && e.name == "" && !e.isClose
		switch {
		case !e.hasName:
		case e.previous == nil:
			delete(m.statements, e.name)
		default:
			m.storeStatement(e.name, e.previous)
		}
	}
	if unnamedParseUnconfirmed {
		delete(m.statements, "")
	}
	m.pendingCompletions = nil
}

// EndBatch ends the batch with the transaction status and, after a commit, the
// token of the commit. It returns the bytes for the client.
func (m *Machine) EndBatch(status byte, token Token) []byte {
	var reply []byte
	if !token.IsZero() {
		m.RaiseFloor(token)
		reply = parameterStatus(tokenSetting, token.String())
	}
	m.status = status
	m.revertUnconfirmed()
	m.resetBatch()
	if status == StatusIdle {
		m.resetStream()
	}
	return append(reply, readyForQuery(status)...)
}

func (m *Machine) resetBatch() {
	m.collected, m.executes, m.partSent, m.copyIn, m.simpleQuery = nil, false, false, false, false
	m.localBatch, m.localReplies, m.unnamed = false, nil, nil
	m.aborting, m.replacementError, m.preambleAnswersLeft = false, nil, 0
	if m.status == StatusIdle {
		m.firstCommand = commandOther
	}
}

func (m *Machine) resetStream() {
	m.firstCommand, m.prepareRequested, m.toPrepare = commandOther, nil, nil
	m.scanner = scanner{}
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
