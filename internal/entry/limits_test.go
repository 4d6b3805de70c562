package entry

import (
	"net"
	"testing"
	"time"

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
	now := time.Unix(0, 0)
	var surplus net.Conn
	for i := range 2 {
		ends[i], surplus = l.begin(conns[i], now)
		assert.Equal(t, surplus, nil)
	}
	_, surplus = l.begin(conns[2], now)
	assert.Equal(t, surplus, conns[2])
	now = now.Add(loginGrace)
	_, surplus = l.begin(conns[2], now)
	assert.Equal(t, surplus, conns[0])
	ends[0]()
	assert.Equal(t, l.order.Len(), 2)
	ends[1]()
	_, surplus = l.begin(conns[3], now)
	assert.Equal(t, surplus, nil)
}
