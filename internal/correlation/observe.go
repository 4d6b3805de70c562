package correlation

import (
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Event is a finding on a connection that speaks against an answer.
type Event struct {
	Finding
	// Server is the backend server, Connection the number of the connection among those
	// that the host has opened.
	Server     string
	Connection uint64
	// RequestID and Kind are those of the outstanding statement. RequestID is empty for a
	// statement that the proxy has issued itself, and if none is outstanding.
	RequestID string
	Kind      statement.Kind
	// Error is the reason of the error in the answer; empty for a success.
	Error verdict.Reason
}

// Observer is told of every event. It must not block.
type Observer func(Event)
