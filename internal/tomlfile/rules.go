package tomlfile

import (
	"math"
	"net/netip"
	"strings"
)

// MaxNameBytes is the maximum length of a name.
const MaxNameBytes = 64

// NameRule describes what ValidName accepts; it follows the name in a message.
const NameRule = "must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"

// ValidName reports whether s is a valid name. Names are used unescaped as metric labels, in
// headers and in file names.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '.' || r == '_' || r == '-')
	})
}

// CheckName adds a finding if the name at key is missing or not valid.
func (d *Document) CheckName(key, value string) {
	switch {
	case value == "" && !d.Has(key):
		d.Add(key, "missing")
	case !ValidName(value):
		d.Add(key, "%q %s", value, NameRule)
	}
}

// Require adds a finding if the text does not set key, and reports whether it does.
func (d *Document) Require(key string) bool {
	if d.Has(key) {
		return true
	}
	d.Add(key, "missing")
	return false
}

// CheckIntRange adds a finding if value is not from low to high.
func (d *Document) CheckIntRange(key string, value, low, high int64) {
	if value < low || value > high {
		d.Add(key, "%d must be from %d to %d", value, low, high)
	}
}

// CheckFloatRange adds a finding if value is not a number from low to high.
func (d *Document) CheckFloatRange(key string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		d.Add(key, "%g must be from %g to %g", value, low, high)
	}
}

// CheckFloatAbove adds a finding if value is not a number over low and at most high.
func (d *Document) CheckFloatAbove(key string, value, low, high float64) {
	if math.IsNaN(value) || value <= low || value > high {
		d.Add(key, "%g must be over %g and at most %g", value, low, high)
	}
}

// CheckAddress adds a finding if value is not "ip:port" with a port from 1 to 65535, and
// returns the address. ok is false if the address is not valid or was rejected. Host names
// are not valid, because nodes resolve none.
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
		d.Add(key, "%q must not have a zone", value)
	default:
		return addr, !d.Rejected(key)
	}
	return addr, false
}
