package tomlfile

import (
	"fmt"
	"strings"

	"gypsumstand/internal/finding"
)

// HasSyntaxError reports whether the text stops being valid TOML at some line. Keys that are
// missing from the struct may follow after that line.
func (d *Document) HasSyntaxError() bool { return d.hasSyntaxError }

// Has reports whether the text sets key, to a valid value or not.
func (d *Document) Has(key string) bool {
	_, ok := d.index.find(key)
	return ok
}

// Rejected reports whether the value of key, or of a table that contains it, was rejected,
// so that the struct's field does not hold the value in the text.
func (d *Document) Rejected(key string) bool {
	for ; key != ""; key = parentKey(key) {
		if d.rejected[key] {
			return true
		}
	}
	return false
}

// RejectedWithin reports whether the value of key, or of anything in it, was rejected.
func (d *Document) RejectedWithin(key string) bool {
	return d.rejectedParents[key] || d.Rejected(key)
}

// Add adds a finding about key at the position of key, or of the innermost table around it
// that the text contains. It ignores rejected keys, which have a finding already.
func (d *Document) Add(key, format string, args ...any) {
	if d.Rejected(key) {
		return
	}
	f := finding.Finding{File: d.file, Key: key, Message: fmt.Sprintf(format, args...)}
	f.Line, f.Column = d.Position(key)
	d.findings.Add(f)
}

// Position returns the line and column, from 1, of key or of the innermost table around it;
// both are 0 if the text contains neither.
func (d *Document) Position(key string) (line, column int) {
	for key != "" {
		if p, ok := d.index.find(key); ok {
			return d.index.position(p.offset)
		}
		key = parentKey(key)
	}
	return 0, 0
}

// parentKey returns key without its last part or index.
func parentKey(key string) string {
	if i := strings.LastIndexAny(key, ".["); i >= 0 {
		return key[:i]
	}
	return ""
}

// Err returns all findings as a finding.List in the order of their positions, or nil if there
// are none.
func (d *Document) Err() error { return d.findings.Err() }

// Position returns the line and column, from 1, of key or of the innermost table around it in
// the text in data; both are 0 if the text contains neither.
func Position(data []byte, key string) (line, column int) {
	idx, _ := newIndex(data)
	d := Document{index: idx}
	return d.Position(key)
}
