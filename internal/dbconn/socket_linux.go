package dbconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setTCPUserTimeout makes the kernel close a connection whose sent data is not
// acknowledged, so that a silent connection is detected even while data is in
// flight.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
