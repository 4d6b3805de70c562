package dbconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel drop a connection whose sent data stays
// unacknowledged, so that a silent link is found even while data is in flight.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
