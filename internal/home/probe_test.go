package home

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is used on after a probe could not be sent,
// for example in a process that was stalled beyond the probe's deadline. Its
// answers are then taken for those of the requests before, so that a statement
// waits for an answer that was already read.
func TestUnsentProbeEndsTheConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	done := make(endings, 1)
	c := &conn{nc: near, owner: done, statements: newStatements()}
	go c.read()
	assert.Assert(t, c.probe(time.Now().Add(-time.Second)) != nil)
	select {
	case <-done:
	case <-time.After(2 * lingerTimeout):
		t.Fatal("the connection is still in use")
	}
	assert.Assert(t, !c.usable())
}

// Guards against the answer of a probe that falls between the messages of a
// stream's request.
func TestProbeLeavesConnectionsInUseAlone(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &conn{nc: near, owner: make(endings, 1), statements: newStatements()}
	assert.Assert(t, c.attach(&run{}))
	assert.NilError(t, c.probe(time.Now().Add(time.Second)))
	_, owes := c.silentSince()
	assert.Assert(t, !owes)
	assert.Assert(t, c.usable())
}
