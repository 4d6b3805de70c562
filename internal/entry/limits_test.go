package entry

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against logins that stop half-way and keep ordinary callers out.
func TestOldestLoginMakesRoom(t *testing.T) {
	l := newLogins(2)
	conns := make([]net.Conn, 4)
	ends := make([]func(), 4)
	for i := range conns {
		conns[i], _ = net.Pipe()
	}
	var stalest net.Conn
	for i, want := range []net.Conn{nil, nil, conns[0]} {
		ends[i], stalest = l.begin(conns[i])
		assert.Equal(t, stalest, want)
	}
	ends[0]()
	assert.Equal(t, l.order.Len(), 2)
	ends[1]()
	_, stalest = l.begin(conns[3])
	assert.Equal(t, stalest, nil)
}
