// Package server implements the daemon of an entry instance. It builds the
// daemon's components from the settings, runs them as one group and stops them
// in order.
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
	defaultMaxBodyBytes          = 1 << 20
	defaultMaxBills              = 200_000
	defaultMaxConcurrentRequests = 512
	defaultAppendsPerSecond      = 300
	defaultRetention             = 24 * time.Hour
	defaultDrainTimeout          = 30 * time.Second
	// minSecretBytes is the minimum length of a secret.
	minSecretBytes = 16
)

// Config holds the validated settings of a daemon and what it takes from its
// process.
type Config struct {
	Cluster string
	Name    string
	Zone    string

	ClientAddr   netip.AddrPort
	PeerAddr     netip.AddrPort
	OperatorAddr netip.AddrPort
	MetricsAddr  netip.AddrPort

	LogAddr          netip.AddrPort
	RatingAddr       netip.AddrPort
	InstanceListAddr netip.AddrPort
	// AppendsPerSecond is the number of appends to the log that all daemons of
	// the cluster together may make per second.
	AppendsPerSecond int
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// SeedPeers are the peer addresses that the daemon probes to join the
	// cluster.
	SeedPeers []netip.AddrPort

	// The daemon uses the first key or token of a list and accepts all of them.
	ConversationKeys [][]byte
	OperatorTokens   []string
	PeerTokens       []string

	MaxBodyBytes int64
	// MaxBills is the maximum number of bills that the daemon holds until the
	// log has them.
	MaxBills int
	// MaxConcurrentRequests is the maximum number of requests that run at once.
	MaxConcurrentRequests int
	// DrainTimeout is how long a stopping daemon waits for active requests.
	DrainTimeout time.Duration
	LogLevel     hclog.Level

	// Network, Incarnation, RandomSeed, Logger and RouterOptions are set by the
	// process, not by the settings file.
	Network       connector.Network
	Incarnation   uint64
	RandomSeed    uint64
	Logger        hclog.Logger
	RouterOptions router.Options
}

// settingsReader converts settings and collects the faults that it finds.
type settingsReader struct {
	decoder.Checker
}

// readSecrets reads a key file with one secret per line. The daemon uses the
// first secret and accepts all of them, so that operators can change a key while
// they replace the daemons one by one.
func (r *settingsReader) readSecrets(path, file string) []string {
	if file == "" {
		r.AddFault(path, "is missing", "name a file that holds the secret")
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		r.AddFault(path, "cannot be read: "+err.Error(), "create it with `quetzalgrade key`")
		return nil
	}
	secrets := strings.Fields(string(data))
	if len(secrets) == 0 || slices.ContainsFunc(secrets, func(s string) bool { return len(s) < minSecretBytes }) {
		r.AddFault(path, "must hold secrets of at least 16 bytes", "create it with `quetzalgrade key`")
	}
	return secrets
}

func toByteSlices(secrets []string) [][]byte {
	keys := make([][]byte, len(secrets))
	for i, secret := range secrets {
		keys[i] = []byte(secret)
	}
	return keys
}

func orDefault(value uint32, fallback int) int {
	if value == 0 {
		return fallback
	}
	return int(value)
}

// Check validates settings and converts them to a Config. The error is a
// decoder.Faults whose paths are settings keys. The source adds the file and
// the line to each fault.
func Check(settings *schema.Settings, source decoder.Source) (Config, error) {
	r := &settingsReader{}
	listen, platform, limits := settings.GetListen(), settings.GetPlatform(), settings.GetLimits()
	config := Config{
		Cluster:               r.Text("cluster", settings.GetCluster(), "name the cluster"),
		Name:                  r.Text("name", settings.GetName(), "name this instance"),
		Zone:                  r.Text("zone", settings.GetZone(), "name the availability zone"),
		ClientAddr:            r.Address("listen.callers", listen.GetCallers()),
		PeerAddr:              r.Address("listen.peers", listen.GetPeers()),
		OperatorAddr:          r.Address("listen.operators", listen.GetOperators()),
		MetricsAddr:           r.Address("listen.metrics", listen.GetMetrics()),
		LogAddr:               r.Address("platform.log", platform.GetLog()),
		RatingAddr:            r.Address("platform.ratings", platform.GetRatings()),
		InstanceListAddr:      r.Address("platform.instances", platform.GetInstances()),
		AppendsPerSecond:      orDefault(platform.GetAppends(), defaultAppendsPerSecond),
		Retention:             defaultRetention,
		ConversationKeys:      toByteSlices(r.readSecrets("keys.conversations", settings.GetKeys().GetConversations())),
		OperatorTokens:        r.readSecrets("keys.operators", settings.GetKeys().GetOperators()),
		PeerTokens:            r.readSecrets("keys.peers", settings.GetKeys().GetPeers()),
		MaxBodyBytes:          int64(orDefault(limits.GetBody(), defaultMaxBodyBytes)),
		MaxBills:              orDefault(limits.GetBills(), defaultMaxBills),
		MaxConcurrentRequests: orDefault(limits.GetParallel(), defaultMaxConcurrentRequests),
		DrainTimeout:          defaultDrainTimeout,
		LogLevel:              r.LogLevel("log", settings.GetLog()),
	}
	if platform.GetRetention() != nil {
		config.Retention = platform.GetRetention().AsDuration()
	}
	if config.Retention < time.Minute {
		r.AddFault("platform.retention", "is shorter than a minute", "set it to the time for which the log keeps a record")
	}
	if settings.GetDrain() != nil {
		config.DrainTimeout = settings.GetDrain().AsDuration()
	}
	for i, seed := range settings.GetPeers() {
		config.SeedPeers = append(config.SeedPeers, r.Address(fmt.Sprintf("peers.%d", i), seed))
	}
	return config, source.Locate(r.Faults).Err()
}

// Load reads a settings file and validates it with Check.
func Load(file string) (Config, error) {
	settings := &schema.Settings{}
	source, err := decoder.DecodeFile(file, settings)
	if err != nil {
		return Config{}, errors.Wrap(err, "settings")
	}
	return Check(settings, source)
}
