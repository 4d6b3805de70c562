package entry

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// Opener opens a Run stream at the home host of a backend server that suits the
// request. An error means that no frontend byte was sent.
type Opener interface {
	Open(ctx context.Context, start *peerpb.Start) (peer.RunStream, error)
}

// Limiter admits requests within the customer's rate. It returns a NotRun error
// with reason rate_limited when the request is refused.
type Limiter interface {
	Admit(ctx context.Context, customer string) error
}

// Keys checks callers' keys.
type Keys interface {
	// Verify returns the customer and the key id that the password proves.
	Verify(route config.Route, password string) (customer, keyID string, err error)
	// Check returns why a session that was admitted with the key must end, or
	// nil.
	Check(route, customer, keyID string) error
}

// Positions asks for a position that covers everything acknowledged to the
// customer before the call.
type Positions interface {
	Position(ctx context.Context, group, customer string) (*peerpb.Token, error)
}

// CancelForwarder sends a cancel request to the hosts whose HostNumber is host.
type CancelForwarder interface {
	ForwardCancel(ctx context.Context, host, processID, secret uint32) error
}

// Options configure an Entry.
type Options struct {
	// Listener accepts client connections.
	Listener net.Listener
	// TLS is the server configuration. Without it only plaintext is served.
	TLS *tls.Config
	// Plaintext allows public routes without TLS. Keyed routes never are.
	Plaintext bool
	// Host is the own host name, Zone the own availability zone.
	Host string
	Zone string
	// Document returns the configuration in force, nil before the first.
	Document func() *config.Document
	// KeysChanged is signalled after a change of the configuration in force. May
	// be nil.
	KeysChanged <-chan struct{}
	Keys        Keys
	Opener      Opener
	Limiter     Limiter
	Positions   Positions
	Cancels     CancelForwarder
	Counters    *telemetry.Counters
	Logger      *log.Logger
	// MaxClients bounds the sessions of this host; 0 sets the default.
	MaxClients int
	// IdleTransaction bounds the pause of a client within a transaction.
	IdleTransaction time.Duration
	// ClientPatience bounds how long a client may take to finish a message or a
	// batch that it has begun, to log in, or to accept an answer.
	ClientPatience time.Duration
}

// Defaults and fixed bounds.
const (
	defaultMaxClients      = 60_000
	defaultIdleTransaction = 60 * time.Second
	defaultClientPatience  = 30 * time.Second
	// maxMessageBytes is the largest accepted client message.
	maxMessageBytes = 16 << 20
	// keepAliveIdle and keepAliveInterval find silent clients of idle sessions.
	// They are long, because probes to 50,000 idle clients cost packets.
	keepAliveIdle     = 60 * time.Second
	keepAliveInterval = 15 * time.Second
	keepAliveCount    = 3
	// overdueGrace is the time between asking to cancel a statement whose
	// deadline has passed and giving its answer up.
	overdueGrace = time.Second
	// keySweepInterval is the longest time between two checks of the keys of all
	// sessions.
	keySweepInterval = 500 * time.Millisecond
	// streamEndWait bounds the wait for the home host to end a finished stream.
	streamEndWait = 5 * time.Second
	// positionTimeout bounds one call for the position of a primary.
	positionTimeout = 2 * time.Second
	// positionPause is the pause after a call that failed.
	positionPause = 50 * time.Millisecond
	// maxChunkBytes bounds the frontend bytes of one message between hosts. gRPC
	// accepts 4 MiB by default.
	maxChunkBytes = 1 << 20
	// maxHandshakes bounds the logins in progress at one time. It leaves room for
	// the clients of a host that restarts, about 5,100 at full size, next to some
	// that are silent.
	maxHandshakes = 8192
)

func (o *Options) setDefaults() {
	if o.MaxClients == 0 {
		o.MaxClients = defaultMaxClients
	}
	if o.IdleTransaction == 0 {
		o.IdleTransaction = defaultIdleTransaction
	}
	if o.ClientPatience == 0 {
		o.ClientPatience = defaultClientPatience
	}
	if o.Counters == nil {
		o.Counters = telemetry.NewCounters()
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
}
