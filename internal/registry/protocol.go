// Package registry reads the platform's services: the list of instances and the
// configuration. It holds the JSON types of the protocol and a client that
// bounds every call in time and size and checks what it reads. Protocol:
// docs/DESIGN.md, "Platform protocol".
package registry

import (
	"gypsumstand/internal/bundle"
)

// Paths of the platform's services.
const (
	// InstancesPath lists instances; the query SinceQuery asks for changes only.
	InstancesPath = "/v1/instances"
	// ConfigPath is the index of configuration values; a value's own path is
	// ConfigPath + "/" + its escaped name.
	ConfigPath = "/v1/config"
	// SinceQuery names the query parameter with the revision that the reader has.
	SinceQuery = "since"
)

// Bounds of what the platform sends.
const (
	// MaxListBytes bounds a list of instances.
	MaxListBytes = 32 << 20
	// MaxIndexBytes bounds an index of configuration values.
	MaxIndexBytes = 4 << 20
	// MaxValueBytes bounds one configuration value.
	MaxValueBytes = bundle.MaxBytes
	// MaxNameBytes bounds every name and id.
	MaxNameBytes = 128
)

// InstanceEntry is one instance of a list. In a list of changes, an instance
// that was removed has the state "gone"; its other fields may then be empty.
type InstanceEntry struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// PeerAddress is the "ip:port" of the instance's node.
	PeerAddress string `json:"peer_address"`
	// State is a name of model.UpstreamState.
	State string `json:"state"`
}

// InstanceList is the answer of InstancesPath. Revision and Full are pointers
// to tell absent fields, which are faults.
type InstanceList struct {
	// Revision grows with every change of the list.
	Revision *uint64 `json:"revision"`
	// Full says that Instances is the whole list, not changes since a revision.
	Full      *bool           `json:"full"`
	Instances []InstanceEntry `json:"instances"`
}

// VersionEntry is one configuration value of an index.
type VersionEntry struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// ConfigIndex is the answer of ConfigPath. Revision is a pointer to tell an
// absent field, which is a fault.
type ConfigIndex struct {
	// Revision grows with every change of the configuration.
	Revision *uint64        `json:"revision"`
	Versions []VersionEntry `json:"versions"`
}
