// Package server is the daemon of an entry instance: it builds the parts from
// the settings, runs them as one group and stops them in order.
package server

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/decoder"
	"quetzalgrade.example/quetzalgrade/internal/router"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	defaultBody      = 1 << 20
	defaultBills     = 200_000
	defaultParallel  = 512
	defaultAppends   = 300
	defaultRetention = 24 * time.Hour
	defaultDrain     = 30 * time.Second
	// minKey is the least length of a secret in bytes.
	minKey = 16
)

// Config is a checked form of the settings.
type Config struct {
	Cluster string
	Name    string
	Zone    string

	Callers   netip.AddrPort
	Peer      netip.AddrPort
	Operators netip.AddrPort
	Metrics   netip.AddrPort

	Log       netip.AddrPort
	Ratings   netip.AddrPort
	Instances netip.AddrPort
	// Appends is the number of appends a second that the cluster may make.
	Appends   int
	Retention time.Duration
	Seeds     []netip.AddrPort

	// Of several keys the first is used, and all are accepted.
	ConversationKeys [][]byte
	OperatorTokens   []string
	PeerTokens       []string

	MaxBody  int64
	MaxBills int
	Parallel int
	Drain    time.Duration
	Level    hclog.Level

	// Network, Incarnation, Random and Logger come from the process.
	Network     connector.Network
	Incarnation uint64
	Seed        uint64
	Logger      hclog.Logger
	Options     router.Options
}

// reader turns settings into a Config and gathers the faults.
type reader struct {
	faults decoder.Faults
}

func (r *reader) fault(path, message, fix string) {
	r.faults = append(r.faults, decoder.Fault{Path: path, Message: message, Fix: fix})
}

func (r *reader) text(path, value, fix string) string {
	if value == "" {
		r.fault(path, "is missing", fix)
	}
	return value
}

func (r *reader) addr(path, value string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		r.fault(path, "\""+value+"\" is not an address", `write it as "127.0.0.1:8080"`)
	}
	return addr
}

// secrets reads a key file: one secret a line. The first is used and all are
// accepted, so that keys can be changed while daemons are replaced one by one.
func (r *reader) secrets(path, file string) []string {
	if file == "" {
		r.fault(path, "is missing", "name a file that holds the secret")
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		r.fault(path, "cannot be read: "+err.Error(), "create it with `quetzalgrade key`")
		return nil
	}
	secrets := strings.Fields(string(data))
	if len(secrets) == 0 || slices.ContainsFunc(secrets, func(s string) bool { return len(s) < minKey }) {
		r.fault(path, "holds a secret of fewer than 16 bytes", "create it with `quetzalgrade key`")
	}
	return secrets
}

func asBytes(secrets []string) [][]byte {
	keys := make([][]byte, len(secrets))
	for i, secret := range secrets {
		keys[i] = []byte(secret)
	}
	return keys
}

func positive(value uint32, fallback int) int {
	if value == 0 {
		return fallback
	}
	return int(value)
}

// Check turns settings into a Config. The error is a decoder.Faults whose
// paths are keys of the settings; source adds file and line.
func Check(settings *schema.Settings, source decoder.Source) (Config, error) {
	r := &reader{}
	listen, platform, limits := settings.GetListen(), settings.GetPlatform(), settings.GetLimits()
	config := Config{
		Cluster:          r.text("cluster", settings.GetCluster(), "name the cluster"),
		Name:             r.text("name", settings.GetName(), "name this instance"),
		Zone:             r.text("zone", settings.GetZone(), "name the availability zone"),
		Callers:          r.addr("listen.callers", listen.GetCallers()),
		Peer:             r.addr("listen.peers", listen.GetPeers()),
		Operators:        r.addr("listen.operators", listen.GetOperators()),
		Metrics:          r.addr("listen.metrics", listen.GetMetrics()),
		Log:              r.addr("platform.log", platform.GetLog()),
		Ratings:          r.addr("platform.ratings", platform.GetRatings()),
		Instances:        r.addr("platform.instances", platform.GetInstances()),
		Appends:          positive(platform.GetAppends(), defaultAppends),
		Retention:        defaultRetention,
		ConversationKeys: asBytes(r.secrets("keys.conversations", settings.GetKeys().GetConversations())),
		OperatorTokens:   r.secrets("keys.operators", settings.GetKeys().GetOperators()),
		PeerTokens:       r.secrets("keys.peers", settings.GetKeys().GetPeers()),
		MaxBody:          int64(positive(limits.GetBody(), defaultBody)),
		MaxBills:         positive(limits.GetBills(), defaultBills),
		Parallel:         positive(limits.GetParallel(), defaultParallel),
		Drain:            defaultDrain,
		Level:            hclog.Info,
	}
	if platform.GetRetention() != nil {
		config.Retention = platform.GetRetention().AsDuration()
	}
	if config.Retention < time.Minute {
		r.fault("platform.retention", "is shorter than a minute", "give the time that the log keeps a record")
	}
	if settings.GetDrain() != nil {
		config.Drain = settings.GetDrain().AsDuration()
	}
	for i, seed := range settings.GetPeers() {
		config.Seeds = append(config.Seeds, r.addr(fmt.Sprintf("peers.%d", i), seed))
	}
	if settings.GetLog() != "" {
		config.Level = hclog.LevelFromString(settings.GetLog())
		if config.Level == hclog.NoLevel {
			r.fault("log", "\""+settings.GetLog()+"\" is not a level", decoder.Suggest(settings.GetLog(), []string{"trace", "debug", "info", "warn", "error"}))
		}
	}
	return config, source.Locate(r.faults).Err()
}

// Load reads and checks a settings file.
func Load(file string) (Config, error) {
	settings := &schema.Settings{}
	source, err := decoder.DecodeFile(file, settings)
	if err != nil {
		return Config{}, errors.Wrap(err, "settings")
	}
	return Check(settings, source)
}
