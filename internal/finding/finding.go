// Package finding collects errors in input files with their positions, so that a single run
// reports all of them.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in an input file.
type Finding struct {
	// File is the name of the input as given by the user; may be empty.
	File string
	// Line and Column count from 1; 0 means that the finding has none.
	Line   int
	Column int
	// Key is the dotted TOML key with indexes for arrays of tables, or the name of another
	// input such as a flag; may be empty.
	Key string
	// Message describes the error without its position.
	Message string
}

// String returns "file:line:column: key: message" without the parts that are empty.
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

// List collects findings. A list that is not empty is an error; Err returns it. It is not safe
// for concurrent use.
type List []Finding

// Add appends f.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Err sorts l by file, line and column and returns it as an error, or nil if it is empty.
// Findings at the same position keep their order.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return l
}

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
