// Package guard lets a build disable one of the checks that the guarantees of the
// proxy depend on, to show that the soak test detects the missing check. In an
// ordinary build every check is enabled. This command disables the check floor:
//
//	go build -ldflags "-X github.com/cranberryhinge/cranberryhinge/internal/guard.without=floor" ./cmd/cranberryhinge
package guard

// Guard names a check.
type Guard string

// The checks that a build can disable.
const (
	// Floor makes a replica prove that it has reached the log position that a
	// read requires.
	Floor Guard = "floor"
	// KeyAge bounds the age of the configuration's last confirmation up to
	// which keys are accepted.
	KeyAge Guard = "key_age"
	// Lease stops the use of a role when the last confirmation is too old.
	Lease Guard = "lease"
	// Takeover makes a host wait before it uses a role that another host held.
	Takeover Guard = "takeover"
	// Values keeps the session values of one session from other sessions.
	Values Guard = "values"
	// Verdict prevents a write whose outcome is unknown from being reported as
	// not run.
	Verdict Guard = "verdict"
	// Rate limits admission to the rate limits of the customers.
	Rate Guard = "rate"
	// Drain makes a planned stop wait until the sessions have ended.
	Drain Guard = "drain"
)

// without is the check that this build disables, set by the linker; empty in an
// ordinary build.
var without string

// Enabled reports whether the check is enabled.
func Enabled(g Guard) bool { return without != string(g) }
