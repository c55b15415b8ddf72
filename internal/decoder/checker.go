package decoder

import (
	"net/netip"

	"github.com/hashicorp/go-hclog"
)

// Checker converts the values of settings and collects the faults that it finds. Paths are the keys
// of the settings.
type Checker struct {
	Faults Faults
}

// AddFault adds a fault. fix says how to correct it.
func (c *Checker) AddFault(path, message, fix string) {
	c.Faults = append(c.Faults, Fault{Path: path, Message: message, Fix: fix})
}

// Text checks a text that must be set.
func (c *Checker) Text(path, value, fix string) string {
	if value == "" {
		c.AddFault(path, "is missing", fix)
	}
	return value
}

// Address parses an address that must be set.
func (c *Checker) Address(path, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.AddFault(path, "\""+value+"\" is not an address", `write it as "127.0.0.1:8080"`)
	}
	return address
}

// LogLevel parses the level of the log. It is info if it is missing.
func (c *Checker) LogLevel(path, value string) hclog.Level {
	if value == "" {
		return hclog.Info
	}
	level := hclog.LevelFromString(value)
	if level == hclog.NoLevel {
		c.AddFault(path, "\""+value+"\" is not a log level", Suggest(value, []string{"trace", "debug", "info", "warn", "error"}))
	}
	return level
}
