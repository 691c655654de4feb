package tomlfile

import (
	"bytes"
	"errors"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Bounds of what is indexed, so that the cost stays proportional to the text. No
// schema comes near them; a key beyond is unknown anyway.
const (
	maxKeyParts = 16
	maxNesting  = 8
)

// place is one key of the text: a key with its value, or a table header.
type place struct {
	// key is the dotted key with indexes, plain the same without indexes.
	key   string
	plain string
	// offset is the first byte of the key.
	offset int
	// start and end bound what goes when the key is blanked: the whole
	// expression, or from a header to the next header.
	start int
	end   int
	// header tells a table header from a key with its value.
	header bool
	// outer is the key of the expression that an inline table stands in.
	outer string
}

// index holds the places of all keys of one text, in the order of the text.
type index struct {
	places []place
	// byKey maps a key to its first place.
	byKey map[string]int
	lines []int
}

// syntaxError is where and why the text is no TOML.
type syntaxError struct {
	offset  int
	message string
}

// indexer walks the expressions of a text.
type indexer struct {
	*index
	parser unstable.Parser
	// elements counts the elements of each array of tables by its key.
	elements map[string]int
	// key and plain are those of the table that the walk is in.
	key   string
	plain string
	// section is the place of the open table header, or -1.
	section int
}

func newIndex(data []byte) (*index, *syntaxError) {
	x := &indexer{
		index:    &index{byKey: map[string]int{}, lines: lineStarts(data)},
		elements: map[string]int{},
		section:  -1,
	}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	x.endSection(len(data))
	return x.index, x.syntaxError()
}

func (x *indexer) syntaxError() *syntaxError {
	err := x.parser.Error()
	if err == nil {
		return nil
	}
	var perr *unstable.ParserError
	if !errors.As(err, &perr) {
		return &syntaxError{message: err.Error()}
	}
	return &syntaxError{offset: int(x.parser.Range(perr.Highlight).Offset), message: perr.Message}
}

func (x *indexer) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		x.header(n)
	case unstable.KeyValue:
		x.keyValue(n, x.key, x.plain, nil, 0)
	}
}

func (x *indexer) header(n *unstable.Node) {
	parts, offset := keyParts(n)
	start := lineStartOf(x.lines, offset)
	x.endSection(start)
	key, plain := "", ""
	for i, part := range parts {
		key, plain = join(key, part), join(plain, part)
		last := i == len(parts)-1
		if last && n.Kind == unstable.ArrayTable {
			x.elements[key]++
		}
		if count := x.elements[key]; count > 0 {
			key += "[" + strconv.Itoa(count-1) + "]"
		}
	}
	x.key, x.plain = key, plain
	x.section = x.add(place{key: key, plain: plain, offset: offset, start: start, header: true})
}

func (x *indexer) endSection(end int) {
	if x.section >= 0 {
		x.places[x.section].end = end
	}
}

// keyValue adds a key and what its value holds. outer is the place of the
// expression that an inline table stands in.
func (x *indexer) keyValue(n *unstable.Node, key, plain string, outer *place, depth int) {
	parts, offset := keyParts(n)
	for _, part := range parts {
		key, plain = join(key, part), join(plain, part)
	}
	p := place{key: key, plain: plain, offset: offset, start: int(n.Raw.Offset), end: int(n.Raw.Offset + n.Raw.Length)}
	if outer != nil {
		p.start, p.end, p.outer = outer.start, outer.end, outer.key
	} else {
		outer = &p
	}
	x.add(p)
	x.value(n.Value(), key, plain, outer, depth+1)
}

func (x *indexer) value(n *unstable.Node, key, plain string, outer *place, depth int) {
	if depth > maxNesting {
		return
	}
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			x.keyValue(it.Node(), key, plain, outer, depth)
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			element := it.Node()
			if element.Kind == unstable.InlineTable || element.Kind == unstable.Array {
				x.value(element, key+"["+strconv.Itoa(i)+"]", plain, outer, depth+1)
			}
		}
	}
}

func (x *indexer) add(p place) int {
	i := len(x.places)
	x.places = append(x.places, p)
	if _, taken := x.byKey[p.key]; !taken {
		x.byKey[p.key] = i
	}
	return i
}

// find returns the place of key. A table that stands alone where an array of
// tables is meant is its first element.
func (x *index) find(key string) (*place, bool) {
	if i, ok := x.byKey[key]; ok {
		return &x.places[i], true
	}
	if i, ok := x.byKey[strings.ReplaceAll(key, "[0]", "")]; ok {
		return &x.places[i], true
	}
	return nil, false
}

// at returns the innermost place whose expression holds offset. Keys come
// before sections as they stand inside them.
func (x *index) at(offset int) (p *place, ok bool) {
	i := sort.Search(len(x.places), func(i int) bool { return x.places[i].offset > offset }) - 1
	for ; i >= 0; i-- {
		p := &x.places[i]
		if p.start <= offset && offset < p.end {
			return p, true
		}
	}
	return nil, false
}

// position returns the line and column of offset, counted from one.
func (x *index) position(offset int) (line, column int) {
	line = sort.SearchInts(x.lines, offset+1)
	return line, offset - x.lines[line-1] + 1
}

// offset is the reverse of position.
func (x *index) offset(line, column int) int {
	if line < 1 || line > len(x.lines) {
		return 0
	}
	return x.lines[line-1] + column - 1
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i := 0; ; {
		n := bytes.IndexByte(data[i:], '\n')
		if n < 0 {
			return starts
		}
		i += n + 1
		starts = append(starts, i)
	}
}

func lineStartOf(lines []int, offset int) int {
	return lines[sort.SearchInts(lines, offset+1)-1]
}

// keyParts returns the parts of a node's dotted key, up to a bound, and where it
// begins.
func keyParts(n *unstable.Node) (parts []string, offset int) {
	for it := n.Key(); it.Next(); {
		k := it.Node()
		if len(parts) == 0 {
			offset = int(k.Raw.Offset)
		}
		if len(parts) < maxKeyParts {
			parts = append(parts, quotePart(string(k.Data)))
		}
	}
	return parts, offset
}

// quotePart quotes a key part that could be taken for several.
func quotePart(part string) string {
	if part == "" || strings.ContainsFunc(part, isNotBare) {
		return strconv.Quote(part)
	}
	return part
}

func isNotBare(r rune) bool {
	bare := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
	return !bare
}

func join(key, part string) string {
	if key == "" {
		return part
	}
	return key + "." + part
}
