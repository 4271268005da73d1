// Package parser parses a node's settings from TOML.
//
// Unknown keys and invalid values are errors with file, line and reason, so that
// a process never starts with settings that it would partly ignore.
//
// # Usage
//
//	settings, err := parser.ParseFile("node.toml")
package parser

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"
)

// ErrInvalid marks settings that can't be read or are invalid.
var ErrInvalid = errors.New("settings are invalid")

// Settings are a node's parsed and validated settings.
type Settings struct {
	Name   string
	Domain string
	// Callers, Peers and Operators are the addresses that the node listens on.
	// Peers is used for both TCP and UDP.
	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	// Log and Hosts are the addresses of the platform's log service and host list.
	Log   netip.AddrPort
	Hosts netip.AddrPort
	// PeerKey authenticates calls and heartbeats between nodes. All nodes have
	// the same key.
	PeerKey []byte
	// OperatorKey is the bearer key that an operator's call must present if it
	// changes the node's state.
	OperatorKey string
	// Seeds are the peers to contact before the host list has been read.
	Seeds []netip.AddrPort
	// Policy is the name of the routing policy.
	Policy string
	// Stores enables the use of store hosts.
	Stores bool
	// Grace is the time from the start of a graceful shutdown until the node stops
	// accepting connections.
	Grace time.Duration
	// DrainLimit is the longest duration of a graceful shutdown.
	DrainLimit time.Duration
	LogFormat  string
	LogLevel   zerolog.Level
}

const (
	defaultPolicy     = "cost"
	defaultGrace      = 3 * time.Second
	defaultDrainLimit = 30 * time.Minute
	minKeyBytes       = 16

	// FormatJSON is the log format with one JSON object per line.
	FormatJSON = "json"
	// FormatConsole is the human-readable log format.
	FormatConsole = "console"
)

type wireSettings struct {
	Name   string `toml:"name"`
	Domain string `toml:"domain"`
	Listen struct {
		Callers   address `toml:"callers"`
		Peers     address `toml:"peers"`
		Operators address `toml:"operators"`
	} `toml:"listen"`
	Platform struct {
		Log   address `toml:"log"`
		Hosts address `toml:"hosts"`
	} `toml:"platform"`
	Peers struct {
		Key   string    `toml:"key"`
		Seeds []address `toml:"seeds"`
	} `toml:"peers"`
	Operators struct {
		Key string `toml:"key"`
	} `toml:"operators"`
	Routing struct {
		Policy string `toml:"policy"`
		Stores bool   `toml:"stores"`
	} `toml:"routing"`
	Drain struct {
		Grace duration `toml:"grace"`
		Limit duration `toml:"limit"`
	} `toml:"drain"`
	Logging struct {
		Format string `toml:"format"`
		Level  level  `toml:"level"`
	} `toml:"logging"`
}

type address struct{ netip.AddrPort }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *address) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	a.AddrPort = parsed
	return err
}

type duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err == nil && parsed < 0 {
		err = errors.New("duration is negative")
	}
	d.Duration = parsed
	return err
}

type level struct{ zerolog.Level }

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *level) UnmarshalText(text []byte) error {
	parsed, err := zerolog.ParseLevel(string(text))
	l.Level = parsed
	return err
}

// ParseFile parses the settings in a file. Errors are marked ErrInvalid.
func ParseFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Mark(err, ErrInvalid)
	}
	return Parse(path, data)
}

// Parse parses settings. Errors are marked ErrInvalid and refer to the input as
// name.
func Parse(name string, data []byte) (Settings, error) {
	var wire wireSettings
	wire.Routing.Policy = defaultPolicy
	wire.Routing.Stores = true
	wire.Drain.Grace.Duration = defaultGrace
	wire.Drain.Limit.Duration = defaultDrainLimit
	wire.Logging.Format = FormatJSON
	wire.Logging.Level.Level = zerolog.InfoLevel
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return Settings{}, decodeError(name, err)
	}
	for _, rule := range rules {
		if reason := rule.check(&wire); reason != "" {
			return Settings{}, errors.Wrapf(ErrInvalid, "%s:%d: %s: %s", name, lineOf(data, rule.key), rule.key, reason)
		}
	}
	return toSettings(&wire), nil
}

func decodeError(name string, err error) error {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) && len(strictErr.Errors) > 0 {
		first := strictErr.Errors[0]
		row, _ := first.Position()
		return errors.Wrapf(ErrInvalid, "%s:%d: %s: unknown key", name, row, strings.Join(first.Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		return errors.Wrapf(ErrInvalid, "%s:%d: %s: %s", name, row, strings.Join(decodeErr.Key(), "."), strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	return errors.Mark(errors.Wrap(err, name), ErrInvalid)
}

// rule validates the value of one key. check returns why the value is invalid, or
// an empty string.
type rule struct {
	key   string
	check func(wire *wireSettings) string
}

var rules = []rule{
	{"name", func(w *wireSettings) string { return reasonUnless(w.Name != "", "is missing") }},
	{"domain", func(w *wireSettings) string { return reasonUnless(w.Domain != "", "is missing") }},
	{"listen.callers", func(w *wireSettings) string { return checkAddress(w.Listen.Callers) }},
	{"listen.peers", func(w *wireSettings) string { return checkAddress(w.Listen.Peers) }},
	{"listen.operators", func(w *wireSettings) string { return checkAddress(w.Listen.Operators) }},
	{"platform.log", func(w *wireSettings) string { return checkAddress(w.Platform.Log) }},
	{"platform.hosts", func(w *wireSettings) string { return checkAddress(w.Platform.Hosts) }},
	{"peers.key", func(w *wireSettings) string { return checkSecret(w.Peers.Key) }},
	{"operators.key", func(w *wireSettings) string { return checkSecret(w.Operators.Key) }},
	{"logging.format", func(w *wireSettings) string {
		return reasonUnless(w.Logging.Format == FormatJSON || w.Logging.Format == FormatConsole, "must be json or console")
	}},
}

func checkAddress(a address) string {
	return reasonUnless(a.IsValid() && a.Port() != 0, "needs an address such as 127.0.0.1:7100")
}

func checkSecret(key string) string {
	return reasonUnless(len(key) >= minKeyBytes, fmt.Sprintf("needs at least %d characters", minKeyBytes))
}

func reasonUnless(ok bool, reason string) string {
	if ok {
		return ""
	}
	return reason
}

// lineOf returns the number of the line that sets a key. For a missing key it is
// the line of the key's table, and 1 without that table.
func lineOf(data []byte, key string) int {
	table, name, nested := strings.Cut(key, ".")
	if !nested {
		table, name = "", key
	}
	line, currentTable := 1, ""
	for i, text := range strings.Split(string(data), "\n") {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			currentTable = strings.Trim(text, "[] ")
			if currentTable == table {
				line = i + 1
			}
			continue
		}
		assignedKey, _, assigned := strings.Cut(text, "=")
		if assigned && currentTable == table && strings.TrimSpace(assignedKey) == name {
			return i + 1
		}
	}
	return line
}

func toSettings(wire *wireSettings) Settings {
	settings := Settings{
		Name:        wire.Name,
		Domain:      wire.Domain,
		Callers:     wire.Listen.Callers.AddrPort,
		Peers:       wire.Listen.Peers.AddrPort,
		Operators:   wire.Listen.Operators.AddrPort,
		Log:         wire.Platform.Log.AddrPort,
		Hosts:       wire.Platform.Hosts.AddrPort,
		PeerKey:     []byte(wire.Peers.Key),
		OperatorKey: wire.Operators.Key,
		Policy:      wire.Routing.Policy,
		Stores:      wire.Routing.Stores,
		Grace:       wire.Drain.Grace.Duration,
		DrainLimit:  wire.Drain.Limit.Duration,
		LogFormat:   wire.Logging.Format,
		LogLevel:    wire.Logging.Level.Level,
	}
	for _, seed := range wire.Peers.Seeds {
		settings.Seeds = append(settings.Seeds, seed.AddrPort)
	}
	return settings
}
