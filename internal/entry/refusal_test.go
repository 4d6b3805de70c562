package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// eventually waits up to 5 s for a condition, and fails the test if it is not met.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not observed within 5 s: " + what)
}

func (f *fixture) dial() net.Conn {
	c, err := net.Dial("tcp", f.address)
	assert.NilError(f.t, err)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

// rawSession opens a connection, logs in over TLS and returns the connection after
// ReadyForQuery.
func (f *fixture) rawSession(route string) *tls.Conn { return f.login(f.dial(), route) }

func (f *fixture) login(raw net.Conn, route string) *tls.Conn {
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	_, err := raw.Write(request)
	assert.NilError(f.t, err)
	answer := make([]byte, 1)
	_, err = io.ReadFull(raw, answer)
	assert.NilError(f.t, err)
	assert.Equal(f.t, answer[0], byte('S'))
	c := tls.Client(raw, &tls.Config{InsecureSkipVerify: true}) // #nosec: the certificate is generated for the test
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"database": route}}).Encode(nil)
	password, _ := (&pgproto3.PasswordMessage{Password: testKey}).Encode(nil)
	f.sendAndAwaitReady(c, append(startup, password...))
	return c
}

// sendAndAwaitReady sends a message and reads the response up to ReadyForQuery.
func (f *fixture) sendAndAwaitReady(c net.Conn, message []byte) {
	_, err := c.Write(message)
	assert.NilError(f.t, err)
	for fe := pgproto3.NewFrontend(c, c); ; {
		m, err := fe.Receive()
		assert.NilError(f.t, err)
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}

// readErrorCode reads messages up to the next error and returns its SQLSTATE.
func readErrorCode(t testing.TB, r io.Reader) string {
	t.Helper()
	fe := pgproto3.NewFrontend(r, nil)
	for {
		m, err := fe.Receive()
		assert.NilError(t, err)
		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			return e.Code
		}
	}
}

// Guards against failed logins that are reported with a wrong SQLSTATE or reason,
// and against a failed login that affects another session or puts a key into the
// metrics.
func TestRefusedLogins(t *testing.T) {
	f := newFixture(t, nil)
	otherSession := f.connect("w")
	for _, x := range []struct {
		route, password, extra, code string
		reason                       verdict.Reason
	}{
		{route: "nowhere", password: testKey, code: "3D000", reason: verdict.UnknownRoute},
		{route: "w", password: "acme.k1.wrong", code: "28P01", reason: verdict.BadKey},
		{route: "w", password: "acme.k9.secret", code: "28P01", reason: verdict.BadKey},
		{route: "w", password: "", code: "28P01", reason: verdict.BadKey},
		{route: "w", password: "acme.k0.old", code: "28P01", reason: verdict.WithdrawnKey},
		{route: "w", password: "other.k1.secret2", code: "28000", reason: verdict.WrongCustomer},
		{route: "w", password: testKey, extra: "&search_path=x", code: "0A000", reason: verdict.UnsupportedSessionState},
		{route: "w", password: testKey, extra: "&client_encoding=latin1", code: "0A000", reason: verdict.UnsupportedSessionState},
		{route: "w", password: testKey, extra: "&cranberryhinge.token=other:1:1", code: "08P01", reason: verdict.ProtocolViolation},
		{route: "w", password: strings.Repeat("x", 2000), code: "08P01", reason: verdict.ProtocolViolation},
	} {
		before := f.counters.Refusals(x.reason)
		_, err := pgx.ConnectConfig(context.Background(), f.connConfig(x.route, x.password, x.extra))
		assert.Equal(t, sqlState(err), x.code, x.password)
		eventually(t, "counter of "+string(x.reason), func() bool { return f.counters.Refusals(x.reason) > before })
		assertSelect(t, otherSession, "undisturbed")
	}
	assert.Assert(t, !strings.Contains(f.counters.String(), "secret"))
}

// Guards against new sessions on a host whose availability zone is out of service,
// and against open transactions that are aborted there.
func TestZoneOutOfServiceEndsSessions(t *testing.T) {
	f := newFixture(t, nil)
	idle, open := f.rawSession("w"), f.connect("w")
	tx := beginTx(t, open)
	out := testDocument()
	out.Rules.ZonesOut = []string{"zone-a"}
	f.doc.Store(out)
	f.keysChanged <- struct{}{}
	assert.Equal(t, readErrorCode(t, idle), "57P01")
	_, err := pgx.ConnectConfig(context.Background(), f.connConfig("w", testKey, ""))
	assert.Equal(t, sqlState(err), "57P03")
	assertSelect(t, tx, "undisturbed")
	assert.NilError(t, tx.Commit(context.Background()))
	_, err = open.Exec(context.Background(), "insert")
	assert.Equal(t, sqlState(err), "57P01")
}

// Guards against a malformed startup packet that stops the listener or gets a wrong
// SQLSTATE, and against a key that is requested or sent without encryption.
func TestMalformedStartupIsRefused(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.ClientTimeout = 300 * time.Millisecond })
	packet := func(code uint32, body string) []byte {
		b := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))
		return append(binary.BigEndian.AppendUint32(b, code), body...)
	}
	for _, x := range []struct {
		bytes []byte
		code  string
	}{
		{[]byte{0xff, 0xff, 0xff, 0xff, 0, 0}, "08P01"},
		{[]byte{0, 0, 0, 1}, "08P01"},
		{packet(2<<16, "x\x00"), "08P01"},
		{packet(3<<16, "no terminator"), "08P01"},
		{packet(3<<16, "database\x00w\x00\x00"), "28000"},
		{[]byte{0, 0, 0, 50, 0, 3}, "08P01"},
		{[]byte("GET / HTTP/1.1\r\n\r\n"), "08P01"},
		{bytes.Repeat(packet(gssRequestCode, ""), maxEncryptionRequests+1), "08P01"},
	} {
		c := f.dial()
		_, err := c.Write(x.bytes)
		assert.NilError(t, err)
		if len(x.bytes) == 8*(maxEncryptionRequests+1) {
			_, err = io.ReadFull(c, make([]byte, maxEncryptionRequests))
			assert.NilError(t, err)
		}
		assert.Equal(t, readErrorCode(t, c), x.code, "%q", x.bytes)
	}
	f.dial()
	assertSelect(t, f.connect("w"), "still serving")
	assert.Assert(t, f.counters.Refusals(verdict.ProtocolViolation) >= 7)
}

// Guards against treating bytes that were sent before the TLS handshake as part of
// the encrypted session.
func TestNoBytesBeforeTLS(t *testing.T) {
	f := newFixture(t, nil)
	c := f.dial()
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"database": "p"}}).Encode(nil)
	_, err := c.Write(append(request, startup...))
	assert.NilError(t, err)
	rest, _ := io.ReadAll(c)
	assert.Assert(t, !bytes.Contains(rest, []byte("server_version")))
	eventually(t, "failed handshake", func() bool { return f.counters.Get("tls_errors") == 1 })
}

// Guards against reading a message over the size limit into memory, or forwarding it.
func TestMessageTooBig(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w")
	_, err := c.Exec(context.Background(), "select '"+strings.Repeat("x", maxMessageBytes)+"'")
	assert.Equal(t, sqlState(err), "54000")
	assert.Equal(t, len(f.home.starts), 0)
	assert.Equal(t, f.counters.Refusals(verdict.MessageTooBig), int64(1))
	assertSelect(t, f.connect("w"), strings.Repeat("x", maxMessageBytes-1000))
}

// Guards against statements that set session state, which a pooled connection would
// leak to other sessions.
func TestUnsupportedSessionStateIsRefused(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w")
	for _, text := range []string{"listen x", "LISTEN x;", "prepare a as select 1", "create temp table t (a int)"} {
		_, err := c.Exec(context.Background(), text)
		assert.Equal(t, sqlState(err), "0A000", text)
		_, err = c.Prepare(context.Background(), text, text)
		assert.Equal(t, sqlState(err), "0A000", text)
	}
	assert.Equal(t, len(f.home.starts), 0)
	tx := beginTx(t, c)
	_, err := tx.Exec(context.Background(), "listen x")
	assert.Equal(t, sqlState(err), "0A000")
	_, err = tx.Exec(context.Background(), "insert")
	assert.Equal(t, sqlState(err), "25P02")
	assert.NilError(t, tx.Rollback(context.Background()))
	_, err = f.connect("r").Exec(context.Background(), "begin read write")
	assert.Equal(t, sqlState(err), "0A000")
}

// Guards against clients that stop in the middle of a message, a batch or a
// transaction and hold a backend connection indefinitely.
func TestIncompleteRequests(t *testing.T) {
	f := newFixture(t, func(o *Options) {
		o.ClientTimeout, o.IdleTransactionTimeout = 200*time.Millisecond, 200*time.Millisecond
	})
	parse, _ := (&pgproto3.Parse{Query: "select 1"}).Encode(nil)
	flush, _ := (&pgproto3.Flush{}).Encode(nil)
	begin, _ := (&pgproto3.Query{String: "begin"}).Encode(nil)
	for _, x := range []struct {
		name   string
		bytes  []byte
		code   string
		reason verdict.Reason
		opens  int64
	}{
		{"part of a header", []byte{'Q', 0}, "08P01", verdict.ProtocolViolation, 0},
		{"part of a body", begin[:8], "08P01", verdict.ProtocolViolation, 0},
		{"no Sync", parse, "08P01", verdict.ProtocolViolation, 0},
		{"no Sync after Flush", append(parse, flush...), "08007", verdict.ProtocolViolation, 1},
		{"idle in transaction", begin, "25P03", verdict.IdleTransactionTimeout, 1},
		{"negative length", []byte{'Q', 0xff, 0, 0, 0}, "08P01", verdict.ProtocolViolation, 0},
		{"unknown message", []byte{'?', 0, 0, 0, 4}, "08P01", verdict.ProtocolViolation, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			aborted, refused := f.home.abortedStreams.Load(), f.counters.Refusals(x.reason)
			c := f.rawSession("w")
			_, err := c.Write(x.bytes)
			assert.NilError(t, err)
			assert.Equal(t, readErrorCode(t, c), x.code)
			eventually(t, "end of the stream", func() bool { return f.home.abortedStreams.Load() == aborted+x.opens })
			assert.Assert(t, f.counters.Refusals(x.reason) > refused)
		})
	}
}

// Guards against a client that does not read its response and holds a backend
// connection indefinitely.
func TestClientThatDoesNotRead(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.ClientTimeout = 300 * time.Millisecond })
	c := f.rawSession("w")
	copyOut, _ := (&pgproto3.Query{String: "copy t to stdout endless"}).Encode(nil)
	_, err := c.Write(copyOut)
	assert.NilError(t, err)
	eventually(t, "write timeout", func() bool { return f.counters.Get("client_write_timeouts") == 1 && f.entry.Sessions() == 0 })
	assertSelect(t, f.connect("w"), "still serving")
}

// Guards against a host that accepts more clients than MaxClients.
func TestTooManyClients(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.MaxClients = 1 })
	first := f.connect("w")
	_, err := pgx.ConnectConfig(context.Background(), f.connConfig("w", testKey, ""))
	assert.Equal(t, sqlState(err), "53300")
	assertSelect(t, first, "undisturbed")
	assert.NilError(t, first.Close(context.Background()))
	eventually(t, "free session slot", func() bool { return f.entry.Sessions() == 0 })
	f.connect("w")
}

// Guards against public routes that request a key, and against routes that need a
// key but accept a login without TLS.
func TestPublicRoute(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.AllowPlaintext = true })
	public := f.connConfig("p", "", "")
	public.TLSConfig = nil
	c, err := pgx.ConnectConfig(context.Background(), public)
	assert.NilError(t, err)
	f.configStale.Store(true)
	time.Sleep(2 * keyCheckInterval)
	assertSelect(t, c, "x")
	assert.Equal(t, f.home.lastStart().Customer, config.PublicCustomer)
	assert.NilError(t, c.Close(context.Background()))
	cfg := f.connConfig("w", testKey, "")
	cfg.TLSConfig = nil
	_, err = pgx.ConnectConfig(context.Background(), cfg)
	assert.Equal(t, sqlState(err), "28000")
}
