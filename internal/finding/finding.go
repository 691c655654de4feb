// Package finding collects faults of input with their place (file, line, key),
// so that all are reported together instead of one a run (house style).
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of an input file.
type Finding struct {
	// File is the input's name as the user gave it; may be empty.
	File string
	// Line and Column count from one; zero means the place has none.
	Line   int
	Column int
	// Key is the dotted TOML key, with indexes for arrays of tables.
	Key     string
	Message string
}

// String returns "file:line:column: key: message" without the absent parts.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		b.WriteString(":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
		if f.Column > 0 {
			fmt.Fprintf(&b, "%d:", f.Column)
		}
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if f.Key != "" {
		b.WriteString(f.Key)
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a set of findings. It is an error when it is not empty; use Err.
type List []Finding

// Add appends a finding made from its parts.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Err returns l as an error, or nil when it is empty. The order is by place.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return l
}

// Error returns all findings, one a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
