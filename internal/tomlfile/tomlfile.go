// Package tomlfile decodes a TOML text strictly into a struct and reports all errors in it
// together, each with file, line, column and dotted key. It also maps keys to positions, so
// that later checks can add findings with a position. Bundles, keys and settings use it.
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

// maxDecodeErrors is the maximum number of type errors and duplicate keys reported for one
// text: the decoder stops at the first error, so that each error costs another decoding.
const maxDecodeErrors = 100

// Document is a decoded text with the positions of its keys and its findings. Keys are
// dotted; elements of arrays of tables have an index from 0, as in
// "service[0].route[2].path". A Document is not safe for concurrent use.
type Document struct {
	file     string
	index    *index
	findings finding.List
	// rejected holds the keys whose values were not decoded. Later findings about them are
	// dropped, because the struct's fields do not hold the values in the text.
	rejected map[string]bool
	// rejectedParents holds the keys of all tables around rejected keys.
	rejectedParents map[string]bool
	hasSyntaxError  bool
}

// Decode decodes data into v, which holds the defaults, and adds a finding to the returned
// document for each error. Rejected keys leave v's fields at their defaults. Of several
// values of a wrong type in one inline table, only the first is reported. file names the
// text in findings. Decode does not modify data.
func Decode[T any](file string, data []byte, v *T) *Document {
	idx, syntaxErr := newIndex(data)
	d := &Document{file: file, index: idx, rejected: map[string]bool{}, rejectedParents: map[string]bool{}}
	keyTypes := schemaOf(reflect.TypeFor[T]())
	text := bytes.Clone(data)
	if syntaxErr != nil {
		d.addSyntaxError(syntaxErr)
		text = text[:d.endOfLastKeyValue()]
	}
	d.rejectUnknownKeys(keyTypes, text)
	initial := *v
	for range maxDecodeErrors {
		*v = initial
		err := decodeStrict(text, v)
		if err == nil || !d.rejectDecodeError(keyTypes, text, err) {
			return d
		}
	}
	d.findings.Add(finding.Finding{File: file, Message: fmt.Sprintf("more than %d errors; the rest are not listed", maxDecodeErrors)})
	return d
}

// decodeStrict decodes text into v and rejects keys without a field.
func decodeStrict(text []byte, v any) error {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
}

func (d *Document) addSyntaxError(e *syntaxError) {
	d.hasSyntaxError = true
	line, column := d.index.position(e.offset)
	d.findings.Add(finding.Finding{File: d.file, Line: line, Column: column, Message: e.message})
}

// endOfLastKeyValue returns the end of the last complete key with its value.
func (d *Document) endOfLastKeyValue() int {
	end := 0
	for i := range d.index.spans {
		p := &d.index.spans[i]
		if !p.isHeader {
			end = max(end, p.end)
		}
	}
	return end
}

// rejectUnknownKeys reports and blanks the keys that are not in the schema. The decoder
// would report them too, but at a cost quadratic in their number, and it would accept keys
// that differ only in case.
func (d *Document) rejectUnknownKeys(keyTypes schema, text []byte) {
	for i := range d.index.spans {
		p := &d.index.spans[i]
		if _, known := keyTypes[p.schemaKey]; known || d.Rejected(p.key) {
			continue
		}
		line, column := d.index.position(p.offset)
		d.findings.Add(finding.Finding{File: d.file, Line: line, Column: column, Key: p.key, Message: "unknown key"})
		if p.enclosing != "" {
			// The rest of the inline table is still decoded.
			d.markRejected(p.key)
			continue
		}
		d.blank(text, p)
	}
}

// rejectDecodeError reports the decoder's error and blanks the expression that caused it, so
// that the next decoding finds the next error. It returns false if it blanked nothing, so
// that decoding again would find nothing new.
func (d *Document) rejectDecodeError(keyTypes schema, text []byte, err error) bool {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return d.rejectStrictError(keyTypes, text, missing)
	}
	var single *toml.DecodeError
	if errors.As(err, &single) {
		return d.rejectAt(keyTypes, text, single)
	}
	d.findings.Add(finding.Finding{File: d.file, Message: err.Error()})
	return false
}

// rejectStrictError reports the first unknown key that rejectUnknownKeys has not reported.
// It returns false if there is none.
func (d *Document) rejectStrictError(keyTypes schema, text []byte, missing *toml.StrictMissingError) bool {
	for i := range missing.Errors {
		err := &missing.Errors[i]
		p, ok := d.index.innermostAt(d.index.offset(err.Position()))
		if !ok || !d.Rejected(p.key) {
			return d.rejectAt(keyTypes, text, err)
		}
	}
	return false
}

// rejectAt reports err and blanks the innermost key at its position. It returns false if
// there is no key at that position.
func (d *Document) rejectAt(keyTypes schema, text []byte, err *toml.DecodeError) bool {
	line, column := err.Position()
	f := finding.Finding{File: d.file, Line: line, Column: column, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	p, ok := d.index.innermostAt(d.index.offset(line, column))
	if ok {
		f.Key = p.key
		f.Message = describeTypeError(f.Message, keyTypes.expectedType(p.schemaKey))
		d.blank(text, p)
	}
	d.findings.Add(f)
	return ok
}

// describeTypeError replaces the decoder's messages about Go types by messages about TOML
// types; other messages are returned unchanged.
func describeTypeError(message, expected string) string {
	rest, ok := strings.CutPrefix(message, "cannot decode TOML ")
	if !ok {
		return message
	}
	kind, _, _ := strings.Cut(rest, " into ")
	return "must be " + expected + ", found " + kind
}

// blank marks a key as rejected and overwrites its expression with spaces. Line ends stay, so
// that the positions of the following text do not change.
func (d *Document) blank(text []byte, p *keySpan) {
	d.markRejected(p.key)
	if p.enclosing != "" {
		d.markRejected(p.enclosing)
	}
	if p.isHeader {
		d.markRejected(withoutLastIndex(p.key))
	}
	for i := p.start; i < min(p.end, len(text)); i++ {
		if text[i] != '\n' && text[i] != '\r' {
			text[i] = ' '
		}
	}
}

// markRejected records a rejected key and the tables around it.
func (d *Document) markRejected(key string) {
	d.rejected[key] = true
	for key = parentKey(key); key != ""; key = parentKey(key) {
		d.rejectedParents[key] = true
	}
}

func withoutLastIndex(key string) string {
	if !strings.HasSuffix(key, "]") {
		return key
	}
	return key[:strings.LastIndexByte(key, '[')]
}
