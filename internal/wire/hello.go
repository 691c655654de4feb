package wire

import "gypsumstand/internal/model"

const kindHello Kind = 10

// Hello is the first message that either side sends on a link.
type Hello struct {
	Instance model.Instance `cbor:"1,keyasint"`
	// Transient marks a link that was opened for direct messages only. It is no peer
	// link and carries no membership or bundle traffic.
	Transient bool `cbor:"2,keyasint"`
}

// Kind implements Message.
func (Hello) Kind() Kind { return kindHello }

func init() { register(Hello{}) }
