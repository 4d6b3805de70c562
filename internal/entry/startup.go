package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/session"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// protocolOptionPrefix is the prefix of startup parameters that negotiate
	// protocol extensions.
	protocolOptionPrefix = "_pq_."
	// maxStartupBytes is PostgreSQL's limit for a startup packet.
	maxStartupBytes = 10_000
	// maxPasswordBytes limits the password message, because the client is not yet
	// authenticated.
	maxPasswordBytes = 1024
	// maxEncryptionRequests limits the startup packets of one connection, and thereby
	// its SSLRequest and GSSENCRequest messages.
	maxEncryptionRequests = 3
	tokenParameter        = "cranberryhinge.token"
	// loginTimeout bounds a login, so that silent clients do not occupy login slots
	// for long.
	loginTimeout = 10 * time.Second
)

// login handles a new connection up to its first ReadyForQuery. The session then
// gets a new goroutine, because the TLS handshake has grown the stack of this one.
func (e *Entry) login(conn net.Conn) {
	setSocketOptions(conn)
	_ = conn.SetDeadline(time.Now().Add(min(loginTimeout, e.opts.ClientTimeout)))
	c := &client{entry: e, conn: conn}
	c.lease = e.opts.Budget.Open(budget.AddressOwner(conn.RemoteAddr()), func() { _ = conn.Close() })
	c.stateChanged = sync.NewCond(&c.mu)
	stopCloseOnCancel := context.AfterFunc(e.sessionCtx, func() { _ = conn.Close() })
	defer stopCloseOnCancel()
	if err := c.runStartup(); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = protocolViolation("the login was not completed in time")
		}
		if refusal, ok := asVerdictError(err); ok {
			e.recordRefusal(refusal)
			if c.write(session.FatalResponse(refusal)) == nil {
				linger(c.conn)
			}
		}
		_ = c.conn.Close()
		if c.registered {
			e.sessions.remove(c)
		}
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	e.wg.Go(c.serve)
}

// runStartup handles the startup packets of a connection and sends the messages up
// to the first ReadyForQuery. It returns io.EOF after a cancel request, which ends
// the connection.
func (c *client) runStartup() error {
	for range maxEncryptionRequests {
		msg, err := c.readStartup()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if err := c.startTLS(); err != nil {
				return err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return err
			}
		case *pgproto3.CancelRequest:
			if len(m.SecretKey) == 4 {
				c.entry.handleCancelRequest(m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			}
			return io.EOF
		case *pgproto3.StartupMessage:
			return c.authenticate(m)
		}
	}
	return protocolViolation("too many encryption requests")
}

func protocolViolation(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "%s", message)
}

// readStartup reads exactly one startup packet and nothing beyond it, so that bytes
// sent before the TLS handshake are never treated as part of the encrypted session.
func (c *client) readStartup() (pgproto3.FrontendMessage, error) {
	var length [4]byte
	if _, err := io.ReadFull(c.conn, length[:]); err != nil {
		return nil, err
	}
	size := int(int32(binary.BigEndian.Uint32(length[:]))) - len(length)
	if size < 4 || size > maxStartupBytes {
		return nil, protocolViolation("invalid length of startup packet")
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(c.conn, body); err != nil {
		return nil, err
	}
	var msg pgproto3.FrontendMessage
	switch code := binary.BigEndian.Uint32(body); {
	case code == sslRequestCode:
		msg = &pgproto3.SSLRequest{}
	case code == gssRequestCode:
		msg = &pgproto3.GSSEncRequest{}
	case code == cancelRequestCode:
		msg = &pgproto3.CancelRequest{}
	case code>>16 == protocolMajor:
		c.protocolMinor = code & 0xffff
		binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
		msg = &pgproto3.StartupMessage{}
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "unsupported frontend protocol %d.%d", code>>16, code&0xffff)
	}
	if err := msg.Decode(body); err != nil {
		return nil, protocolViolation("malformed startup packet")
	}
	return msg, nil
}

// Request codes that take the place of the protocol version in a startup packet, and
// the supported major version.
const (
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
	protocolMajor     = 3
)

func (c *client) startTLS() error {
	if c.entry.opts.TLS == nil || c.encrypted {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(c.conn, c.entry.opts.TLS)
	if err := conn.HandshakeContext(c.entry.sessionCtx); err != nil {
		c.entry.opts.Counters.Add("tls_errors", 1)
		return err
	}
	c.conn, c.encrypted = conn, true
	return nil
}

func (c *client) authenticate(m *pgproto3.StartupMessage) error {
	e := c.entry
	if e.draining.Load() {
		return drainingError()
	}
	if e.opts.Document() == nil {
		return verdict.New(verdict.NotRun, verdict.StaleConfiguration, "the host has no configuration yet")
	}
	route, doc, ok := e.route(m.Parameters["database"])
	if !c.encrypted && (!e.opts.AllowPlaintext || !ok || !route.Public) {
		return verdict.New(verdict.NotRun, verdict.TLSRequired, "the connection must be encrypted")
	}
	if !ok {
		return verdict.New(verdict.NotRun, verdict.UnknownRoute, "route %q does not exist", m.Parameters["database"])
	}
	if e.zoneOutOfService(doc) {
		return zoneOutOfServiceError()
	}
	password, err := c.requestPassword(route)
	if err != nil {
		return err
	}
	c.route, c.routeName = route, route.Name
	if c.customer, c.keyID, err = e.opts.Keys.Verify(route, password); err != nil {
		return err
	}
	c.machine = session.New(route.Group, route.Mode == config.RouteRead)
	if err := c.applyStartupParameters(m.Parameters); err != nil {
		return err
	}
	if !e.sessions.add(c, e.opts.MaxClients) {
		return verdict.New(verdict.NotRun, verdict.TooManyClients, "the host has reached its limit of %d clients", e.opts.MaxClients)
	}
	c.registered = true
	c.lease.SetOwner(c.customer)
	return c.sendStartupResponse(m.Parameters)
}

// zoneOutOfService reports whether doc takes the availability zone of this host out
// of service.
func (e *Entry) zoneOutOfService(doc *config.Document) bool {
	for _, z := range doc.Rules.ZonesOut {
		if z == e.opts.Zone {
			return true
		}
	}
	return false
}

// requestPassword requests the key from the client and returns it. It sends no
// request on public routes, which need no key: clients without a password would
// disconnect.
func (c *client) requestPassword(route config.Route) (string, error) {
	if route.Public {
		return "", nil
	}
	request, _ := (&pgproto3.AuthenticationCleartextPassword{}).Encode(nil)
	if _, err := c.conn.Write(request); err != nil {
		return "", err
	}
	var header [5]byte
	if _, err := io.ReadFull(c.conn, header[:]); err != nil {
		return "", err
	}
	size := int(int32(binary.BigEndian.Uint32(header[1:]))) - 4
	if header[0] != 'p' || size < 1 || size > maxPasswordBytes {
		return "", protocolViolation("expected a password message")
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(c.conn, body); err != nil {
		return "", err
	}
	return strings.TrimSuffix(string(body), "\x00"), nil
}

// acceptedParameters are the startup parameters that a session may set.
var acceptedParameters = map[string]bool{
	"user": true, "database": true, tokenParameter: true,
	"client_encoding": true, "application_name": true, "extra_float_digits": true,
	"DateStyle": true, "TimeZone": true,
}

// needsBackendSet reports whether a startup parameter has to be set on backend
// connections: it affects results, and its value differs from the one that backend
// connections use. The application name is not passed on, because backend connections
// carry the name of the proxy. Every positive extra_float_digits has the same effect.
func needsBackendSet(name, value string) bool {
	switch name {
	case "TimeZone":
		return !strings.EqualFold(value, defaultTimeZone)
	case "DateStyle":
		return !strings.EqualFold(value, defaultDateStyle) && !strings.EqualFold(value, "ISO")
	case "extra_float_digits":
		return value != "1" && value != "2" && value != "3"
	}
	return false
}

// Values of session parameters that backend connections use.
const (
	defaultTimeZone  = "UTC"
	defaultDateStyle = "ISO, MDY"
)

func (c *client) applyStartupParameters(parameters map[string]string) error {
	for name := range parameters {
		if !acceptedParameters[canonicalParameter(name)] && !strings.HasPrefix(name, protocolOptionPrefix) {
			return verdict.New(verdict.NotRun, verdict.UnsupportedSessionState, "startup parameter %q is not supported", name)
		}
	}
	if encoding := parameters["client_encoding"]; encoding != "" && !isUTF8(encoding) {
		return verdict.New(verdict.NotRun, verdict.UnsupportedSessionState, "client_encoding %q is not supported, use UTF8", encoding)
	}
	for name, value := range parameters {
		if canonical := canonicalParameter(name); needsBackendSet(canonical, value) {
			c.machine.SetParameter(canonical, value)
		}
	}
	if text := parameters[tokenParameter]; text != "" {
		t, err := session.ParseToken(text)
		if err != nil {
			return protocolViolation(err.Error())
		}
		if t.Group != c.route.Group {
			return protocolViolation("the group of the token differs from the group of the route")
		}
		c.machine.RaiseFloor(t)
	}
	return nil
}

func canonicalParameter(name string) string {
	for canonical := range acceptedParameters {
		if strings.EqualFold(canonical, name) {
			return canonical
		}
	}
	return name
}

func isUTF8(encoding string) bool {
	switch strings.ToUpper(strings.Trim(encoding, "'")) {
	case "UTF8", "UTF-8", "UNICODE":
		return true
	}
	return false
}

// sendStartupResponse sends the messages that complete the startup phase.
func (c *client) sendStartupResponse(parameters map[string]string) error {
	var out []byte
	add := func(m pgproto3.BackendMessage) { out, _ = m.Encode(out) }
	var unrecognized []string
	for name := range parameters {
		if strings.HasPrefix(name, protocolOptionPrefix) {
			unrecognized = append(unrecognized, name)
		}
	}
	if c.protocolMinor > 0 || len(unrecognized) > 0 {
		add(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unrecognized})
	}
	add(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", cmp.Or(parameters["DateStyle"], defaultDateStyle)},
		{"TimeZone", cmp.Or(parameters["TimeZone"], defaultTimeZone)},
		{"IntervalStyle", "postgres"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", parameters["application_name"]},
	} {
		add(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	if floor := c.machine.Floor(); !floor.IsZero() {
		add(&pgproto3.ParameterStatus{Name: tokenParameter, Value: floor.String()})
	}
	secret := binary.BigEndian.AppendUint32(nil, c.secret)
	add(&pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: secret})
	add(&pgproto3.ReadyForQuery{TxStatus: session.StatusIdle})
	_, err := c.conn.Write(out)
	return err
}
