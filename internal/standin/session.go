package standin

import (
	"bufio"
	"context"
	"crypto/md5"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"net"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
)

// session is one client connection.
type session struct {
	db     *Database
	life   *life
	conn   *clientConn
	be     *pgproto3.Backend
	id     uint32
	secret []byte
	// epoch is the role epoch of a data connection of the proxy; evictable
	// tells whether there is one.
	epoch     uint64
	evictable bool
	// control is set for a user that may make the control calls.
	control bool
	// startup holds the settings that RESET restores.
	startup    map[string]string
	settings   map[string]string
	prepared   map[string]*preparedStatement
	portals    map[string]*portal
	tx         *transaction
	peeked     pgproto3.FrontendMessage
	unflushed  int
	skipToSync bool

	// Guarded by the lock of the database.
	dropped bool
	cancel  context.CancelCauseFunc
}

type preparedStatement struct {
	*statement
	params []uint32
}

// serveConn tells replication connections from client connections.
func (db *Database) serveConn(l *life, conn net.Conn) {
	cc := newClientConn(db, conn)
	defer cc.Close()
	r := bufio.NewReader(cc)
	head, err := r.Peek(len(replicationMagic))
	if err != nil {
		return
	}
	if string(head) == replicationMagic {
		_, _ = r.Discard(len(replicationMagic))
		_ = db.serveReplica(l.ctx, newLink(conn, r))
		return
	}
	s := &session{
		db: db, life: l, conn: cc, be: pgproto3.NewBackend(r, cc),
		prepared: make(map[string]*preparedStatement), portals: make(map[string]*portal),
	}
	s.serve()
}

func (s *session) serve() {
	start := s.negotiate()
	if start == nil {
		return
	}
	if err := s.db.open(s); err != nil {
		s.fatal(err)
		return
	}
	defer s.db.close(s)
	if err := s.authenticate(start); err != nil {
		s.fatal(err)
		return
	}
	s.greet()
	for {
		m, err := s.receive()
		if err != nil || !s.handle(m) {
			return
		}
	}
}

// negotiate answers SSLRequest, GSSENCRequest and CancelRequest and returns the
// startup message, nil when the connection ends here.
func (s *session) negotiate() *pgproto3.StartupMessage {
	for {
		m, err := s.be.ReceiveStartupMessage()
		if err != nil {
			return nil
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			return m
		case *pgproto3.CancelRequest:
			s.db.cancelStatement(m.ProcessID, m.SecretKey)
			return nil
		default:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil
			}
		}
	}
}

// open counts the connection and refuses it above the limit.
func (db *Database) open(s *session) *sqlError {
	db.lock()
	defer db.mu.Unlock()
	if s.life.ctx.Err() != nil {
		return failf(codeShutdown, "the database is shutting down")
	}
	if db.openCount >= db.settings.Connections {
		db.record.Refused++
		return failf(codeTooMany, "sorry, too many clients already")
	}
	db.openCount++
	db.record.MaxConnections = max(db.record.MaxConnections, db.openCount)
	db.nextID++
	s.id = db.nextID
	s.secret = make([]byte, 4)
	_, _ = rand.Read(s.secret)
	db.sessions[s.id] = s
	return nil
}

func (db *Database) close(s *session) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.drop(s)
}

// drop ends a session: it stops counting and can commit nothing more. The
// caller holds the lock.
func (db *Database) drop(s *session) {
	if s.dropped {
		return
	}
	s.dropped = true
	db.openCount--
	delete(db.sessions, s.id)
	if s.cancel != nil {
		s.cancel(failf(codeShutdown, "terminating connection due to administrator command"))
	}
	s.conn.Close()
}

func (s *session) authenticate(start *pgproto3.StartupMessage) *sqlError {
	parameters := maps.Clone(start.Parameters)
	s.parseApplication(parameters["application_name"])
	if !clock.Sleep(s.life.ctx, s.db.settings.ConnectDelay) {
		return failf(codeShutdown, "the database is shutting down")
	}
	password, err := s.askPassword(parameters["user"])
	if err != nil {
		return err
	}
	s.startup = map[string]string{
		"default_transaction_read_only": "off", "client_encoding": "UTF8", "DateStyle": "ISO, MDY", "TimeZone": "UTC",
		"extra_float_digits": "1", "statement_timeout": "0",
	}
	for key, v := range parameters {
		if key != "user" && key != "database" {
			s.startup[canonical(s.startup, key)] = v
		}
	}
	s.settings = maps.Clone(s.startup)
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	if len(s.db.record.Startups) < maxStartups {
		s.db.record.Startups = append(s.db.record.Startups, Startup{Parameters: parameters, Password: password})
	}
	return s.checkPassword(parameters["user"], password)
}

// parseApplication reads cranberryhinge/<host>/<epoch>. Connections whose name
// ends in /monitor are never evicted.
func (s *session) parseApplication(name string) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 || parts[0] != "cranberryhinge" {
		return
	}
	epoch, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return
	}
	s.db.mu.Lock()
	s.epoch, s.evictable = epoch, true
	s.db.mu.Unlock()
}

// md5Salt is fixed: the stand-in only has to speak the protocol.
var md5Salt = [4]byte{1, 2, 3, 4}

func (s *session) askPassword(user string) (string, *sqlError) {
	if s.db.settings.Authentication == AuthenticationMD5 {
		s.be.Send(&pgproto3.AuthenticationMD5Password{Salt: md5Salt})
		_ = s.be.SetAuthType(pgproto3.AuthTypeMD5Password)
	} else {
		s.be.Send(&pgproto3.AuthenticationCleartextPassword{})
		_ = s.be.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	}
	if err := s.be.Flush(); err != nil {
		return "", failf(codeBadPassword, "connection lost")
	}
	m, err := s.be.Receive()
	if err != nil {
		return "", failf(codeBadPassword, "connection lost")
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return "", failf(codeProtocolViolation, "password expected for user %q", user)
	}
	return p.Password, nil
}

func (s *session) checkPassword(user, password string) *sqlError {
	expected, want := s.db.settings.User, s.db.settings.Password
	if control := s.db.settings.ControlUser; control != "" && user == control {
		expected, want = control, s.db.settings.ControlPassword
		s.control = true
	}
	if s.db.settings.Authentication == AuthenticationMD5 {
		want = "md5" + md5Hex(md5Hex(want+user)+string(md5Salt[:]))
	}
	if user != expected || password != want {
		return failf(codeBadPassword, "password authentication failed for user %q", user)
	}
	return nil
}

func md5Hex(text string) string {
	sum := md5.Sum([]byte(text))
	return hex.EncodeToString(sum[:])
}

// reported are the settings that are sent as ParameterStatus.
var reported = []string{
	"application_name", "client_encoding", "DateStyle", "TimeZone", "default_transaction_read_only",
}

// canonical returns the spelling of a known setting's name.
func canonical(known map[string]string, name string) string {
	for key := range known {
		if strings.EqualFold(key, name) {
			return key
		}
	}
	return strings.ToLower(name)
}

func (s *session) greet() {
	s.be.Send(&pgproto3.AuthenticationOk{})
	fixed := [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"IntervalStyle", "postgres"},
	}
	for _, p := range fixed {
		s.be.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	for _, name := range reported {
		s.be.Send(&pgproto3.ParameterStatus{Name: name, Value: s.settings[name]})
	}
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secret})
	s.ready()
}

func (s *session) ready() {
	status := byte('I')
	if s.tx != nil && s.tx.explicit {
		status = 'T'
		if s.tx.failed {
			status = 'E'
		}
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	s.flush()
}

func (s *session) flush() {
	s.unflushed = 0
	_ = s.be.Flush()
}

// fatal sends an error that ends the connection.
func (s *session) fatal(err *sqlError) {
	s.be.Send(err.response("FATAL"))
	s.flush()
}

func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if m := s.peeked; m != nil {
		s.peeked = nil
		return m, nil
	}
	return s.be.Receive()
}

// peek returns the next message without taking it.
func (s *session) peek() pgproto3.FrontendMessage {
	if s.peeked == nil {
		m, err := s.be.Receive()
		if err != nil {
			return nil
		}
		s.peeked = m
	}
	return s.peeked
}

func (db *Database) cancelStatement(id uint32, secret []byte) {
	db.lock()
	defer db.mu.Unlock()
	s := db.sessions[id]
	if s == nil || len(secret) != 4 || binary.BigEndian.Uint32(secret) != binary.BigEndian.Uint32(s.secret) {
		return
	}
	if s.cancel != nil {
		s.cancel(failf(codeCanceled, "canceling statement due to user request"))
	}
}

// evict closes data connections of role epochs below the given one and returns
// how many they were. The caller holds the lock.
func (db *Database) evict(epoch uint64, except *session) int {
	n := 0
	for _, s := range db.sessions {
		if s == except || !s.evictable || s.epoch >= epoch {
			continue
		}
		if !s.conn.silent.Load() {
			response := failf(codeShutdown, "terminating connection due to administrator command").response("FATAL")
			if raw, err := response.Encode(nil); err == nil {
				s.conn.writeLast(raw)
			}
		}
		db.drop(s)
		n++
	}
	db.record.Evicted += n
	return n
}
