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
	Name    string
	Zone    string
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Metrics netip.AddrPort
	// Relay is where other daemons of the zone ask for what this one has read;
	// invalid to read alone.
	Relay netip.AddrPort
	// Store is the address of the log.
	Store netip.AddrPort
	Level hclog.Level
	// Revoke is the time after which a request with a withdrawn key must not run.
	Revoke time.Duration
	// Leave is the time after which a leaving endpoint must get no request.
	Leave time.Duration
	// Grace is the time between a planned stop and the kill that follows it.
	Grace time.Duration
	// Repeats is the number of repeats allowed for each request in a window.
	Repeats float64
	Window  time.Duration
	Extra   int
	// Expose is the share of a service's requests that a bad version may get,
	// Slack the number on top of it.
	Expose float64
	Slack  int
	// Session is the pause after which requests of one session no longer belong
	// together.
	Session time.Duration
}

// settingsReader gathers the faults of settings.
type settingsReader struct {
	faults decoder.Faults
}

func (r *settingsReader) fault(path, message, fix string) {
	r.faults = append(r.faults, decoder.Fault{Path: path, Message: message, Fix: fix})
}

func (r *settingsReader) text(path, value, fix string) string {
	if value == "" {
		r.fault(path, "is missing", fix)
	}
	return value
}

func (r *settingsReader) address(path, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		r.fault(path, "\""+value+"\" is not an address", `write it as "127.0.0.1:8080"`)
	}
	return address
}

// optional reads an address that may be missing.
func (r *settingsReader) optional(path, value string) netip.AddrPort {
	if value == "" {
		return netip.AddrPort{}
	}
	return r.address(path, value)
}

func (r *settingsReader) duration(path string, value *durationpb.Duration) time.Duration {
	if value.AsDuration() <= 0 {
		r.fault(path, "is not a positive time", `write it as "2s"`)
	}
	return value.AsDuration()
}

func (r *settingsReader) share(path string, value float64) float64 {
	if !(value >= 0) || value > 10 {
		r.fault(path, "is not a share", "write it as 0.1")
	}
	return value
}

func (r *settingsReader) level(path, value string) hclog.Level {
	if value == "" {
		return hclog.Info
	}
	level := hclog.LevelFromString(value)
	if level == hclog.NoLevel {
		r.fault(path, "\""+value+"\" is not a level", decoder.Suggest(value, []string{"trace", "debug", "info", "warn", "error"}))
	}
	return level
}

// Check turns settings of the schema into checked ones. The error is a
// decoder.Faults; source adds file and line.
func Check(settings *schema.EntrySettings, source decoder.Source) (Settings, error) {
	r := &settingsReader{}
	listen, bounds := settings.GetListen(), settings.GetBounds()
	checked := Settings{
		Name:    r.text("name", settings.GetName(), "name this instance"),
		Zone:    r.text("zone", settings.GetZone(), "name the availability zone"),
		Callers: r.address("listen.callers", listen.GetCallers()),
		Ready:   r.address("listen.ready", listen.GetReady()),
		Metrics: r.address("listen.metrics", listen.GetMetrics()),
		Relay:   r.optional("listen.relay", listen.GetRelay()),
		Store:   r.address("store.address", settings.GetStore().GetAddress()),
		Level:   r.level("log", settings.GetLog()),
		Revoke:  r.duration("bounds.revoke", bounds.GetRevoke()),
		Leave:   r.duration("bounds.leave", bounds.GetLeave()),
		Grace:   r.duration("bounds.grace", bounds.GetGrace()),
		Repeats: r.share("bounds.repeats", bounds.GetRepeats()),
		Window:  r.duration("bounds.window", bounds.GetWindow()),
		Extra:   int(bounds.GetExtra()),
		Expose:  r.share("bounds.expose", bounds.GetExpose()),
		Slack:   int(bounds.GetSlack()),
		Session: r.duration("bounds.session", bounds.GetSession()),
	}
	return checked, source.Locate(r.faults).Err()
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	settings := &schema.EntrySettings{}
	source, err := decoder.DecodeFile(file, settings)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Check(settings, source)
}
