package keys

import (
	"bytes"
	"testing"
)

// FuzzParse checks that the public and private key of an accepted file belong together, and
// that the key survives marshalling.
func FuzzParse(f *testing.F) {
	k, err := Generate("aline", bytes.NewReader(make([]byte, 32)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(k.MarshalPrivate())
	f.Add(k.MarshalPublic())
	f.Add([]byte("name = \"a\"\npublic = 1\nprivate = \"\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		k, err := Parse("f", data)
		if err != nil {
			return
		}
		text := k.MarshalPublic()
		if k.Private() != nil {
			text = k.MarshalPrivate()
			if !k.Public.Equal(k.Private().Public()) {
				t.Error("the public key does not belong to the private key")
			}
		}
		again, err := Parse("f", text)
		if err != nil || again.Name != k.Name || !bytes.Equal(again.Public, k.Public) || !bytes.Equal(again.Private(), k.Private()) {
			t.Errorf("%v became %v, %v", k, again, err)
		}
	})
}
