package wire

import "gypsumstand/internal/model"

// Kinds of the probe messages.
const (
	kindLoadProbe Kind = 4
	kindLoadReply Kind = 5
)

// LoadProbe asks an owner for its load report. It counts against the measuring budget and
// is dropped without a reply when that is used up.
type LoadProbe struct{}

// LoadReply is the reply to a LoadProbe.
type LoadReply struct {
	Report model.LoadReport `cbor:"1,keyasint"`
}

// Kind implements Message.
func (LoadProbe) Kind() Kind { return kindLoadProbe }

// Kind implements Message.
func (LoadReply) Kind() Kind { return kindLoadReply }

func init() {
	register(LoadProbe{})
	register(LoadReply{})
}
