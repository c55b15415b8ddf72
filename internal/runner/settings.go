package runner

import (
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/decoder"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Settings are the checked settings of an entry daemon.
type Settings struct {
	Name string
	Zone string
	// ClientAddress is where clients connect, ReadyAddress where the load balancer
	// probes readiness, and MetricsAddress where metrics are read.
	ClientAddress  netip.AddrPort
	ReadyAddress   netip.AddrPort
	MetricsAddress netip.AddrPort
	// RelayAddress is where other daemons of the zone read what this one has read
	// from the log. If it is the zero value, the daemon does not share its reads.
	RelayAddress netip.AddrPort
	// LogAddress is the address of the platform's log.
	LogAddress netip.AddrPort
	LogLevel   hclog.Level
	// RevokeDeadline is the time after which a request with a withdrawn key must not
	// run.
	RevokeDeadline time.Duration
	// DrainDeadline is the time after which a draining endpoint must get no request.
	DrainDeadline time.Duration
	// StopGrace is the time between a planned stop and the kill that follows it.
	StopGrace time.Duration
	// RetryRatio is the number of retries allowed for each request.
	RetryRatio float64
	// ExposureShare is the share of a service's requests that a bad version may get
	// during a rollout, ExposureSlack the number of requests on top.
	ExposureShare float64
	ExposureSlack float64
	// SessionTimeout is the pause after which requests with one session id no longer
	// belong together.
	SessionTimeout time.Duration
	// ColdFactor times the declared rate of a cold endpoint is the number of requests that it
	// may get in any second from all daemons, ColdMargin the number of requests on top.
	ColdFactor float64
	ColdMargin float64
	// Released are the digests of requests that are sent although they have crashed endpoints.
	Released []uint64
}

// equal reports whether two settings are the same.
func (s Settings) equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}

// releases reports whether a request is sent although it has crashed endpoints.
func (s Settings) releases(digest uint64) bool {
	return slices.Contains(s.Released, digest)
}

// settingsChecker converts settings and collects the faults that it finds.
type settingsChecker struct {
	decoder.Checker
}

// optionalAddress parses an address that may be missing.
func (c *settingsChecker) optionalAddress(path, value string) netip.AddrPort {
	if value == "" {
		return netip.AddrPort{}
	}
	return c.Address(path, value)
}

func (c *settingsChecker) duration(path string, value *durationpb.Duration) time.Duration {
	if value.AsDuration() <= 0 {
		c.AddFault(path, "is not a positive duration", `write it as "2s"`)
	}
	return value.AsDuration()
}

func (c *settingsChecker) ratio(path string, value float64) float64 {
	if !(value >= 0) || value > 10 {
		c.AddFault(path, "is not between 0 and 10", "write it as 0.1")
	}
	return value
}

// digests parses the digests of requests.
func (c *settingsChecker) digests(path string, values []string) []uint64 {
	var digests []uint64
	for i, value := range values {
		digest, err := strconv.ParseUint(value, 16, 64)
		if err != nil {
			c.AddFault(path+"."+strconv.Itoa(i), "\""+value+"\" is not a digest", "write it as the log lines show it")
		}
		digests = append(digests, digest)
	}
	return digests
}

// share checks a share of a whole.
func (c *settingsChecker) share(path string, value float64) float64 {
	if !(value >= 0) || value > 1 {
		c.AddFault(path, "is not between 0 and 1", "write it as 0.15")
	}
	return value
}

// count checks a number that bounds a count. It may have a fraction.
func (c *settingsChecker) count(path string, value float64) float64 {
	if !(value >= 0) {
		c.AddFault(path, "is negative", "write it as 30")
	}
	return value
}

// factor checks a multiple. It is 1 if it is missing.
func (c *settingsChecker) factor(path string, value float64) float64 {
	if value == 0 {
		return 1
	}
	return c.ratio(path, value)
}

// CheckSettings converts the schema's settings to checked ones. The error is a
// decoder.Faults. source adds the file and the lines to it.
func CheckSettings(settings *schema.EntrySettings, source decoder.Source) (Settings, error) {
	c := &settingsChecker{}
	listen, bounds := settings.GetListen(), settings.GetBounds()
	checked := Settings{
		Name:           c.Text("name", settings.GetName(), "name this instance"),
		Zone:           c.Text("zone", settings.GetZone(), "name the availability zone"),
		ClientAddress:  c.Address("listen.callers", listen.GetCallers()),
		ReadyAddress:   c.Address("listen.ready", listen.GetReady()),
		MetricsAddress: c.Address("listen.metrics", listen.GetMetrics()),
		RelayAddress:   c.optionalAddress("listen.relay", listen.GetRelay()),
		LogAddress:     c.Address("store.address", settings.GetStore().GetAddress()),
		LogLevel:       c.LogLevel("log", settings.GetLog()),
		RevokeDeadline: c.duration("bounds.revoke", bounds.GetRevoke()),
		DrainDeadline:  c.duration("bounds.leave", bounds.GetLeave()),
		StopGrace:      c.duration("bounds.grace", bounds.GetGrace()),
		RetryRatio:     c.ratio("bounds.repeats", bounds.GetRepeats()),
		ExposureShare:  c.share("bounds.expose", bounds.GetExpose()),
		ExposureSlack:  c.count("bounds.slack", bounds.GetSlack()),
		SessionTimeout: c.duration("bounds.session", bounds.GetSession()),
		ColdFactor:     c.factor("bounds.cold", bounds.GetCold()),
		ColdMargin:     c.count("bounds.margin", bounds.GetMargin()),
		Released:       c.digests("release", settings.GetRelease()),
	}
	return checked, source.Locate(c.Faults).Err()
}

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (Settings, error) {
	settings := &schema.EntrySettings{}
	source, err := decoder.DecodeFile(file, settings)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return CheckSettings(settings, source)
}
