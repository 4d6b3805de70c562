package entry

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// Opener opens a Run stream to the home host of a backend server that can serve
// the request. An error means that no frontend byte was sent.
type Opener interface {
	Open(ctx context.Context, start *peerpb.Start) (peer.RunStream, error)
}

// Limiter is the rate limiter for requests of customers. Admit returns a NotRun
// error with reason rate_limited when it refuses the request.
type Limiter interface {
	Admit(ctx context.Context, customer string) error
}

// Keys verifies the keys of callers.
type Keys interface {
	// Verify returns the customer and the key id that the password authenticates.
	Verify(route config.Route, password string) (customer, keyID string, err error)
	// CheckSession returns an error if a session that logged in with the key must
	// end.
	CheckSession(route, customer, keyID string) error
}

// PositionSource returns a log position that covers every commit acknowledged to the
// customer before the call.
type PositionSource interface {
	Position(ctx context.Context, group, customer string) (*peerpb.Token, error)
}

// CancelForwarder sends a cancel request to all hosts whose HostNumber is host.
type CancelForwarder interface {
	ForwardCancel(ctx context.Context, host, processID, secret uint32) error
}

// Options configure an Entry.
type Options struct {
	// Listener accepts client connections.
	Listener net.Listener
	// TLS is the TLS configuration of the listener. If nil, only connections without
	// TLS are served.
	TLS *tls.Config
	// AllowPlaintext allows connections without TLS on public routes. Routes that
	// need a key always require TLS.
	AllowPlaintext bool
	// Host is the name of this host, Zone its availability zone.
	Host string
	Zone string
	// Document returns the configuration in force, or nil if there is none yet.
	Document func() *config.Document
	// KeysChanged is signalled after a change of the configuration in force. It may
	// be nil.
	KeysChanged     <-chan struct{}
	Keys            Keys
	Opener          Opener
	Limiter         Limiter
	Positions       PositionSource
	CancelForwarder CancelForwarder
	Counters        *telemetry.Counters
	Logger          *log.Logger
	// Budget bounds the memory of clients; nil for no bound.
	Budget *budget.Budget
	// MaxClients limits the number of sessions of this host; 0 selects the default.
	MaxClients int
	// IdleTransactionTimeout is the longest time that a client may be idle within a
	// transaction.
	IdleTransactionTimeout time.Duration
	// ClientTimeout is the longest time that a client may take to complete a
	// message or a batch that it has begun, to log in, or to receive a response.
	ClientTimeout time.Duration
}

// Defaults and fixed limits.
const (
	defaultMaxClients      = 60_000
	defaultIdleTransaction = 60 * time.Second
	defaultClientTimeout   = 30 * time.Second
	// maxMessageBytes is the largest accepted client message.
	maxMessageBytes = 16 << 20
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive
	// probes that detect unreachable clients of idle sessions. The times are long to
	// limit the number of packets with 50,000 idle clients.
	keepAliveIdle     = 60 * time.Second
	keepAliveInterval = 15 * time.Second
	keepAliveCount    = 3
	// cancelGracePeriod is the time between the request to cancel a statement, for
	// example after its deadline, and the abort of its exchange. The abort of a stream
	// that is still being opened follows its deadline by the same time.
	cancelGracePeriod = time.Second
	// keyCheckInterval is the longest time between two checks of the keys of all
	// sessions. A change of the configuration starts a check at once.
	keyCheckInterval = 500 * time.Millisecond
	// streamEndTimeout bounds the wait for the home host to end a finished stream.
	streamEndTimeout = 5 * time.Second
	// positionTimeout bounds one call for the log position of a primary.
	positionTimeout = 2 * time.Second
	// positionRetryDelay is the delay before a failed call for a position is
	// repeated.
	positionRetryDelay = 50 * time.Millisecond
	// maxChunkBytes limits the frontend bytes of one message between hosts. By
	// default, gRPC accepts messages of up to 4 MiB.
	maxChunkBytes = 1 << 20
	// minConcurrentLogins is the least limit of logins in progress, so that clients over a
	// small MaxClients are told so.
	minConcurrentLogins = 256
	// maxConcurrentLogins limits the logins in progress at one time, and so does
	// MaxClients; the oldest login is closed for a new one. It is large
	// enough for all clients that reconnect after a host restarts, about 5,100 in a
	// fleet of full size, and for some connections that stay silent.
	maxConcurrentLogins = 8192
)

func (o *Options) setDefaults() {
	if o.MaxClients == 0 {
		o.MaxClients = defaultMaxClients
	}
	if o.IdleTransactionTimeout == 0 {
		o.IdleTransactionTimeout = defaultIdleTransaction
	}
	if o.ClientTimeout == 0 {
		o.ClientTimeout = defaultClientTimeout
	}
	if o.Counters == nil {
		o.Counters = telemetry.NewCounters()
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
}
