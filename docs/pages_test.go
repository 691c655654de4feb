package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/settings"
)

// root is the module's root folder, relative to the tests' folder.
const root = ".."

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// section returns the text of a page under a second-level heading.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, ok := strings.Cut(page, "\n## "+heading+"\n")
	if !ok {
		t.Fatalf("the page has no section %q", heading)
	}
	part, _, _ := strings.Cut(rest, "\n## ")
	return part
}

// rowPattern matches the first cell of a table row that is one term in backticks.
var rowPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// rowNames returns the sorted first cells of all matching table rows.
func rowNames(text string) []string {
	var out []string
	for _, match := range rowPattern.FindAllStringSubmatch(text, -1) {
		out = append(out, match[1])
	}
	slices.Sort(out)
	return out
}

// tomlKeys returns the sorted dotted TOML keys of a type.
func tomlKeys(v any) []string {
	var out []string
	addKeys(&out, "", reflect.TypeOf(v))
	slices.Sort(out)
	return out
}

// addKeys appends the keys of typ and of its nested structs, with the prefix.
func addKeys(out *[]string, prefix string, typ reflect.Type) {
	for i := range typ.NumField() {
		field := typ.Field(i)
		key := prefix + field.Tag.Get("toml")
		elem := field.Type
		for elem.Kind() == reflect.Slice || elem.Kind() == reflect.Pointer {
			elem = elem.Elem()
		}
		if elem.Kind() == reflect.Struct {
			addKeys(out, key+".", elem)
			continue
		}
		*out = append(*out, key)
	}
}

func TestOperatingNamesEveryKeyOfSettings(t *testing.T) {
	got := rowNames(section(t, readPage(t, "OPERATING.md"), "Settings"))
	if diff := cmp.Diff(tomlKeys(settings.Settings{}), got); diff != "" {
		t.Errorf("keys of the code (-) and of the page (+):\n%s", diff)
	}
}

func TestOperatingNamesEveryKeyOfBundles(t *testing.T) {
	got := rowNames(section(t, readPage(t, "OPERATING.md"), "Bundles"))
	if diff := cmp.Diff(tomlKeys(bundle.Bundle{}), got); diff != "" {
		t.Errorf("keys of the code (-) and of the page (+):\n%s", diff)
	}
}

const metricPrefix = "gypsum_"

func TestOperatingNamesEveryMetric(t *testing.T) {
	want := append(optionNames(t, "internal/metrics/metrics.go"), describedNames(t, "internal/node/collector.go")...)
	slices.Sort(want)
	got := rowNames(section(t, readPage(t, "OPERATING.md"), "What to watch"))
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("metrics of the code (-) and of the page (+):\n%s", diff)
	}
}

// parseFile parses a Go file, given by its path from the module root.
func parseFile(t *testing.T, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// optionNames returns the names of the metrics whose options have the form "Name: ..." in a
// file.
func optionNames(t *testing.T, path string) []string {
	t.Helper()
	var out []string
	ast.Inspect(parseFile(t, path), func(n ast.Node) bool {
		if pair, ok := n.(*ast.KeyValueExpr); ok {
			if key, ok := pair.Key.(*ast.Ident); ok && key.Name == "Name" {
				out = append(out, metricPrefix+literal(t, pair.Value))
			}
		}
		return true
	})
	if len(out) == 0 {
		t.Fatalf("%s contains no metric in the form that this test parses", path)
	}
	return out
}

// describedNames returns the names of the metrics that a file creates with describe.
func describedNames(t *testing.T, path string) []string {
	t.Helper()
	var out []string
	ast.Inspect(parseFile(t, path), func(n ast.Node) bool {
		if call, ok := n.(*ast.CallExpr); ok {
			if callee, ok := call.Fun.(*ast.Ident); ok && callee.Name == "describe" {
				out = append(out, metricPrefix+literal(t, call.Args[0]))
			}
		}
		return true
	})
	if len(out) == 0 {
		t.Fatalf("%s describes no metric in the form that this test parses", path)
	}
	return out
}

// literal returns the value of a string literal.
func literal(t *testing.T, e ast.Expr) string {
	t.Helper()
	lit, ok := e.(*ast.BasicLit)
	if !ok {
		t.Fatalf("metric name is not a literal: %T", e)
	}
	s, err := strconv.Unquote(lit.Value)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// testNamePattern matches names of tests, fuzz targets and benchmarks.
var testNamePattern = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*`)

func TestPagesNameOnlyTestsThatExist(t *testing.T) {
	known := declaredTests(t)
	pages, err := filepath.Glob("*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages found: %v", err)
	}
	for _, page := range pages {
		for _, name := range testNamePattern.FindAllString(readPage(t, page), -1) {
			if !known[name] {
				t.Errorf("%s names %s, which no test file declares", page, name)
			}
		}
	}
}

// TestPromisesNameTests fails if the section of a promise names no test.
func TestPromisesNameTests(t *testing.T) {
	_, rest, _ := strings.Cut(readPage(t, "PROMISES.md"), "\n## ")
	sections := strings.Split(rest, "\n## ")
	promises := 0
	for _, section := range sections {
		if section[0] < '0' || section[0] > '9' {
			continue
		}
		promises++
		if !testNamePattern.MatchString(section) {
			t.Errorf("no test is named under %q", strings.SplitN(section, "\n", 2)[0])
		}
	}
	if promises != 7 {
		t.Errorf("the page has %d numbered promises, want 7", promises)
	}
}

// sectionReference matches a reference in a comment to a section of DESIGN.md; it may span
// lines.
var sectionReference = regexp.MustCompile(`DESIGN\.md,\s+"([^"]+)"(?:\s+and\s+"([^"]+)")?`)

// commentPrefix matches a line break within a comment; replacing it joins the lines.
var commentPrefix = regexp.MustCompile(`\n\s*// ?`)

func TestCommentsNameSectionsOfDesignThatExist(t *testing.T) {
	page := readPage(t, "DESIGN.md")
	found := 0
	eachGoFile(t, func(path string) {
		text := commentPrefix.ReplaceAllString(readPage(t, path), " ")
		for _, match := range sectionReference.FindAllStringSubmatch(text, -1) {
			for _, name := range match[1:] {
				if name == "" {
					continue
				}
				found++
				if !strings.Contains(page, "\n## "+name+"\n") {
					t.Errorf("%s refers to the section %q, which is missing from DESIGN.md", path, name)
				}
			}
		}
	})
	if found == 0 {
		t.Error("no comment refers to a section in the form that this test parses")
	}
}

// eachGoFile calls f with the path of each Go file in the module.
func eachGoFile(t *testing.T, f func(path string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".go") {
			f(path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// declaredTests returns the names of all functions in test files.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	known := map[string]bool{}
	eachGoFile(t, func(path string) {
		if !strings.HasSuffix(path, "_test.go") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && f.Recv == nil {
				known[f.Name.Name] = true
			}
		}
	})
	return known
}
