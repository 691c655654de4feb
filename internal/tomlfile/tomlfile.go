// Package tomlfile decodes a TOML text strictly into a struct and reports every
// fault of it in one pass, each with file, line, column and dotted key. It also
// tells where a key stands, so that later checks can report their findings with
// the place. Bundles, keys and settings share it.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"gypsumstand/internal/finding"
)

// maxFaults bounds the faults of type and duplication that are looked for in one
// text: the decoder stops at the first, so each costs another decoding.
const maxFaults = 100

// Document is a decoded text with the places of its keys and its findings.
// Keys are dotted; elements of arrays of tables are counted from zero, as in
// "service[0].route[2].path".
type Document struct {
	file     string
	index    *index
	findings finding.List
	// refused are the keys whose values the decoder did not take. What they
	// would have set is absent from the struct, so nothing is said about them
	// a second time.
	refused map[string]bool
	// holders are the keys of all tables around refused keys.
	holders map[string]bool
	syntax  bool
}

// Decode decodes data into v, which holds the defaults, and notes each fault in
// the returned document. Faulty keys leave v's fields at their defaults. Of
// several values of a wrong type in one inline table only the first is noted.
// file names the text in findings.
func Decode[T any](file string, data []byte, v *T) *Document {
	idx, syntax := newIndex(data)
	d := &Document{file: file, index: idx, refused: map[string]bool{}, holders: map[string]bool{}}
	sch := schemaOf(reflect.TypeFor[T]())
	text := bytes.Clone(data)
	if syntax != nil {
		d.addSyntaxError(syntax)
		text = text[:d.lastWhole()]
	}
	d.refuseUnknown(sch, text)
	initial := *v
	for range maxFaults {
		*v = initial
		err := decodeStrict(text, v)
		if err == nil || !d.refuse(sch, text, err) {
			return d
		}
	}
	d.findings.Add(finding.Finding{File: file, Message: fmt.Sprintf("more than %d faults; the rest is not listed", maxFaults)})
	return d
}

func decodeStrict(text []byte, v any) error {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
}

func (d *Document) addSyntaxError(e *syntaxError) {
	d.syntax = true
	line, column := d.index.position(e.offset)
	d.findings.Add(finding.Finding{File: d.file, Line: line, Column: column, Message: e.message})
}

// lastWhole returns the end of the text's last whole expression.
func (d *Document) lastWhole() int {
	end := 0
	for i := range d.index.places {
		p := &d.index.places[i]
		if !p.header {
			end = max(end, p.end)
		}
	}
	return end
}

// refuseUnknown reports and blanks the keys that the schema does not know. The
// decoder would report them too, at a cost that grows with their square; it
// also takes keys written in another case.
func (d *Document) refuseUnknown(sch schema, text []byte) {
	for i := range d.index.places {
		p := &d.index.places[i]
		if _, known := sch[p.plain]; known || d.Rejected(p.key) {
			continue
		}
		line, column := d.index.position(p.offset)
		d.findings.Add(finding.Finding{File: d.file, Line: line, Column: column, Key: p.key, Message: "unknown key"})
		if p.outer != "" {
			// The rest of the inline table is still to be decoded.
			d.noteRefused(p.key)
			continue
		}
		d.blank(text, p)
	}
}

// refuse notes the decoder's error and blanks the expression at fault, so that
// the next decoding finds the next; false means that there is no more to find.
func (d *Document) refuse(sch schema, text []byte, err error) bool {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return d.refuseMissing(sch, text, missing)
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		return d.refuseAt(sch, text, one)
	}
	d.findings.Add(finding.Finding{File: d.file, Message: err.Error()})
	return false
}

// refuseMissing notes the first unknown key that refuseUnknown has not noted.
func (d *Document) refuseMissing(sch schema, text []byte, missing *toml.StrictMissingError) bool {
	for i := range missing.Errors {
		err := &missing.Errors[i]
		p, ok := d.index.at(d.index.offset(err.Position()))
		if !ok || !d.Rejected(p.key) {
			return d.refuseAt(sch, text, err)
		}
	}
	return false
}

func (d *Document) refuseAt(sch schema, text []byte, err *toml.DecodeError) bool {
	line, column := err.Position()
	f := finding.Finding{File: d.file, Line: line, Column: column, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	p, ok := d.index.at(d.index.offset(line, column))
	if ok {
		f.Key = p.key
		f.Message = reword(f.Message, sch.wanted(p.plain))
		d.blank(text, p)
	}
	d.findings.Add(f)
	return ok
}

// reword puts the decoder's messages about Go types into words about TOML.
func reword(message, wanted string) string {
	rest, ok := strings.CutPrefix(message, "cannot decode TOML ")
	if !ok {
		return message
	}
	kind, _, _ := strings.Cut(rest, " into ")
	return "must be " + wanted + ", found " + kind
}

// blank overwrites an expression with spaces and keeps its line ends, so that
// what follows stays at its place.
func (d *Document) blank(text []byte, p *place) {
	d.noteRefused(p.key)
	if p.outer != "" {
		d.noteRefused(p.outer)
	}
	if p.header {
		d.noteRefused(withoutLastIndex(p.key))
	}
	for i := p.start; i < min(p.end, len(text)); i++ {
		if text[i] != '\n' && text[i] != '\r' {
			text[i] = ' '
		}
	}
}

func (d *Document) noteRefused(key string) {
	d.refused[key] = true
	for key = parent(key); key != ""; key = parent(key) {
		d.holders[key] = true
	}
}

func withoutLastIndex(key string) string {
	if !strings.HasSuffix(key, "]") {
		return key
	}
	return key[:strings.LastIndexByte(key, '[')]
}
