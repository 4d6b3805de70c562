package entry

import (
	"net"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the longest time that sent data may stay unacknowledged before
// the kernel closes the connection.
const tcpUserTimeout = 2 * keepAliveInterval

// setSocketOptions enables TCP keep-alive and TCP_USER_TIMEOUT, which bound the time
// until an unreachable client is detected.
func setSocketOptions(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}
