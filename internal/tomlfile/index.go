package tomlfile

import (
	"bytes"
	"errors"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Limits of the index, which keep its cost proportional to the size of the text. All schemas
// stay far below them, so that any key beyond them is unknown.
const (
	maxKeyParts = 16
	maxNesting  = 8
)

// keySpan is the position of one key in the text: of a key with its value, or of a table
// header.
type keySpan struct {
	// key is the dotted key with indexes, schemaKey the same key without indexes.
	key       string
	schemaKey string
	// offset is the offset of the key's first byte.
	offset int
	// start and end delimit the text to blank when the key is rejected: the complete
	// expression, or everything from a header to the next header.
	start int
	end   int
	// isHeader is true for a table header and false for a key with its value.
	isHeader bool
	// enclosing is the key of the expression around a key in an inline table; empty for
	// other keys.
	enclosing string
}

// index holds the positions of all keys of one text, in the order of the text.
type index struct {
	spans []keySpan
	// byKey maps a key to the index of its first span.
	byKey map[string]int
	// lineStarts holds the offset of the first byte of each line.
	lineStarts []int
}

// syntaxError is the position and the reason of a syntax error.
type syntaxError struct {
	offset  int
	message string
}

// indexer builds the index from the expressions of a text.
type indexer struct {
	*index
	parser unstable.Parser
	// elementCounts holds the number of elements so far of each array of tables, by key.
	elementCounts map[string]int
	// tableKey and tableSchemaKey are the keys of the current table.
	tableKey       string
	tableSchemaKey string
	// openHeader is the index of the current table's header in spans, or -1.
	openHeader int
}

// newIndex indexes data up to its first syntax error, which it returns; nil means none.
func newIndex(data []byte) (*index, *syntaxError) {
	x := &indexer{
		index:         &index{byKey: map[string]int{}, lineStarts: findLineStarts(data)},
		elementCounts: map[string]int{},
		openHeader:    -1,
	}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.addExpression(x.parser.Expression())
	}
	x.closeHeader(len(data))
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

func (x *indexer) addExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		x.addHeader(n)
	case unstable.KeyValue:
		x.addKeyValue(n, x.tableKey, x.tableSchemaKey, nil, 0)
	}
}

// addHeader adds a table header and makes it the current table.
func (x *indexer) addHeader(n *unstable.Node) {
	parts, offset := keyParts(n)
	start := lineStartBefore(x.lineStarts, offset)
	x.closeHeader(start)
	key, schemaKey := "", ""
	for i, part := range parts {
		key, schemaKey = joinKey(key, part), joinKey(schemaKey, part)
		last := i == len(parts)-1
		if last && n.Kind == unstable.ArrayTable {
			x.elementCounts[key]++
		}
		if count := x.elementCounts[key]; count > 0 {
			key += "[" + strconv.Itoa(count-1) + "]"
		}
	}
	x.tableKey, x.tableSchemaKey = key, schemaKey
	x.openHeader = x.add(keySpan{key: key, schemaKey: schemaKey, offset: offset, start: start, isHeader: true})
}

// closeHeader sets the end of the current table.
func (x *indexer) closeHeader(end int) {
	if x.openHeader >= 0 {
		x.spans[x.openHeader].end = end
	}
}

// addKeyValue adds a key and the keys in its value. enclosing is the span of the expression
// around an inline table, or nil outside of inline tables.
func (x *indexer) addKeyValue(n *unstable.Node, key, schemaKey string, enclosing *keySpan, depth int) {
	parts, offset := keyParts(n)
	for _, part := range parts {
		key, schemaKey = joinKey(key, part), joinKey(schemaKey, part)
	}
	p := keySpan{
		key: key, schemaKey: schemaKey, offset: offset,
		start: int(n.Raw.Offset), end: int(n.Raw.Offset + n.Raw.Length),
	}
	if enclosing != nil {
		p.start, p.end, p.enclosing = enclosing.start, enclosing.end, enclosing.key
	} else {
		enclosing = &p
	}
	x.add(p)
	x.addValue(n.Value(), key, schemaKey, enclosing, depth+1)
}

// addValue adds the keys in inline tables within a value.
func (x *indexer) addValue(n *unstable.Node, key, schemaKey string, enclosing *keySpan, depth int) {
	if depth > maxNesting {
		return
	}
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			x.addKeyValue(it.Node(), key, schemaKey, enclosing, depth)
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			element := it.Node()
			if element.Kind == unstable.InlineTable || element.Kind == unstable.Array {
				x.addValue(element, key+"["+strconv.Itoa(i)+"]", schemaKey, enclosing, depth+1)
			}
		}
	}
}

func (x *indexer) add(p keySpan) int {
	i := len(x.spans)
	x.spans = append(x.spans, p)
	if _, exists := x.byKey[p.key]; !exists {
		x.byKey[p.key] = i
	}
	return i
}

// find returns the span of key. A single table in place of an array of tables counts as the
// array's first element.
func (x *index) find(key string) (*keySpan, bool) {
	if i, ok := x.byKey[key]; ok {
		return &x.spans[i], true
	}
	if i, ok := x.byKey[strings.ReplaceAll(key, "[0]", "")]; ok {
		return &x.spans[i], true
	}
	return nil, false
}

// innermostAt returns the innermost span that contains offset. The search goes backwards from
// the last key that starts before offset, so that it finds a key before the table around it.
func (x *index) innermostAt(offset int) (p *keySpan, ok bool) {
	i := sort.Search(len(x.spans), func(i int) bool { return x.spans[i].offset > offset }) - 1
	for ; i >= 0; i-- {
		p := &x.spans[i]
		if p.start <= offset && offset < p.end {
			return p, true
		}
	}
	return nil, false
}

// position returns the line and column of offset, both from 1.
func (x *index) position(offset int) (line, column int) {
	line = sort.SearchInts(x.lineStarts, offset+1)
	return line, offset - x.lineStarts[line-1] + 1
}

// offset is the inverse of position; it returns 0 for a line that does not exist.
func (x *index) offset(line, column int) int {
	if line < 1 || line > len(x.lineStarts) {
		return 0
	}
	return x.lineStarts[line-1] + column - 1
}

// findLineStarts returns the offset of the first byte of each line.
func findLineStarts(data []byte) []int {
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

// lineStartBefore returns the start of the line that contains offset.
func lineStartBefore(lineStarts []int, offset int) int {
	return lineStarts[sort.SearchInts(lineStarts, offset+1)-1]
}

// keyParts returns the first maxKeyParts parts of a node's dotted key and the offset of the
// key.
func keyParts(n *unstable.Node) (parts []string, offset int) {
	for it := n.Key(); it.Next(); {
		k := it.Node()
		if len(parts) == 0 {
			offset = int(k.Raw.Offset)
		}
		if len(parts) < maxKeyParts {
			parts = append(parts, quoteKeyPart(string(k.Data)))
		}
	}
	return parts, offset
}

// quoteKeyPart quotes a key part that is not a bare key, such as one that contains a dot.
func quoteKeyPart(part string) string {
	if part == "" || strings.ContainsFunc(part, isNotBareKeyRune) {
		return strconv.Quote(part)
	}
	return part
}

func isNotBareKeyRune(r rune) bool {
	bare := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
	return !bare
}

func joinKey(key, part string) string {
	if key == "" {
		return part
	}
	return key + "." + part
}
