package statement

import (
	"crypto/sha256"
	"encoding/base32"
)

var backendNameEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// MaxShapeBytes limits the text of a Shape: a message of 1 MiB has to hold it together with
// the backend name.
const MaxShapeBytes = 1<<20 - 256

// Digest identifies the content of a prepared statement. Clients choose the content, so
// only a cryptographic hash keeps two statements apart, and all of its bits are needed if
// the same client chooses both.
type Digest [sha256.Size]byte

// BackendName returns the name of a prepared statement on backend connections. It depends
// only on the content, so that sessions share prepared statements, and so that a name
// never means another statement than before. It has 52 letters and digits after the prefix,
// within the 63 bytes that PostgreSQL compares.
func BackendName(prefix string, content Digest) string {
	return prefix + backendNameEncoding.EncodeToString(content[:])
}
