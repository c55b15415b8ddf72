package runner

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/decoder"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Settings are the checked settings of an entry daemon.
type Settings struct {
	Name           string
	Zone           string
	ClientAddress  netip.AddrPort
	ReadyAddress   netip.AddrPort
	MetricsAddress netip.AddrPort
	// Relay is where other daemons of the zone ask for what this one has read;
	// invalid to read alone.
	RelayAddress netip.AddrPort
	// Store is the address of the log.
	LogAddress netip.AddrPort
	LogLevel   hclog.Level
	// Revoke is the time after which a request with a withdrawn key must not run.
	RevokeDeadline time.Duration
	// Leave is the time after which a leaving endpoint must get no request.
	DrainDeadline time.Duration
	// Grace is the time between a planned stop and the kill that follows it.
	StopGrace time.Duration
	// Repeats is the number of repeats allowed for each request in a window.
	RetryRatio   float64
	RetryWindow  time.Duration
	ExtraRetries int
	// Expose is the share of a service's requests that a bad version may get,
	// Slack the number on top of it.
	ExposureShare float64
	ExposureSlack int
	// Session is the pause after which requests of one session no longer belong
	// together.
	SessionTimeout time.Duration
}

// settingsReader gathers the faults of settings.
type settingsChecker struct {
	faults decoder.Faults
}

func (c *settingsChecker) fault(path, message, fix string) {
	c.faults = append(c.faults, decoder.Fault{Path: path, Message: message, Fix: fix})
}

func (c *settingsChecker) requiredText(path, value, fix string) string {
	if value == "" {
		c.fault(path, "is missing", fix)
	}
	return value
}

func (c *settingsChecker) address(path, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fault(path, "\""+value+"\" is not an address", `write it as "127.0.0.1:8080"`)
	}
	return address
}

// optional reads an address that may be missing.
func (c *settingsChecker) optionalAddress(path, value string) netip.AddrPort {
	if value == "" {
		return netip.AddrPort{}
	}
	return c.address(path, value)
}

func (c *settingsChecker) duration(path string, value *durationpb.Duration) time.Duration {
	if value.AsDuration() <= 0 {
		c.fault(path, "is not a positive time", `write it as "2s"`)
	}
	return value.AsDuration()
}

func (c *settingsChecker) ratio(path string, value float64) float64 {
	if !(value >= 0) || value > 10 {
		c.fault(path, "is not a share", "write it as 0.1")
	}
	return value
}

func (c *settingsChecker) level(path, value string) hclog.Level {
	if value == "" {
		return hclog.Info
	}
	level := hclog.LevelFromString(value)
	if level == hclog.NoLevel {
		c.fault(path, "\""+value+"\" is not a level", decoder.Suggest(value, []string{"trace", "debug", "info", "warn", "error"}))
	}
	return level
}

// Check turns settings of the schema into checked ones. The error is a
// decoder.Faults; source adds file and line.
func CheckSettings(settings *schema.EntrySettings, source decoder.Source) (Settings, error) {
	c := &settingsChecker{}
	listen, bounds := settings.GetListen(), settings.GetBounds()
	checked := Settings{
		Name:           c.requiredText("name", settings.GetName(), "name this instance"),
		Zone:           c.requiredText("zone", settings.GetZone(), "name the availability zone"),
		ClientAddress:  c.address("listen.callers", listen.GetCallers()),
		ReadyAddress:   c.address("listen.ready", listen.GetReady()),
		MetricsAddress: c.address("listen.metrics", listen.GetMetrics()),
		RelayAddress:   c.optionalAddress("listen.relay", listen.GetRelay()),
		LogAddress:     c.address("store.address", settings.GetStore().GetAddress()),
		LogLevel:       c.level("log", settings.GetLog()),
		RevokeDeadline: c.duration("bounds.revoke", bounds.GetRevoke()),
		DrainDeadline:  c.duration("bounds.leave", bounds.GetLeave()),
		StopGrace:      c.duration("bounds.grace", bounds.GetGrace()),
		RetryRatio:     c.ratio("bounds.repeats", bounds.GetRepeats()),
		RetryWindow:    c.duration("bounds.window", bounds.GetWindow()),
		ExtraRetries:   int(bounds.GetExtra()),
		ExposureShare:  c.ratio("bounds.expose", bounds.GetExpose()),
		ExposureSlack:  int(bounds.GetSlack()),
		SessionTimeout: c.duration("bounds.session", bounds.GetSession()),
	}
	return checked, source.Locate(c.faults).Err()
}

// Load reads and checks a settings file.
func LoadSettings(file string) (Settings, error) {
	settings := &schema.EntrySettings{}
	source, err := decoder.File(file, settings)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return CheckSettings(settings, source)
}
