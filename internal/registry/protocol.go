// Package registry is the client of the platform's two services: the list of instances and
// the configuration. It defines the JSON types of the protocol, limits the time and the size
// of every call, and validates every response. The protocol is described in docs/DESIGN.md,
// "Platform protocol".
package registry

import "gypsumstand/internal/bundle"

// Paths and query parameters of the platform's services.
const (
	// InstancesPath lists instances; with SinceQuery it lists only changes.
	InstancesPath = "/v1/instances"
	// ConfigPath is the index of configuration values. The path of a value is ConfigPath
	// + "/" + its escaped name.
	ConfigPath = "/v1/config"
	// SinceQuery is the query parameter with the revision after which changes are listed.
	SinceQuery = "since"
)

// Size limits of what the platform sends.
const (
	// MaxListBytes limits a list of instances.
	MaxListBytes = 32 << 20
	// MaxIndexBytes limits an index of configuration values.
	MaxIndexBytes = 4 << 20
	// MaxValueBytes limits one configuration value.
	MaxValueBytes = bundle.MaxBytes
	// MaxNameBytes limits every name and id.
	MaxNameBytes = 128
)

// InstanceEntry is one instance of a list. In a list of changes, a removed instance has the
// state "gone" and may lack every other field except its id.
type InstanceEntry struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// PeerAddress is the "ip:port" of the instance's node.
	PeerAddress string `json:"peer_address"`
	// State is the name of a model.UpstreamState.
	State string `json:"state"`
}

// InstanceList is the response of InstancesPath. Revision and Full are pointers to detect
// missing fields, which are errors.
type InstanceList struct {
	// Revision increases with every change of the list.
	Revision *uint64 `json:"revision"`
	// Full reports whether Instances is the complete list, not the changes since a revision.
	Full      *bool           `json:"full"`
	Instances []InstanceEntry `json:"instances"`
}

// VersionEntry is one configuration value of an index.
type VersionEntry struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// ConfigIndex is the response of ConfigPath. Revision is a pointer to detect a missing field,
// which is an error.
type ConfigIndex struct {
	// Revision increases with every change of the configuration.
	Revision *uint64        `json:"revision"`
	Versions []VersionEntry `json:"versions"`
}
