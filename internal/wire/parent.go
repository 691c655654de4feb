package wire

import (
	"net/http"

	"gypsumstand/internal/model"
)

// maxAttemptIDBytes bounds the attempt id that a worker copies to its calls.
const maxAttemptIDBytes = 512

// parseParent parses the Gypsum-Attempt that a worker copies from its run to the calls
// that it makes for it. A malformed one is no error: a request is served without a parent
// too, and earlier versions ignored the header.
func (c *CallerHeaders) parseParent(h http.Header) {
	value, ok, err := printableValue(h, HeaderAttempt, maxAttemptIDBytes)
	if !ok {
		c.MalformedParent = err != nil
		return
	}
	id, err := model.ParseAttemptID(value)
	if err != nil {
		c.MalformedParent = true
		return
	}
	c.ParentAttempt = id
}
