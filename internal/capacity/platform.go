package capacity

import (
	"fmt"
	"sort"
	"strings"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

func (f *fleet) indexRead() control.Event {
	out := control.IndexRead{}
	for name, version := range f.versions {
		out.Versions = append(out.Versions, model.BundleVersion{Name: name, Version: version})
		out.Revision += version
	}
	sort.Slice(out.Versions, func(i, j int) bool { return out.Versions[i].Name < out.Versions[j].Name })
	return out
}

func (f *fleet) valueRead(name model.BundleName) control.Event {
	text := paddedBundle(name, f.versions[name])
	data, err := bundle.Sign(f.signer.Name, f.signingKey, []byte(text)).Marshal()
	if err != nil {
		panic(err)
	}
	return control.ValueRead{Name: name, Data: data}
}

// minimalBundle returns a small bundle of one service.
func minimalBundle(name model.BundleName, version uint64) string {
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

// paddedBundle returns a bundle of one service, padded to bundleBytes.
func paddedBundle(name model.BundleName, version uint64) string {
	text := minimalBundle(name, version)
	filler := max(0, bundleBytes-len(text)-len("comment = \"\"\n"))
	return "comment = \"" + strings.Repeat("x", filler) + "\"\n" + text
}

// listRead answers a read of the list. The list never changes here, so a read since the
// current revision returns no entries.
func (f *fleet) listRead(since uint64) control.Event {
	const revision = 1
	if since == revision {
		return control.ListRead{Revision: revision}
	}
	return control.ListRead{Revision: revision, Full: true, Instances: append([]model.Instance(nil), f.list...)}
}
