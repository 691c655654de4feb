package registry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"gypsumstand/internal/control"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
)

// maxFindings bounds the faults that are reported of one answer.
const maxFindings = 20

// DecodeList reads and checks the JSON of a list of instances that was asked
// for with since. source names the input in findings. The error is a
// finding.List with the place of each fault.
func DecodeList(source string, data []byte, since uint64) (control.ListRead, error) {
	var list InstanceList
	if err := decodeJSON(source, data, &list); err != nil {
		return control.ListRead{}, err
	}
	c := checker{source: source}
	c.require("revision", list.Revision != nil)
	c.require("full", list.Full != nil)
	c.require("instances", list.Instances != nil)
	if since == 0 && list.Full != nil && !*list.Full {
		c.add("full", "the whole list was asked for, changes came")
	}
	instances := c.instances(list.Instances)
	if err := c.findings.Err(); err != nil {
		return control.ListRead{}, err
	}
	return control.ListRead{Revision: *list.Revision, Full: *list.Full, Instances: instances}, nil
}

// DecodeIndex reads and checks the JSON of an index of configuration values.
// Source and error are as for DecodeList.
func DecodeIndex(source string, data []byte) (control.IndexRead, error) {
	var index ConfigIndex
	if err := decodeJSON(source, data, &index); err != nil {
		return control.IndexRead{}, err
	}
	c := checker{source: source}
	c.require("revision", index.Revision != nil)
	c.require("versions", index.Versions != nil)
	versions := c.versions(index.Versions)
	if err := c.findings.Err(); err != nil {
		return control.IndexRead{}, err
	}
	return control.IndexRead{Revision: *index.Revision, Versions: versions}, nil
}

// CheckName returns an error when a name or id of the platform is empty, too
// long, or holds bytes that would break a header, a path or an attempt id.
func CheckName(name string) error {
	if name == "" {
		return errors.New("empty")
	}
	if name == "." || name == ".." {
		return fmt.Errorf("%q is a relative path", name)
	}
	if len(name) > MaxNameBytes {
		return fmt.Errorf("%d bytes are over the bound of %d", len(name), MaxNameBytes)
	}
	for i := range len(name) {
		b := name[i]
		if b <= ' ' || b > '~' || strings.IndexByte(`/@"\`, b) >= 0 {
			return fmt.Errorf("byte %q at offset %d is not allowed", b, i)
		}
	}
	return nil
}

// CheckAddress returns an error unless address is an "ip:port" that can be
// connected to.
func CheckAddress(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%q is not an ip:port", address)
	}
	if ap.Port() == 0 {
		return fmt.Errorf("%q has port 0", address)
	}
	if ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() {
		return fmt.Errorf("%q can't be connected to", address)
	}
	return nil
}

// CheckEntry checks one entry as DecodeList does and returns its instance.
func CheckEntry(source string, e InstanceEntry) (model.Instance, error) {
	c := checker{source: source}
	in := c.instance("", e)
	return in, c.findings.Err()
}

// DecodeStrict reads JSON into a value and takes unknown fields for faults. The
// error is a finding.List; it is for what operators write, not for answers.
func DecodeStrict(source string, data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return decodeInto(source, data, dec, into)
}

func decodeJSON(source string, data []byte, into any) error {
	return decodeInto(source, data, json.NewDecoder(bytes.NewReader(data)), into)
}

func decodeInto(source string, data []byte, dec *json.Decoder, into any) error {
	err := dec.Decode(into)
	if err == nil {
		err = checkEnd(dec)
	}
	if err == nil {
		return nil
	}
	var findings finding.List
	findings.Add(jsonFinding(source, data, err))
	return findings.Err()
}

func checkEnd(dec *json.Decoder) error {
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("data after the end of the answer")
	}
	return nil
}

// jsonFinding gives a decoding error its place.
func jsonFinding(source string, data []byte, err error) finding.Finding {
	f := finding.Finding{File: source, Message: err.Error()}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.Line, f.Column = position(data, syntax.Offset)
	case errors.As(err, &wrongType):
		f.Line, f.Column = position(data, wrongType.Offset)
		f.Key = wrongType.Field
		f.Message = "a " + wrongType.Value + " is not allowed here"
	}
	return f
}

// position turns a decoder's offset, which counts the byte at fault, into that
// byte's line and column, both from one.
func position(data []byte, offset int64) (line, column int) {
	at := max(min(int(offset), len(data))-1, 0)
	before := data[:at]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = at - bytes.LastIndexByte(before, '\n')
	return line, column
}

// checker collects the findings of one answer.
type checker struct {
	source   string
	findings finding.List
}

func (c *checker) add(key, message string) {
	if len(c.findings) < maxFindings {
		c.findings.Add(finding.Finding{File: c.source, Key: key, Message: message})
	}
}

func (c *checker) require(key string, present bool) {
	if !present {
		c.add(key, "missing")
	}
}

func (c *checker) name(key, value string) {
	if err := CheckName(value); err != nil {
		c.add(key, err.Error())
	}
}

// seenNames holds where in a list a name stands last.
type seenNames struct {
	list string
	at   map[string]int
}

// unseen notes a fault when a name stands in the list before place i, and that it
// stands there.
func (c *checker) unseen(seen seenNames, key, name string, i int) {
	if earlier, taken := seen.at[name]; taken {
		c.add(key, fmt.Sprintf("%q stands at %s[%d] too", name, seen.list, earlier))
	}
	seen.at[name] = i
}

func (c *checker) instances(entries []InstanceEntry) []model.Instance {
	out := make([]model.Instance, 0, len(entries))
	seen := seenNames{list: "instances", at: make(map[string]int, len(entries))}
	for i, e := range entries {
		key := fmt.Sprintf("instances[%d].", i)
		c.unseen(seen, key+"id", e.ID, i)
		out = append(out, c.instance(key, e))
	}
	return out
}

// instance checks an entry; key is the prefix of its fields' keys.
func (c *checker) instance(key string, e InstanceEntry) model.Instance {
	state, ok := model.ParseUpstreamState(e.State)
	if !ok {
		c.add(key+"state", fmt.Sprintf("%q is not a state", e.State))
	}
	c.name(key+"id", e.ID)
	if state != model.StateGone {
		c.place(key, e)
	}
	return model.Instance{
		ID:          model.InstanceID(e.ID),
		Service:     model.ServiceName(e.Service),
		DataCentre:  model.DataCentre(e.DataCentre),
		PeerAddress: e.PeerAddress,
		State:       state,
	}
}

// place checks the fields that an instance must have unless it is gone.
func (c *checker) place(key string, e InstanceEntry) {
	c.name(key+"service", e.Service)
	c.name(key+"data_centre", e.DataCentre)
	if err := CheckAddress(e.PeerAddress); err != nil {
		c.add(key+"peer_address", err.Error())
	}
}

func (c *checker) versions(entries []VersionEntry) []model.BundleVersion {
	out := make([]model.BundleVersion, 0, len(entries))
	seen := seenNames{list: "versions", at: make(map[string]int, len(entries))}
	for i, e := range entries {
		key := fmt.Sprintf("versions[%d]", i)
		c.unseen(seen, key+".name", e.Name, i)
		c.name(key+".name", e.Name)
		if e.Version == 0 {
			c.add(key+".version", "must be at least 1")
		}
		out = append(out, model.BundleVersion{Name: model.BundleName(e.Name), Version: e.Version})
	}
	return out
}
