package peer

import "time"

// CeilMicroseconds encodes an age for another host. It rounds up, so that data never
// appears fresher than it is.
func CeilMicroseconds(age time.Duration) int64 {
	return int64((age + time.Microsecond - 1) / time.Microsecond)
}
