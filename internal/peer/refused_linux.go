package peer

import "syscall"

var errConnectionRefused error = syscall.ECONNREFUSED
