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

// maxFindings limits the findings reported for one response.
const maxFindings = 20

// DecodeList decodes and validates the JSON of a list of instances that was requested with
// since. source names the input in findings. The error is a finding.List with the location of
// each finding.
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
		c.add("full", "the complete list was requested, but changes were sent")
	}
	instances := c.instances(list.Instances)
	if err := c.findings.Err(); err != nil {
		return control.ListRead{}, err
	}
	return control.ListRead{Revision: *list.Revision, Full: *list.Full, Instances: instances}, nil
}

// DecodeIndex decodes and validates the JSON of an index of configuration values. source and
// the error are as for DecodeList.
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

// CheckName returns an error when a name or id is empty, longer than MaxNameBytes, or contains
// bytes that are unsafe in a header, a path or an attempt id.
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

// CheckAddress returns an error unless address is an "ip:port" to which a client can connect:
// the port is not 0 and the IP address neither unspecified nor multicast.
func CheckAddress(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%q is not an ip:port", address)
	}
	if ap.Port() == 0 {
		return fmt.Errorf("%q has port 0", address)
	}
	if ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() {
		return fmt.Errorf("%q is an unspecified or multicast address", address)
	}
	return nil
}

// CheckEntry validates one entry like DecodeList and returns its instance.
func CheckEntry(source string, e InstanceEntry) (model.Instance, error) {
	c := checker{source: source}
	in := c.instance("", e)
	return in, c.findings.Err()
}

// DecodeStrict decodes JSON that an operator wrote into a value and rejects unknown fields.
// The error is a finding.List. Responses of the platform are decoded without it, so that new
// fields are accepted.
func DecodeStrict(source string, data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return decodeInto(source, data, dec, into)
}

// decodeJSON decodes JSON into a value and ignores unknown fields.
func decodeJSON(source string, data []byte, into any) error {
	return decodeInto(source, data, json.NewDecoder(bytes.NewReader(data)), into)
}

// decodeInto decodes a single JSON value and returns errors as a finding.List.
func decodeInto(source string, data []byte, dec *json.Decoder, into any) error {
	err := dec.Decode(into)
	if err == nil {
		err = checkNoTrailingData(dec)
	}
	if err == nil {
		return nil
	}
	var findings finding.List
	findings.Add(jsonFinding(source, data, err))
	return findings.Err()
}

// checkNoTrailingData returns an error when data follows the decoded value.
func checkNoTrailingData(dec *json.Decoder) error {
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("data after the end of the JSON value")
	}
	return nil
}

// jsonFinding converts a decoding error to a finding with its location.
func jsonFinding(source string, data []byte, err error) finding.Finding {
	f := finding.Finding{File: source, Message: err.Error()}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.Line, f.Column = lineAndColumn(data, syntax.Offset)
	case errors.As(err, &wrongType):
		f.Line, f.Column = lineAndColumn(data, wrongType.Offset)
		f.Key = wrongType.Field
		f.Message = "a JSON " + wrongType.Value + " is not allowed here"
	}
	return f
}

// lineAndColumn converts a decoder's offset, which is one past the invalid byte, to the line
// and column of that byte, both counted from 1.
func lineAndColumn(data []byte, offset int64) (line, column int) {
	index := max(min(int(offset), len(data))-1, 0)
	before := data[:index]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = index - bytes.LastIndexByte(before, '\n')
	return line, column
}

// checker validates one response and collects its findings.
type checker struct {
	source   string
	findings finding.List
}

// add adds a finding unless there are already maxFindings.
func (c *checker) add(key, message string) {
	if len(c.findings) < maxFindings {
		c.findings.Add(finding.Finding{File: c.source, Key: key, Message: message})
	}
}

// require adds a finding when the field is not present.
func (c *checker) require(key string, present bool) {
	if !present {
		c.add(key, "missing")
	}
}

// checkName adds a finding when value fails CheckName.
func (c *checker) checkName(key, value string) {
	if err := CheckName(value); err != nil {
		c.add(key, err.Error())
	}
}

// nameIndex holds the last index of each name in a list.
type nameIndex struct {
	list string
	last map[string]int
}

// checkUnique adds a finding when the name occurs before index i, and records index i.
func (c *checker) checkUnique(seen nameIndex, key, name string, i int) {
	if earlier, taken := seen.last[name]; taken {
		c.add(key, fmt.Sprintf("%q is already used at %s[%d]", name, seen.list, earlier))
	}
	seen.last[name] = i
}

// instances validates the entries of a list.
func (c *checker) instances(entries []InstanceEntry) []model.Instance {
	out := make([]model.Instance, 0, len(entries))
	seen := nameIndex{list: "instances", last: make(map[string]int, len(entries))}
	for i, e := range entries {
		key := fmt.Sprintf("instances[%d].", i)
		c.checkUnique(seen, key+"id", e.ID, i)
		out = append(out, c.instance(key, e))
	}
	return out
}

// instance validates an entry. key is the prefix of its fields' keys in findings.
func (c *checker) instance(key string, e InstanceEntry) model.Instance {
	state, ok := model.ParseUpstreamState(e.State)
	if !ok {
		c.add(key+"state", fmt.Sprintf("%q is not a state", e.State))
	}
	c.checkName(key+"id", e.ID)
	if state != model.StateGone {
		c.checkRequired(key, e)
	}
	return model.Instance{
		ID:          model.InstanceID(e.ID),
		Service:     model.ServiceName(e.Service),
		DataCentre:  model.DataCentre(e.DataCentre),
		PeerAddress: e.PeerAddress,
		State:       state,
	}
}

// checkRequired validates the fields that every instance has unless its state is gone.
func (c *checker) checkRequired(key string, e InstanceEntry) {
	c.checkName(key+"service", e.Service)
	c.checkName(key+"data_centre", e.DataCentre)
	if err := CheckAddress(e.PeerAddress); err != nil {
		c.add(key+"peer_address", err.Error())
	}
}

// versions validates the entries of an index.
func (c *checker) versions(entries []VersionEntry) []model.BundleVersion {
	out := make([]model.BundleVersion, 0, len(entries))
	seen := nameIndex{list: "versions", last: make(map[string]int, len(entries))}
	for i, e := range entries {
		key := fmt.Sprintf("versions[%d]", i)
		c.checkUnique(seen, key+".name", e.Name, i)
		c.checkName(key+".name", e.Name)
		if e.Version == 0 {
			c.add(key+".version", "must be at least 1")
		}
		out = append(out, model.BundleVersion{Name: model.BundleName(e.Name), Version: e.Version})
	}
	return out
}
