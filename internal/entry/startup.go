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

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/session"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// protocolOption is the prefix of startup parameters that negotiate protocol
	// extensions.
	protocolOption = "_pq_."
	// maxStartupBytes is PostgreSQL's limit for a startup packet.
	maxStartupBytes = 10_000
	// maxPasswordBytes bounds the password message of a client that has not
	// proved anything yet.
	maxPasswordBytes = 1024
	// maxNegotiations bounds SSLRequest and GSSENCRequest messages of one
	// connection.
	maxNegotiations = 3
	tokenParameter  = "cranberryhinge.token"
	// loginTime bounds a login, so that silent clients do not hold the places for
	// logins for long.
	loginTime = 10 * time.Second
)

// login takes a new connection up to its first ReadyForQuery. The session then
// gets a goroutine of its own, because the handshake grows this one's stack.
func (e *Entry) login(conn net.Conn) {
	setSocketOptions(conn)
	_ = conn.SetDeadline(time.Now().Add(min(loginTime, e.opts.ClientPatience)))
	c := &client{entry: e, conn: conn}
	c.changed = sync.NewCond(&c.mu)
	unhook := context.AfterFunc(e.base, func() { _ = conn.Close() })
	defer unhook()
	if err := c.start(); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = violation("the login was not finished in time")
		}
		if refused, ok := asRefusal(err); ok {
			e.refused(refused)
			if c.write(session.FatalResponse(refused)) == nil {
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

// start runs the startup phase. It returns io.EOF when the connection has served
// its purpose.
func (c *client) start() error {
	for range maxNegotiations {
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
				c.entry.cancelFrom(m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			}
			return io.EOF
		case *pgproto3.StartupMessage:
			return c.authenticate(m)
		}
	}
	return violation("too many encryption requests")
}

func violation(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "%s", message)
}

// readStartup reads exactly one startup packet, so that bytes sent ahead of the
// TLS handshake are never taken for bytes sent inside it.
func (c *client) readStartup() (pgproto3.FrontendMessage, error) {
	var length [4]byte
	if _, err := io.ReadFull(c.conn, length[:]); err != nil {
		return nil, err
	}
	size := int(int32(binary.BigEndian.Uint32(length[:]))) - len(length)
	if size < 4 || size > maxStartupBytes {
		return nil, violation("invalid length of startup packet")
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
		c.minor = code & 0xffff
		binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
		msg = &pgproto3.StartupMessage{}
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "unsupported frontend protocol %d.%d", code>>16, code&0xffff)
	}
	if err := msg.Decode(body); err != nil {
		return nil, violation("unreadable startup packet")
	}
	return msg, nil
}

// Codes in place of the protocol version in a startup packet.
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
	if err := conn.HandshakeContext(c.entry.base); err != nil {
		c.entry.opts.Counters.Add("tls_errors", 1)
		return err
	}
	c.conn, c.encrypted = conn, true
	return nil
}

func (c *client) authenticate(m *pgproto3.StartupMessage) error {
	e := c.entry
	if e.draining.Load() {
		return draining()
	}
	if e.opts.Document() == nil {
		return verdict.New(verdict.NotRun, verdict.StaleConfiguration, "the host has no configuration yet")
	}
	route, doc, ok := e.route(m.Parameters["database"])
	if !c.encrypted && (!e.opts.Plaintext || !ok || !route.Public) {
		return verdict.New(verdict.NotRun, verdict.TLSRequired, "the connection has to be encrypted")
	}
	if !ok {
		return verdict.New(verdict.NotRun, verdict.UnknownRoute, "route %q does not exist", m.Parameters["database"])
	}
	if e.zoneOut(doc) {
		return zoneIsOut()
	}
	password, err := c.askPassword(route)
	if err != nil {
		return err
	}
	c.route, c.routeName = route, route.Name
	if c.customer, c.key, err = e.opts.Keys.Verify(route, password); err != nil {
		return err
	}
	c.machine = session.New(route.Group, route.Mode == config.RouteRead)
	if err := c.applyParameters(m.Parameters); err != nil {
		return err
	}
	if !e.sessions.add(c, e.opts.MaxClients) {
		return verdict.New(verdict.NotRun, verdict.TooManyClients, "the host has reached its limit of %d clients", e.opts.MaxClients)
	}
	c.registered = true
	return c.greet(m.Parameters)
}

func (e *Entry) zoneOut(doc *config.Document) bool {
	for _, z := range doc.Rules.ZonesOut {
		if z == e.opts.Zone {
			return true
		}
	}
	return false
}

// askPassword asks for the key. Public routes need none, and clients without a
// password give up when they are asked.
func (c *client) askPassword(route config.Route) (string, error) {
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
		return "", violation("expected a password message")
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

// needsSet reports whether a startup parameter changes answers and differs from
// what backend connections use. The application name of backend connections is
// the proxy's own, and every positive extra_float_digits has the same effect.
func needsSet(name, value string) bool {
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

// Values of session parameters on backend connections.
const (
	defaultTimeZone  = "UTC"
	defaultDateStyle = "ISO, MDY"
)

func (c *client) applyParameters(parameters map[string]string) error {
	for name := range parameters {
		if !acceptedParameters[canonicalParameter(name)] && !strings.HasPrefix(name, protocolOption) {
			return verdict.New(verdict.NotRun, verdict.Unsupported, "startup parameter %q is not supported", name)
		}
	}
	if encoding := parameters["client_encoding"]; encoding != "" && !isUTF8(encoding) {
		return verdict.New(verdict.NotRun, verdict.Unsupported, "client_encoding %q is not supported, use UTF8", encoding)
	}
	for name, value := range parameters {
		if known := canonicalParameter(name); needsSet(known, value) {
			c.machine.Set(known, value)
		}
	}
	if text := parameters[tokenParameter]; text != "" {
		t, err := session.ParseToken(text)
		if err != nil {
			return violation(err.Error())
		}
		if t.Group != c.route.Group {
			return violation("the token belongs to another group than the route")
		}
		c.machine.Raise(t)
	}
	return nil
}

func canonicalParameter(name string) string {
	for known := range acceptedParameters {
		if strings.EqualFold(known, name) {
			return known
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

// greet sends the messages that end the startup phase.
func (c *client) greet(parameters map[string]string) error {
	var out []byte
	add := func(m pgproto3.BackendMessage) { out, _ = m.Encode(out) }
	var unknown []string
	for name := range parameters {
		if strings.HasPrefix(name, protocolOption) {
			unknown = append(unknown, name)
		}
	}
	if c.minor > 0 || len(unknown) > 0 {
		add(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
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
