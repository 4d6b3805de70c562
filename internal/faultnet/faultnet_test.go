package faultnet

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const silence = 100 * time.Millisecond

// startEcho serves a relay in front of an echo server.
func startEcho(t *testing.T) *Relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	relay, err := Listen("", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		relay.Close()
		listener.Close()
	})
	return relay
}

func dial(t *testing.T, relay *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", relay.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends one byte and waits for it.
func echo(conn net.Conn, wait time.Duration) error {
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

func timedOut(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// Guards cut and restore: open connections break, new ones fail until Pass.
func TestCut(t *testing.T) {
	relay := startEcho(t)
	conn := dial(t, relay)
	assert.NilError(t, echo(conn, time.Second))
	relay.Set(Cut)
	err := echo(conn, time.Second)
	assert.Assert(t, err != nil && !timedOut(err), "a cut must be seen at once, got %v", err)
	if fresh, err := net.Dial("tcp", relay.Address()); err == nil {
		err = echo(fresh, time.Second)
		assert.Assert(t, err != nil && !timedOut(err))
		fresh.Close()
	}
	relay.Set(Pass)
	assert.NilError(t, echo(dial(t, relay), time.Second))
}

// Guards silence: no error and no byte on open and new connections, and no way
// back for a connection that lost bytes.
func TestSilent(t *testing.T) {
	for _, mode := range []Mode{Silent, SilentToTarget, SilentToClient} {
		relay := startEcho(t)
		conn := dial(t, relay)
		assert.NilError(t, echo(conn, time.Second))
		relay.Set(mode)
		assert.Assert(t, timedOut(echo(conn, silence)))
		fresh := dial(t, relay)
		assert.Assert(t, timedOut(echo(fresh, silence)))
		relay.Set(Pass)
		assert.Assert(t, timedOut(echo(conn, silence)))
		assert.NilError(t, echo(dial(t, relay), time.Second))
	}
}

// Guards connections that go silent for good while new ones work, and that a
// closed connection is forgotten.
func TestSilenceOpen(t *testing.T) {
	relay := startEcho(t)
	conn := dial(t, relay)
	assert.NilError(t, echo(conn, time.Second))
	relay.SilenceOpen()
	assert.Assert(t, timedOut(echo(conn, silence)))
	fresh := dial(t, relay)
	assert.NilError(t, echo(fresh, time.Second))
	fresh.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if relay.Open() == 1 {
			return poll.Success()
		}
		return poll.Continue("%d connections are open", relay.Open())
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Guards the delay: it holds in each direction and keeps the order.
func TestDelay(t *testing.T) {
	relay := startEcho(t)
	conn := dial(t, relay)
	relay.SetDelay(20 * time.Millisecond)
	begin := time.Now()
	assert.NilError(t, echo(conn, time.Second))
	assert.Assert(t, time.Since(begin) >= 40*time.Millisecond)
}
