package capacity

import (
	"fmt"
	"sort"
	"strings"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

func (f *fleet) index() control.Event {
	out := control.IndexRead{}
	for name, version := range f.versions {
		out.Versions = append(out.Versions, model.BundleVersion{Name: name, Version: version})
		out.Revision += version
	}
	sort.Slice(out.Versions, func(i, j int) bool { return out.Versions[i].Name < out.Versions[j].Name })
	return out
}

func (f *fleet) value(name model.BundleName) control.Event {
	text := bundleText(name, f.versions[name])
	data, err := bundle.Sign(f.signer.Name, f.key, []byte(text)).Marshal()
	if err != nil {
		panic(err)
	}
	return control.ValueRead{Name: name, Data: data}
}

// bundleHead is a small bundle of one service.
func bundleHead(name model.BundleName, version uint64) string {
	return fmt.Sprintf(`
name = "%[1]s"
version = %[2]d
[[class]]
name = "view"
worth = 1.0
deadline_ms = 1000
[[service]]
name = "%[1]s"
slots = 20
connections = 100
[[service.route]]
path = "/%[1]s"
class = "view"
`, name, version)
}

// bundleText is a bundle of one service, filled up to bundleBytes.
func bundleText(name model.BundleName, version uint64) string {
	text := bundleHead(name, version)
	filler := max(0, bundleBytes-len(text)-len("comment = \"\"\n"))
	return "comment = \"" + strings.Repeat("x", filler) + "\"\n" + text
}

// fullList answers a read of the list; nothing on it changes here, so that a
// read since the present revision has no entries.
func (f *fleet) fullList(since uint64) control.Event {
	const revision = 1
	if since == revision {
		return control.ListRead{Revision: revision}
	}
	return control.ListRead{Revision: revision, Full: true, Instances: append([]model.Instance(nil), f.list...)}
}
