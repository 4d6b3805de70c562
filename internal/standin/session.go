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
	db        *Database
	instance  *instance
	conn      *clientConn
	backend   *pgproto3.Backend
	id        uint32
	secretKey []byte
	// epoch is the role epoch of a data connection of the proxy; evictable is set
	// if the connection has one.
	epoch     uint64
	evictable bool
	// isControlUser is set for a user that may call the control functions of the
	// contract.
	isControlUser bool
	// startupSettings holds the settings that RESET restores.
	startupSettings    map[string]string
	settings           map[string]string
	preparedStatements map[string]*preparedStatement
	portals            map[string]*portal
	tx                 *transaction
	peekedMessage      pgproto3.FrontendMessage
	unflushedBytes     int
	skipToSync         bool

	// Guarded by the lock of the database.
	dropped         bool
	cancelStatement context.CancelCauseFunc
}

type preparedStatement struct {
	*statement
	params []uint32
}

// serveConn serves a replication or client connection, which its first bytes
// distinguish.
func (db *Database) serveConn(inst *instance, conn net.Conn) {
	cc := newClientConn(db, conn)
	defer cc.Close()
	reader := bufio.NewReader(cc)
	prefix, err := reader.Peek(len(replicationMagic))
	if err != nil {
		return
	}
	if string(prefix) == replicationMagic {
		_, _ = reader.Discard(len(replicationMagic))
		_ = db.serveReplica(inst.ctx, newLink(conn, reader))
		return
	}
	s := &session{
		db: db, instance: inst, conn: cc, backend: pgproto3.NewBackend(reader, cc),
		preparedStatements: make(map[string]*preparedStatement), portals: make(map[string]*portal),
	}
	s.serve()
}

func (s *session) serve() {
	startup := s.receiveStartup()
	if startup == nil {
		return
	}
	if err := s.db.registerSession(s); err != nil {
		s.sendFatal(err)
		return
	}
	defer s.db.closeSession(s)
	if err := s.authenticate(startup); err != nil {
		s.sendFatal(err)
		return
	}
	s.sendStartupResponse()
	for {
		m, err := s.receive()
		if err != nil || !s.handleMessage(m) {
			return
		}
	}
}

// receiveStartup answers SSLRequest, GSSENCRequest and CancelRequest and
// returns the startup message, or nil if the connection ends without one.
func (s *session) receiveStartup() *pgproto3.StartupMessage {
	for {
		m, err := s.backend.ReceiveStartupMessage()
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

// registerSession counts the connection, or rejects it above the connection
// limit.
func (db *Database) registerSession(s *session) *sqlError {
	db.lock()
	defer db.mu.Unlock()
	if s.instance.ctx.Err() != nil {
		return sqlErrorf(codeAdminShutdown, "the database is shutting down")
	}
	if db.openConnections >= db.settings.Connections {
		db.record.Refused++
		return sqlErrorf(codeTooManyConnections, "sorry, too many clients already")
	}
	db.openConnections++
	db.record.MaxConnections = max(db.record.MaxConnections, db.openConnections)
	db.lastSessionID++
	s.id = db.lastSessionID
	s.secretKey = make([]byte, 4)
	_, _ = rand.Read(s.secretKey)
	db.sessions[s.id] = s
	return nil
}

func (db *Database) closeSession(s *session) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.dropSession(s)
}

// dropSession closes a session: it no longer counts as a connection and can
// commit nothing more. The caller holds the lock.
func (db *Database) dropSession(s *session) {
	if s.dropped {
		return
	}
	s.dropped = true
	db.openConnections--
	delete(db.sessions, s.id)
	if s.cancelStatement != nil {
		s.cancelStatement(sqlErrorf(codeAdminShutdown, "terminating connection due to administrator command"))
	}
	s.conn.Close()
}

func (s *session) authenticate(startup *pgproto3.StartupMessage) *sqlError {
	parameters := maps.Clone(startup.Parameters)
	s.parseApplicationName(parameters["application_name"])
	if !clock.Sleep(s.instance.ctx, s.db.settings.ConnectDelay) {
		return sqlErrorf(codeAdminShutdown, "the database is shutting down")
	}
	password, err := s.requestPassword(parameters["user"])
	if err != nil {
		return err
	}
	s.startupSettings = map[string]string{
		"default_transaction_read_only": "off", "client_encoding": "UTF8", "DateStyle": "ISO, MDY", "TimeZone": "UTC",
		"extra_float_digits": "1", "statement_timeout": "0",
	}
	for key, v := range parameters {
		if key != "user" && key != "database" {
			s.startupSettings[canonicalName(s.startupSettings, key)] = v
		}
	}
	s.settings = maps.Clone(s.startupSettings)
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	if len(s.db.record.Startups) < maxStartups {
		s.db.record.Startups = append(s.db.record.Startups, Startup{Parameters: parameters, Password: password})
	}
	return s.checkPassword(parameters["user"], password)
}

// parseApplicationName reads the role epoch from a name of the form
// cranberryhinge/<host>/<epoch>. A name that ends in /monitor has no epoch, so
// that the connection is never evicted.
func (s *session) parseApplicationName(name string) {
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

// md5Salt is constant, because the stand-in implements the protocol of MD5
// authentication but needs none of its security.
var md5Salt = [4]byte{1, 2, 3, 4}

func (s *session) requestPassword(user string) (string, *sqlError) {
	if s.db.settings.Authentication == AuthenticationMD5 {
		s.backend.Send(&pgproto3.AuthenticationMD5Password{Salt: md5Salt})
		_ = s.backend.SetAuthType(pgproto3.AuthTypeMD5Password)
	} else {
		s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
		_ = s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	}
	if err := s.backend.Flush(); err != nil {
		return "", sqlErrorf(codeInvalidPassword, "connection lost")
	}
	m, err := s.backend.Receive()
	if err != nil {
		return "", sqlErrorf(codeInvalidPassword, "connection lost")
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return "", sqlErrorf(codeProtocolViolation, "password expected for user %q", user)
	}
	return p.Password, nil
}

func (s *session) checkPassword(user, password string) *sqlError {
	wantUser, wantPassword := s.db.settings.User, s.db.settings.Password
	if control := s.db.settings.ControlUser; control != "" && user == control {
		wantUser, wantPassword = control, s.db.settings.ControlPassword
		s.isControlUser = true
	}
	if s.db.settings.Authentication == AuthenticationMD5 {
		wantPassword = "md5" + md5Hex(md5Hex(wantPassword+user)+string(md5Salt[:]))
	}
	if user != wantUser || password != wantPassword {
		return sqlErrorf(codeInvalidPassword, "password authentication failed for user %q", user)
	}
	return nil
}

func md5Hex(text string) string {
	sum := md5.Sum([]byte(text))
	return hex.EncodeToString(sum[:])
}

// reportedSettings lists the settings that are sent as ParameterStatus.
var reportedSettings = []string{
	"application_name", "client_encoding", "DateStyle", "TimeZone", "default_transaction_read_only",
}

// canonicalName returns the spelling of a known setting's name, and an unknown
// name in lower case.
func canonicalName(known map[string]string, name string) string {
	for key := range known {
		if strings.EqualFold(key, name) {
			return key
		}
	}
	return strings.ToLower(name)
}

func (s *session) sendStartupResponse() {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	fixedParameters := [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"IntervalStyle", "postgres"},
	}
	for _, p := range fixedParameters {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	for _, name := range reportedSettings {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: s.settings[name]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secretKey})
	s.sendReadyForQuery()
}

func (s *session) sendReadyForQuery() {
	status := byte('I')
	if s.tx != nil && s.tx.explicit {
		status = 'T'
		if s.tx.failed {
			status = 'E'
		}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	s.flush()
}

func (s *session) flush() {
	s.unflushedBytes = 0
	_ = s.backend.Flush()
}

// sendFatal sends an error that ends the connection.
func (s *session) sendFatal(err *sqlError) {
	s.backend.Send(err.errorResponse("FATAL"))
	s.flush()
}

func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if m := s.peekedMessage; m != nil {
		s.peekedMessage = nil
		return m, nil
	}
	return s.backend.Receive()
}

// peek returns the next message without consuming it, or nil if the connection
// has ended.
func (s *session) peek() pgproto3.FrontendMessage {
	if s.peekedMessage == nil {
		m, err := s.backend.Receive()
		if err != nil {
			return nil
		}
		s.peekedMessage = m
	}
	return s.peekedMessage
}

func (db *Database) cancelStatement(id uint32, secretKey []byte) {
	db.lock()
	defer db.mu.Unlock()
	s := db.sessions[id]
	if s == nil || len(secretKey) != 4 || binary.BigEndian.Uint32(secretKey) != binary.BigEndian.Uint32(s.secretKey) {
		return
	}
	if s.cancelStatement != nil {
		s.cancelStatement(sqlErrorf(codeQueryCanceled, "canceling statement due to user request"))
	}
}

// evict closes the data connections of role epochs below the given one, except
// the caller's session, and returns their number. The lock must be held.
func (db *Database) evict(epoch uint64, caller *session) int {
	evicted := 0
	for _, s := range db.sessions {
		if s == caller || !s.evictable || s.epoch >= epoch {
			continue
		}
		if !s.conn.silent.Load() {
			response := sqlErrorf(codeAdminShutdown, "terminating connection due to administrator command").errorResponse("FATAL")
			if raw, err := response.Encode(nil); err == nil {
				s.conn.writeFinalMessage(raw)
			}
		}
		db.dropSession(s)
		evicted++
	}
	db.record.Evicted += evicted
	return evicted
}
