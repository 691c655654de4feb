package tomlfile

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

type config struct {
	Name  string  `toml:"name"`
	Count int     `toml:"count"`
	Ratio float64 `toml:"ratio"`
	Flag  *bool   `toml:"flag"`
	Part  part    `toml:"part"`
	Items []item  `toml:"item"`
	Skip  string  `toml:"-"`
}

type part struct {
	Size uint64 `toml:"size"`
}

type item struct {
	Name  string   `toml:"name"`
	Tags  []string `toml:"tags"`
	Items []item   `toml:"-"`
	Subs  []sub    `toml:"sub"`
}

type sub struct {
	Name string `toml:"name"`
}

func findings(t *testing.T, text string) (*config, []string) {
	t.Helper()
	var c config
	err := Decode("f", []byte(text), &c).Err()
	if err == nil {
		return &c, nil
	}
	return &c, strings.Split(err.Error(), "\n")
}

func TestDecodeReportsEachFaultWithItsPlace(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"sound", "name = \"a\"\nratio = 3\n[part]\nsize = 1\n", nil},
		{"string for integer", "count = \"a\"", []string{"f:1:9: count: must be an integer, found string"}},
		{"integer for string", "name = 1", []string{"f:1:8: name: must be a string, found integer"}},
		{"string for number", "ratio = \"a\"", []string{"f:1:9: ratio: must be a number, found string"}},
		{"integer for boolean", "flag = 1", []string{"f:1:8: flag: must be true or false, found integer"}},
		{"array for table", "part = [1]", []string{"f:1:8: part: must be a table, found array"}},
		{"string for array", "[[item]]\ntags = \"a\"", []string{"f:2:8: item[0].tags: must be an array of strings, found string"}},
		{"tables for table", "[[part]]\nsize = 1", []string{"f:1:3: part[0]: cannot store an array table in a struct"}},
		{"negative count", "[part]\nsize = -1", []string{"f:2:8: part.size: negative integer value -1 cannot be stored in uint64"}},
		{"too large", "count = 99999999999999999999", []string{"f:1:9: count: decimal number is too large to fit in a 64-bit signed integer"}},
		{"unknown keys at every level", "x = 1\n[part]\ny = 2\n[[item]]\nz = 3\n[other]\nv = 1\n", []string{
			"f:1:1: x: unknown key", "f:3:1: part.y: unknown key", "f:5:1: item[0].z: unknown key", "f:6:2: other: unknown key",
		}},
		{"untagged field", "Skip = \"a\"", []string{"f:1:1: Skip: unknown key"}},
		{"other case", "Name = \"a\"\nname = \"b\"", []string{"f:1:1: Name: unknown key"}},
		{"quoted key", "\"a.b\" = 1", []string{"f:1:1: \"a.b\": unknown key"}},
		{"duplicates", "name = \"a\"\nname = \"b\"\nname = \"c\"\n[part]\n[part]\n", []string{
			"f:2:1: name: key name is already defined", "f:3:1: name: key name is already defined", "f:5:2: part: table part already exists",
		}},
		{"unknown keys and another fault in an inline table", "item = [{name = \"a\", y = 1}, {name = 2, x = 1}]", []string{
			"f:1:22: item[0].y: unknown key", "f:1:38: item[1].name: must be a string, found integer", "f:1:41: item[1].x: unknown key",
		}},
		{"type fault in an inline table", "item = [{name = \"a\"}, {name = 2}]", []string{"f:1:31: item[1].name: must be a string, found integer"}},
		{"elements are counted within their parent", "[[item]]\n[[item.sub]]\n[[item]]\n[[item.sub]]\n[[item.sub]]\nname = 1\n", []string{
			"f:6:8: item[1].sub[1].name: must be a string, found integer",
		}},
		{"syntax error ends the text but not what stands before", "count = \"a\"\nx = 1\nname = \n", []string{
			"f:1:9: count: must be an integer, found string", "f:2:1: x: unknown key", "f:3:8: unexpected character U+000A at start of value",
		}},
		{"multi-line values", "name = \"\"\"\na\nb\"\"\"\ncount = 1.5", []string{"f:4:9: count: must be an integer, found float"}},
		{"faults after a multi-line fault", "name = [\n1,\n2,\n]\ncount = \"a\"\n", []string{
			"f:1:8: name: must be a string, found array", "f:5:9: count: must be an integer, found string",
		}},
		{"bytes that are no UTF-8", "name = \"\xff\"", []string{"f:1:9: invalid UTF-8 character in basic string"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, got := findings(t, tt.text)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("findings differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDecodeTakesWhatIsSoundBesideFaults(t *testing.T) {
	c := config{Ratio: 0.5}
	Decode("f", []byte("name = \"a\"\ncount = \"x\"\nratio = \"y\"\n[[item]]\nname = \"b\"\nspeed = 1\n"), &c)
	want := config{Name: "a", Ratio: 0.5, Items: []item{{Name: "b"}}}
	if diff := cmp.Diff(want, c); diff != "" {
		t.Errorf("struct differs (-want +got):\n%s", diff)
	}
}

func TestDecodeLeavesNoPartOfARefusedValue(t *testing.T) {
	c := config{Part: part{Size: 7}}
	Decode("f", []byte("item = [{name = \"a\"}, {name = 2}]\npart = {size = 1, size = 2}\n"), &c)
	if diff := cmp.Diff(config{Part: part{Size: 7}}, c); diff != "" {
		t.Errorf("struct differs (-want +got):\n%s", diff)
	}
}

func TestDecodeListsABoundedNumberOfFaults(t *testing.T) {
	var text strings.Builder
	for range maxFaults + 10 {
		text.WriteString("[[item]]\nname = 1\n")
	}
	_, got := findings(t, text.String())
	if len(got) != maxFaults+1 {
		t.Fatalf("%d findings, want %d and a note", len(got), maxFaults)
	}
	if want := fmt.Sprintf("f: more than %d faults; the rest is not listed", maxFaults); got[0] != want {
		t.Errorf("first finding %q, want %q", got[0], want)
	}
}

func TestDeepKeysAndValuesAreBounded(t *testing.T) {
	const depth = 5000
	for _, text := range []string{
		strings.Repeat("a.", depth) + "a = 1",
		"[" + strings.Repeat("a.", depth) + "a]",
		"a = " + strings.Repeat("{a = ", depth) + "1" + strings.Repeat("}", depth),
		"a = " + strings.Repeat("[", depth) + strings.Repeat("]", depth),
	} {
		idx, syntax := newIndex([]byte(text))
		if syntax != nil {
			t.Fatalf("%.20s: %v", text, syntax.message)
		}
		for _, p := range idx.places {
			if len(p.key) > 100 {
				t.Errorf("%.20s: key of %d bytes", text, len(p.key))
			}
		}
		if len(idx.places) > 2*maxNesting {
			t.Errorf("%.20s: %d places", text, len(idx.places))
		}
		if _, got := findings(t, text); len(got) != 1 || !strings.HasSuffix(got[0], "unknown key") {
			t.Errorf("%.20s: findings %.200v", text, got)
		}
	}
}

func TestAddGivesThePlaceOfTheKeyOrItsTable(t *testing.T) {
	var c config
	d := Decode("f", []byte("name = \"a\"\n[[item]]\n[[item]]\nname = \"b\"\n"), &c)
	d.Add("item[1].name", "n")
	d.Add("item[0].name", "m")
	d.Add("part.size", "s")
	want := "f: part.size: s\nf:2:3: item[0].name: m\nf:4:1: item[1].name: n"
	if diff := cmp.Diff(want, d.Err().Error()); diff != "" {
		t.Errorf("findings differ (-want +got):\n%s", diff)
	}
}

func TestAddIsSilentOnRefusedKeys(t *testing.T) {
	var c config
	d := Decode("f", []byte("count = \"a\"\npart = 1\nitem = [{name = 1}]\n"), &c)
	d2 := Decode("f", []byte("[[part]]\nsize = 1\n"), &c)
	if !d2.Rejected("part.size") {
		t.Error("part.size is not refused with its header")
	}
	before := d.Err().Error()
	for _, key := range []string{"count", "part", "part.size", "item", "item[0].name", "item[0].tags"} {
		if !d.Rejected(key) {
			t.Errorf("%s is not refused", key)
		}
		d.Add(key, "again")
	}
	if d.Rejected("name") || d.Rejected("countdown") {
		t.Error("a sound key is refused")
	}
	if diff := cmp.Diff(before, d.Err().Error()); diff != "" {
		t.Errorf("findings were added (-want +got):\n%s", diff)
	}
}

func TestRefusedBelowLooksInsideTables(t *testing.T) {
	var c config
	d := Decode("f", []byte("[[item]]\ntags = 1\n[[item]]\ntags = []\n"), &c)
	if !d.RejectedWithin("item[0]") || d.RejectedWithin("item[1]") || !d.RejectedWithin("item[0].tags") {
		t.Errorf("refused below item[0] %v, item[1] %v", d.RejectedWithin("item[0]"), d.RejectedWithin("item[1]"))
	}
}

func TestASingleTableIsTheFirstElement(t *testing.T) {
	if line, column := Position([]byte("\n[item]\nname = \"a\"\n"), "item[0].name"); line != 3 || column != 1 {
		t.Errorf("position %d:%d, want 3:1", line, column)
	}
}

func TestRules(t *testing.T) {
	var c config
	d := Decode("f", nil, &c)
	d.CheckName("a", "ok-1.x_y")
	d.CheckName("b", "Ä")
	d.CheckIntRange("c", 5, 1, 5)
	d.CheckIntRange("d", 6, 1, 5)
	d.CheckFloatRange("e", 1, 0, 1)
	d.CheckFloatAbove("f", 0, 0, 1)
	if addr, ok := d.CheckAddress("g", "[::1]:80"); !ok || addr.String() != "[::1]:80" {
		t.Errorf("Address = %v, %v", addr, ok)
	}
	if _, ok := d.CheckAddress("h", "::1:80"); ok {
		t.Error("an address without brackets was taken")
	}
	want := `f: b: "Ä" must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'
f: d: 6 must be from 1 to 5
f: f: 0 must be over 0 and at most 1
f: h: "::1:80" must be an IP number and a port, as in 10.0.0.7:7100 or [fd00::7]:7100`
	if diff := cmp.Diff(want, d.Err().Error()); diff != "" {
		t.Errorf("findings differ (-want +got):\n%s", diff)
	}
}

// FuzzDecode checks that every finding has a place within the text.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("name = \"a\"\n[[item]]\ntags = [\"x\", 1]\n[[item.sub]]\nname = 'b'\n"))
	f.Add([]byte("item = [{name = \"a\", x = 1}]\npart.size = -1\nname = \"a\"\nname = 1\n"))
	f.Add([]byte("[part]\r\nsize = 1 # c\r\n[part]\r\n\"\\u00e9\" = nan\r\n[[part]]\n="))
	f.Fuzz(func(t *testing.T, data []byte) {
		var c config
		before := bytes.Clone(data)
		d := Decode("f", data, &c)
		if !bytes.Equal(before, data) {
			t.Fatal("Decode changed its input")
		}
		lines := bytes.Count(data, []byte("\n")) + 1
		for _, finding := range d.findings {
			if finding.Line < 0 || finding.Line > lines || finding.Column < 0 || finding.Column > len(data)+1 {
				t.Errorf("finding %v outside of %d lines", finding, lines)
			}
		}
		if d.HasSyntaxError() && len(d.findings) == 0 {
			t.Error("broken without a finding")
		}
	})
}
