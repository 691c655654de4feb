package tomlfile

import (
	"math"
	"net/netip"
	"strings"
)

// MaxNameBytes bounds a name.
const MaxNameBytes = 64

// NameRule says what ValidName asks for, to follow the name in a message.
const NameRule = "must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"

// ValidName tells whether s may name a thing: such names become metric labels,
// parts of headers and file names as they are.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '.' || r == '_' || r == '-')
	})
}

// CheckName notes a fault when the name at key is missing or not valid.
func (d *Document) CheckName(key, value string) {
	switch {
	case value == "" && !d.Has(key):
		d.Add(key, "missing")
	case !ValidName(value):
		d.Add(key, "%q %s", value, NameRule)
	}
}

// Require notes a fault when the text does not set key, and tells whether it
// does.
func (d *Document) Require(key string) bool {
	if d.Has(key) {
		return true
	}
	d.Add(key, "missing")
	return false
}

// CheckIntRange notes a fault when value is not within low and high.
func (d *Document) CheckIntRange(key string, value, low, high int64) {
	if value < low || value > high {
		d.Add(key, "%d must be from %d to %d", value, low, high)
	}
}

// CheckFloatRange notes a fault when value is not a number within low and high.
func (d *Document) CheckFloatRange(key string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		d.Add(key, "%g must be from %g to %g", value, low, high)
	}
}

// CheckFloatAbove notes a fault when value is not a number over low and up to high.
func (d *Document) CheckFloatAbove(key string, value, low, high float64) {
	if math.IsNaN(value) || value <= low || value > high {
		d.Add(key, "%g must be over %g and at most %g", value, low, high)
	}
}

// CheckAddress notes a fault when value is not "ip:port" with a port from 1, and
// returns the address. A host name is a fault: nodes look no names up.
func (d *Document) CheckAddress(key, value string) (addr netip.AddrPort, ok bool) {
	if value == "" && !d.Has(key) {
		d.Add(key, "missing")
		return addr, false
	}
	addr, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		d.Add(key, "%q must be an IP number and a port, as in 10.0.0.7:7100 or [fd00::7]:7100", value)
	case addr.Port() == 0:
		d.Add(key, "%q must have a port from 1 to 65535", value)
	case addr.Addr().Zone() != "":
		d.Add(key, "%q must have no zone", value)
	default:
		return addr, !d.Rejected(key)
	}
	return addr, false
}
