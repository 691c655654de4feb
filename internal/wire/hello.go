package wire

import "gypsumstand/internal/model"

const kindHello Kind = 10

// Hello is the first message on a link, from both sides.
type Hello struct {
	Instance model.Instance `cbor:"1,keyasint"`
	// Transient marks a link opened for settlement only; it is no peer link and
	// carries no membership or bundle traffic.
	Transient bool `cbor:"2,keyasint"`
}

// Kind implements Message.
func (Hello) Kind() Kind { return kindHello }

func init() { register(Hello{}) }
