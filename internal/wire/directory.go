package wire

import (
	"fmt"

	"gypsumstand/internal/model"
)

// MaxDirectoryBytes bounds a DirectoryChanges message. It holds the largest configuration and
// 10,000 workers of 100 bytes each.
const MaxDirectoryBytes = model.MaxConfigBytes + 2<<20

// DirectoryChanges is a node's reply to a peer that follows the same directory. Its
// fields are those of control.DirectoryRead; Config is compressed.
type DirectoryChanges struct {
	Revision uint64 `cbor:"1,keyasint"`
	// AgeMs is the time since Revision was last confirmed to be the newest, in
	// milliseconds.
	AgeMs    uint32           `cbor:"2,keyasint"`
	Full     bool             `cbor:"3,keyasint"`
	Listed   []model.Listing  `cbor:"4,keyasint"`
	Unlisted []model.Unlisted `cbor:"5,keyasint"`
	Config   *model.RawConfig `cbor:"6,keyasint"`
	// ReadsFailing reports that the sender's own reads of the directory fail.
	ReadsFailing bool `cbor:"7,keyasint,omitempty"`
	// Refused is a configuration newer than Config that the sender cannot decode.
	Refused *model.RawConfig `cbor:"8,keyasint,omitempty"`
	// Evacuations holds all evacuations in force if Full is set, otherwise those that
	// changed.
	Evacuations []model.Evacuation `cbor:"9,keyasint,omitempty"`
	// Era is the era of Revision; earlier versions of nodes omit it.
	Era uint64 `cbor:"10,keyasint,omitempty"`
	// Separate describes the sender's configuration if it is transferred separately; earlier
	// versions of nodes send every configuration in Config.
	Separate *model.ConfigState `cbor:"11,keyasint,omitempty"`
}

// EncodeDirectory returns the CBOR form of c.
func EncodeDirectory(c *DirectoryChanges) ([]byte, error) { return Marshal(c) }

// DecodeDirectory reads the form that EncodeDirectory writes.
func DecodeDirectory(data []byte) (*DirectoryChanges, error) {
	if len(data) > MaxDirectoryBytes {
		return nil, fmt.Errorf("changes of the directory: %d bytes are over the bound of %d", len(data), MaxDirectoryBytes)
	}
	var c DirectoryChanges
	if err := Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("changes of the directory: %w", err)
	}
	return &c, nil
}
