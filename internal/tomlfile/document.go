package tomlfile

import (
	"fmt"
	"strings"

	"gypsumstand/internal/finding"
)

// HasSyntaxError tells that the text is no TOML from some line on, so that what is
// missing from the struct may stand there.
func (d *Document) HasSyntaxError() bool { return d.syntax }

// Has tells whether the text sets key, rightly or not.
func (d *Document) Has(key string) bool {
	_, ok := d.index.find(key)
	return ok
}

// Rejected tells whether the value of key, or of a table that holds it, was not
// taken, so that the struct's field says nothing.
func (d *Document) Rejected(key string) bool {
	for ; key != ""; key = parent(key) {
		if d.refused[key] {
			return true
		}
	}
	return false
}

// RejectedWithin tells whether key or anything within it was not taken.
func (d *Document) RejectedWithin(key string) bool {
	return d.holders[key] || d.Rejected(key)
}

// Add notes a fault of key with the place of key, or of the innermost table
// around it that the text has. Nothing is noted about a refused key.
func (d *Document) Add(key, format string, args ...any) {
	if d.Rejected(key) {
		return
	}
	f := finding.Finding{File: d.file, Key: key, Message: fmt.Sprintf(format, args...)}
	f.Line, f.Column = d.Position(key)
	d.findings.Add(f)
}

// Position returns the line and column of key or of the innermost table around
// it, counted from one; zeros when the text has neither.
func (d *Document) Position(key string) (line, column int) {
	for key != "" {
		if p, ok := d.index.find(key); ok {
			return d.index.position(p.offset)
		}
		key = parent(key)
	}
	return 0, 0
}

// parent returns key without its last part or index.
func parent(key string) string {
	if i := strings.LastIndexAny(key, ".["); i >= 0 {
		return key[:i]
	}
	return ""
}

// Err returns all findings as a finding.List in the order of their places, or
// nil when there is none.
func (d *Document) Err() error { return d.findings.Err() }

// Position returns the line and column of key in the text data; zeros when the
// text has neither key nor a table around it.
func Position(data []byte, key string) (line, column int) {
	idx, _ := newIndex(data)
	d := Document{index: idx}
	return d.Position(key)
}
