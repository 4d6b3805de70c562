// Package guard lets a build leave out one of the checks that the promises rest
// on, to show that the soak notices. Every check is in force in an ordinary build:
//
//	go build -ldflags "-X github.com/cranberryhinge/cranberryhinge/internal/guard.without=floor" ./cmd/cranberryhinge
package guard

// Guard names a check.
type Guard string

// Checks that can be left out.
const (
	// Floor makes a replica prove that it has the position that a read needs.
	Floor Guard = "floor"
	// KeyAge bounds the age of the confirmation with which keys are accepted.
	KeyAge Guard = "key_age"
	// Lease ends the use of a role when its confirmation is too old.
	Lease Guard = "lease"
	// Takeover is the wait before a role is used that another host held.
	Takeover Guard = "takeover"
	// Values keeps session values from other sessions.
	Values Guard = "values"
	// Verdict keeps a lost write from being reported as not run.
	Verdict Guard = "verdict"
	// Rate admits operations within the customers' limits only.
	Rate Guard = "rate"
	// Drain lets a planned stop wait for the sessions.
	Drain Guard = "drain"
)

// without is the check that the linker leaves out, empty in an ordinary build.
var without string

// On reports whether the check is in force.
func On(g Guard) bool { return without != string(g) }
