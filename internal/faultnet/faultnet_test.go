package faultnet

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// silentWait is the time without a reply after which a connection counts as silent.
const silentWait = 100 * time.Millisecond

// startEchoRelay starts an echo server and a relay to it.
func startEchoRelay(t *testing.T) *Relay {
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

// echo sends one byte and waits for one byte in return, at most for the given time.
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

// Guards against a Cut that leaves open connections working, accepts new ones or
// makes them hang instead of fail, and against new connections failing after Pass.
func TestCut(t *testing.T) {
	relay := startEchoRelay(t)
	conn := dial(t, relay)
	assert.NilError(t, echo(conn, time.Second))
	relay.SetMode(Cut)
	err := echo(conn, time.Second)
	assert.Assert(t, err != nil && !timedOut(err), "the connection must fail at once after Cut, got %v", err)
	if newConn, err := net.Dial("tcp", relay.Address()); err == nil {
		err = echo(newConn, time.Second)
		assert.Assert(t, err != nil && !timedOut(err))
		newConn.Close()
	}
	relay.SetMode(Pass)
	assert.NilError(t, echo(dial(t, relay), time.Second))
}

// Guards against silent modes that pass bytes or report errors on open or new
// connections, and against a connection that lost bytes working again after Pass.
func TestSilent(t *testing.T) {
	for _, mode := range []Mode{Silent, SilentToTarget, SilentToClient} {
		relay := startEchoRelay(t)
		conn := dial(t, relay)
		assert.NilError(t, echo(conn, time.Second))
		relay.SetMode(mode)
		assert.Assert(t, timedOut(echo(conn, silentWait)))
		newConn := dial(t, relay)
		assert.Assert(t, timedOut(echo(newConn, silentWait)))
		relay.SetMode(Pass)
		assert.Assert(t, timedOut(echo(conn, silentWait)))
		assert.NilError(t, echo(dial(t, relay), time.Second))
	}
}

// Guards against SilenceOpenConnections that leaves open connections working or
// affects new ones, and against a closed connection still being counted by
// OpenConnections.
func TestSilenceOpenConnections(t *testing.T) {
	relay := startEchoRelay(t)
	conn := dial(t, relay)
	assert.NilError(t, echo(conn, time.Second))
	relay.SilenceOpenConnections()
	assert.Assert(t, timedOut(echo(conn, silentWait)))
	newConn := dial(t, relay)
	assert.NilError(t, echo(newConn, time.Second))
	newConn.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if relay.OpenConnections() == 1 {
			return poll.Success()
		}
		return poll.Continue("%d connections are open", relay.OpenConnections())
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Guards against a panic when a connection without a target, which was accepted in mode
// Silent, is made silent for good.
func TestSilenceConnectionWithoutTarget(t *testing.T) {
	relay := startEchoRelay(t)
	relay.SetMode(Silent)
	conn := dial(t, relay)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if relay.OpenConnections() == 1 {
			return poll.Success()
		}
		return poll.Continue("the connection is not open yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
	relay.SetMode(Pass)
	relay.SilenceOpenConnections()
	time.Sleep(targetKeepAliveTimeout + silentWait)
	assert.Assert(t, timedOut(echo(conn, silentWait)))
}

// Guards against a delay that is not applied in each direction.
func TestDelay(t *testing.T) {
	relay := startEchoRelay(t)
	conn := dial(t, relay)
	relay.SetDelay(20 * time.Millisecond)
	begin := time.Now()
	assert.NilError(t, echo(conn, time.Second))
	assert.Assert(t, time.Since(begin) >= 40*time.Millisecond)
}
