package home

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against using a connection after a ping could not be sent, for example
// in a process that was stalled beyond the ping's deadline. The ping's expected
// answer is already registered, so each later answer would be assigned to the
// preceding request, and a statement would wait for an answer that was already
// read.
func TestFailedPingClosesConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	done := make(connEndRecorder, 1)
	c := &conn{nc: near, owner: done, statements: newStatementCache()}
	go c.readLoop()
	assert.Assert(t, c.pingIfIdle(time.Now().Add(-time.Second)) != nil)
	select {
	case <-done:
	case <-time.After(2 * closeTimeout):
		t.Fatal("the connection is still in use")
	}
	assert.Assert(t, !c.isUsable())
}

// Guards against an idle ping on a connection in use: its Sync and its answer
// would fall between the messages of the stream's request.
func TestPingSkipsConnectionsInUse(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &conn{nc: near, owner: make(connEndRecorder, 1), statements: newStatementCache()}
	assert.Assert(t, c.attach(&runStream{}))
	assert.NilError(t, c.pingIfIdle(time.Now().Add(time.Second)))
	_, unanswered := c.unansweredSince()
	assert.Assert(t, !unanswered)
	assert.Assert(t, c.isUsable())
}
