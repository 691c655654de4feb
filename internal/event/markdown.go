package event

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the text of docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every log line carries its number as `event`. This page is written from the\n")
	b.WriteString("catalogue in `internal/event` by `make docs`; a test fails when the two differ.\n\n")
	b.WriteString("| number | level | event | cause | what an operator does |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.ID, e.Level, e.Name, e.Cause, e.Action)
	}
	return b.String()
}
