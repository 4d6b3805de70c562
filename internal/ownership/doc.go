// Package ownership knows the hosts of the deployment and which of them holds
// which role. Machine is a pure state machine; Shell drives it.
//
// Rows of one space of the store hold the hosts and the roles. Every host
// follows the space by long polls, and an answered poll confirms that the host
// knew all rows when the poll was sent. A host uses a role for LeaseTTL after
// the sending of the last answered poll. A host that takes a role over writes
// itself into the row and then waits for LeaseTTL, so that the old holder has
// seen the row or has run out of confirmation. There is no wait when the old
// holder gave the role up itself, or when its process has been replaced at the
// same address. Nothing is written in the steady state.
//
// A role is held only by what the followed rows say. A write whose answer was
// lost therefore needs no settling: it either shows up as a row or it does not.
package ownership
