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

// eventually waits for a condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not seen in time: " + what)
}

func (f *fixture) raw() net.Conn {
	c, err := net.Dial("tcp", f.address)
	assert.NilError(f.t, err)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

// rawSession logs in over TLS and returns the connection after ReadyForQuery.
func (f *fixture) rawSession(route string) *tls.Conn { return f.login(f.raw(), route) }

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
	f.untilReady(c, append(startup, password...))
	return c
}

// untilReady sends a message and reads its answer.
func (f *fixture) untilReady(c net.Conn, message []byte) {
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

// errorCode reads up to the next error and returns its SQLSTATE.
func errorCode(t testing.TB, r io.Reader) string {
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

// Guards against a bad login without a clear error, and against one that disturbs
// another session.
func TestRefusedLogins(t *testing.T) {
	f := newFixture(t, nil)
	bystander := f.connect("w")
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
		{route: "w", password: testKey, extra: "&search_path=x", code: "0A000", reason: verdict.Unsupported},
		{route: "w", password: testKey, extra: "&client_encoding=latin1", code: "0A000", reason: verdict.Unsupported},
		{route: "w", password: testKey, extra: "&cranberryhinge.token=other:1:1", code: "08P01", reason: verdict.ProtocolViolation},
		{route: "w", password: strings.Repeat("x", 2000), code: "08P01", reason: verdict.ProtocolViolation},
	} {
		before := f.counters.RefusedFor(x.reason)
		_, err := pgx.ConnectConfig(context.Background(), f.config(x.route, x.password, x.extra))
		assert.Equal(t, code(err), x.code, x.password)
		eventually(t, "counter of "+string(x.reason), func() bool { return f.counters.RefusedFor(x.reason) > before })
		selectText(t, bystander, "undisturbed")
	}
	assert.Assert(t, !strings.Contains(f.counters.String(), "secret"))
}

// Guards against new work at a host whose availability zone is out, and against a
// transaction that is cut there.
func TestZoneOut(t *testing.T) {
	f := newFixture(t, nil)
	idle, open := f.rawSession("w"), f.connect("w")
	tx := begin(t, open)
	out := testDocument()
	out.Rules.ZonesOut = []string{"zone-a"}
	f.doc.Store(out)
	f.changed <- struct{}{}
	assert.Equal(t, errorCode(t, idle), "57P01")
	_, err := pgx.ConnectConfig(context.Background(), f.config("w", testKey, ""))
	assert.Equal(t, code(err), "57P03")
	selectText(t, tx, "undisturbed")
	assert.NilError(t, tx.Commit(context.Background()))
	_, err = open.Exec(context.Background(), "insert")
	assert.Equal(t, code(err), "57P01")
}

// Guards against a startup packet that stops the listener or gets no clear
// answer, and against a key that is asked for or sent without encryption.
func TestUnreadableStartup(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.ClientPatience = 300 * time.Millisecond })
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
		{bytes.Repeat(packet(gssRequestCode, ""), maxNegotiations+1), "08P01"},
	} {
		c := f.raw()
		_, err := c.Write(x.bytes)
		assert.NilError(t, err)
		if len(x.bytes) == 8*(maxNegotiations+1) {
			_, err = io.ReadFull(c, make([]byte, maxNegotiations))
			assert.NilError(t, err)
		}
		assert.Equal(t, errorCode(t, c), x.code, "%q", x.bytes)
	}
	f.raw()
	selectText(t, f.connect("w"), "still serving")
	assert.Assert(t, f.counters.RefusedFor(verdict.ProtocolViolation) >= 7)
}

// Guards against bytes sent ahead of the TLS handshake that are taken for a part
// of the encrypted session.
func TestNoBytesBeforeTLS(t *testing.T) {
	f := newFixture(t, nil)
	c := f.raw()
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"database": "p"}}).Encode(nil)
	_, err := c.Write(append(request, startup...))
	assert.NilError(t, err)
	rest, _ := io.ReadAll(c)
	assert.Assert(t, !bytes.Contains(rest, []byte("server_version")))
	eventually(t, "failed handshake", func() bool { return f.counters.Get("tls_errors") == 1 })
}

// Guards against a message over the limit that is read into memory or forwarded.
func TestMessageTooBig(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w")
	_, err := c.Exec(context.Background(), "select '"+strings.Repeat("x", maxMessageBytes)+"'")
	assert.Equal(t, code(err), "54000")
	assert.Equal(t, len(f.home.starts), 0)
	assert.Equal(t, f.counters.RefusedFor(verdict.MessageTooBig), int64(1))
	selectText(t, f.connect("w"), strings.Repeat("x", maxMessageBytes-1000))
}

// Guards against session state that a pooled connection would leak.
func TestUnsupportedState(t *testing.T) {
	f := newFixture(t, nil)
	c := f.connect("w")
	for _, text := range []string{"listen x", "LISTEN x;", "prepare a as select 1", "create temp table t (a int)"} {
		_, err := c.Exec(context.Background(), text)
		assert.Equal(t, code(err), "0A000", text)
		_, err = c.Prepare(context.Background(), text, text)
		assert.Equal(t, code(err), "0A000", text)
	}
	assert.Equal(t, len(f.home.starts), 0)
	tx := begin(t, c)
	_, err := tx.Exec(context.Background(), "listen x")
	assert.Equal(t, code(err), "0A000")
	_, err = tx.Exec(context.Background(), "insert")
	assert.Equal(t, code(err), "25P02")
	assert.NilError(t, tx.Rollback(context.Background()))
	_, err = f.connect("r").Exec(context.Background(), "begin read write")
	assert.Equal(t, code(err), "0A000")
}

// Guards against clients that stop in the middle of a request or a transaction
// and hold a backend connection for ever.
func TestHalfSentRequests(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.ClientPatience, o.IdleTransaction = 200*time.Millisecond, 200*time.Millisecond })
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
		{"idle in transaction", begin, "25P03", verdict.IdleTransactionTime, 1},
		{"negative length", []byte{'Q', 0xff, 0, 0, 0}, "08P01", verdict.ProtocolViolation, 0},
		{"unknown message", []byte{'?', 0, 0, 0, 4}, "08P01", verdict.ProtocolViolation, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			aborted, refused := f.home.aborted.Load(), f.counters.RefusedFor(x.reason)
			c := f.rawSession("w")
			_, err := c.Write(x.bytes)
			assert.NilError(t, err)
			assert.Equal(t, errorCode(t, c), x.code)
			eventually(t, "end of the stream", func() bool { return f.home.aborted.Load() == aborted+x.opens })
			assert.Assert(t, f.counters.RefusedFor(x.reason) > refused)
		})
	}
}

// Guards against a client that does not read its answer and holds a backend
// connection for ever.
func TestClientThatDoesNotRead(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.ClientPatience = 300 * time.Millisecond })
	c := f.rawSession("w")
	copies, _ := (&pgproto3.Query{String: "copy t to stdout endless"}).Encode(nil)
	_, err := c.Write(copies)
	assert.NilError(t, err)
	eventually(t, "write timeout", func() bool { return f.counters.Get("client_write_timeouts") == 1 && f.entry.Sessions() == 0 })
	selectText(t, f.connect("w"), "still serving")
}

// Guards against a host that takes more clients than it can serve.
func TestTooManyClients(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.MaxClients = 1 })
	first := f.connect("w")
	_, err := pgx.ConnectConfig(context.Background(), f.config("w", testKey, ""))
	assert.Equal(t, code(err), "53300")
	selectText(t, first, "undisturbed")
	assert.NilError(t, first.Close(context.Background()))
	eventually(t, "free place", func() bool { return f.entry.Sessions() == 0 })
	f.connect("w")
}

// Guards against public routes that ask for a key or keyed routes that do not.
func TestPublicRoute(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.Plaintext = true })
	public := f.config("p", "", "")
	public.TLSConfig = nil
	c, err := pgx.ConnectConfig(context.Background(), public)
	assert.NilError(t, err)
	f.stale.Store(true)
	time.Sleep(2 * keySweepInterval)
	selectText(t, c, "x")
	assert.Equal(t, f.home.last().Customer, config.PublicCustomer)
	assert.NilError(t, c.Close(context.Background()))
	cfg := f.config("w", testKey, "")
	cfg.TLSConfig = nil
	_, err = pgx.ConnectConfig(context.Background(), cfg)
	assert.Equal(t, code(err), "28000")
}
