package budget

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

func listen(t *testing.T, maxConns int, b *Budget) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return NewListener(l, "test", maxConns, true, b)
}

func connect(t *testing.T, l *Listener) (client net.Conn, server *Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	nc, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close(); _ = nc.Close() })
	return client, nc.(*Conn)
}

// Guards against connections that stop half-way and keep others out.
func TestListenerClosesStalestConnection(t *testing.T) {
	counters := telemetry.NewCounters()
	l := listen(t, 2, New(10<<20, clock.Boot, &log.Logger{Level: log.PanicLevel}, counters))
	active, server := connect(t, l)
	stalled, _ := connect(t, l)
	_, err := active.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(server, make([]byte, 1))
	assert.NilError(t, err)
	connect(t, l)
	assert.NilError(t, stalled.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = stalled.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, counters.Get("test_connections_closed"), int64(1))
	assert.Equal(t, len(l.conns), 2)
}

// Guards against half requests that are not counted, and against complete ones that stay
// counted.
func TestPendingBytesAreReserved(t *testing.T) {
	counters := telemetry.NewCounters()
	now := time.Second
	b := New(10<<20, func() time.Duration { return now }, &log.Logger{Level: log.PanicLevel}, counters)
	l := listen(t, 10, b)
	send := func(n int) (*Conn, error) {
		client, server := connect(t, l)
		go func() { _, _ = client.Write(make([]byte, n)) }()
		_, err := io.ReadFull(server, make([]byte, n))
		return server, err
	}
	const message = 400 << 10
	whole, err := send(message)
	assert.NilError(t, err)
	assert.Assert(t, b.ledger.used[Peers] >= message-2*pendingStep)
	whole.Delivered(message)
	assert.Equal(t, b.ledger.used[Peers], int64(0))
	_, err = send(message)
	assert.NilError(t, err)
	_, err = send(message)
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, counters.Get("memory_peers_refused"), int64(1))
	now += time.Second
	_, err = send(message)
	assert.NilError(t, err)
	assert.Equal(t, counters.Get("memory_peers_closed"), int64(1))
}

// Guards against frames and records of large messages that stay counted, until the
// connection and all its calls are closed.
func TestFramingIsNotPending(t *testing.T) {
	b := New(10<<20, func() time.Duration { return 0 }, &log.Logger{Level: log.PanicLevel}, telemetry.NewCounters())
	client, server := connect(t, listen(t, 10, b))
	const (
		message = 1 << 19
		// Data frames of 16 KiB and TLS records of 8 KiB, with their overheads.
		framing = message/(16<<10)*9 + message/(8<<10)*22
	)
	for range 200 {
		go func() { _, _ = client.Write(make([]byte, message+framing)) }()
		_, err := io.ReadFull(server, make([]byte, message+framing))
		assert.NilError(t, err)
		server.Delivered(message)
	}
	assert.Equal(t, server.pending.Load(), int64(0))
	assert.Equal(t, b.ledger.used[Peers], int64(0))
}
