package standin

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Password authentication methods.
const (
	AuthenticationCleartext = "cleartext"
	AuthenticationMD5       = "md5"
)

// Defaults for settings that are left out.
const (
	defaultConnections = 100
	defaultSlots       = 8
	// defaultSilentTimeout is the time after which TCP keep-alive on the server
	// closes a silent connection.
	defaultSilentTimeout = 4 * time.Second
)

// DurationRange is a range of durations from which each delay is drawn uniformly.
type DurationRange struct {
	Min time.Duration `yaml:"min"`
	Max time.Duration `yaml:"max"`
}

// FixedDuration returns the range that contains only d.
func FixedDuration(d time.Duration) DurationRange { return DurationRange{Min: d, Max: d} }

// DatabaseSettings configures one stand-in database.
type DatabaseSettings struct {
	Name string `yaml:"name"`
	// Address is the listen address for clients and for the group's other
	// databases.
	Address string `yaml:"address"`
	// Peers maps the names of the group's other databases to their addresses.
	Peers map[string]string `yaml:"peers"`
	// Term and Primary are the state at the first start. Without Primary the
	// database starts detached.
	Term    uint64 `yaml:"term"`
	Primary string `yaml:"primary"`

	User           string `yaml:"user"`
	Password       string `yaml:"password"`
	Authentication string `yaml:"authentication"`
	// ControlUser is the only user that may call fence, promote, follow and evict.
	// If it is empty, every user may call them.
	ControlUser     string `yaml:"control_user"`
	ControlPassword string `yaml:"control_password"`

	// Connections is the connection limit. A connection above it is rejected with
	// SQLSTATE 53300.
	Connections  int           `yaml:"connections"`
	ConnectDelay time.Duration `yaml:"connect_delay"`
	// Slots is the number of data statements that run at once; others wait.
	// Contract calls, transaction control and SET, SHOW and RESET need no slot.
	Slots       int           `yaml:"slots"`
	ServiceTime DurationRange `yaml:"service_time"`
	// TransportDelay is one-way: it delays log entries at the replica and
	// acknowledgements at the primary.
	TransportDelay DurationRange `yaml:"transport_delay"`
	ApplyDelay     DurationRange `yaml:"apply_delay"`
	AnswerDelay    time.Duration `yaml:"answer_delay"`
	SilentTimeout  time.Duration `yaml:"silent_timeout"`
	// Journal names a file that keeps term, role and log beyond the end of the
	// process. Without it, a process that starts again has lost its data.
	Journal string `yaml:"journal"`
	// Seed makes the random delays repeatable.
	Seed uint64 `yaml:"seed"`
}

// ParseDatabaseSettings decodes settings from YAML. An unknown field is an
// error.
func ParseDatabaseSettings(data []byte) (DatabaseSettings, error) {
	var s DatabaseSettings
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil {
		return s, errors.Wrap(err, "decode database settings")
	}
	return s, nil
}

// applyDefaults sets the settings that are left out. It returns an error if the
// name is missing or the authentication method is unknown.
func (s *DatabaseSettings) applyDefaults() error {
	if s.Name == "" {
		return errors.New("database settings: name is missing")
	}
	if s.Address == "" {
		s.Address = "127.0.0.1:0"
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.SilentTimeout == 0 {
		s.SilentTimeout = defaultSilentTimeout
	}
	switch s.Authentication {
	case "":
		s.Authentication = AuthenticationCleartext
	case AuthenticationCleartext, AuthenticationMD5:
	default:
		return errors.Errorf("database settings: unknown authentication method %q", s.Authentication)
	}
	if s.Primary != "" && s.Term == 0 {
		s.Term = 1
	}
	return nil
}

// delaySampler draws random delays from a seeded source.
type delaySampler struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDelaySampler(seed uint64) *delaySampler {
	return &delaySampler{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (d *delaySampler) sample(r DurationRange) time.Duration {
	if r.Max <= r.Min {
		return r.Min
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.Min + time.Duration(d.rng.Int64N(int64(r.Max-r.Min)+1))
}
