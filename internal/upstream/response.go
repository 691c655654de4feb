package upstream

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// HasBody reports whether a response to a request with the method can have a body (RFC 9110,
// section 6.4.1).
func HasBody(r *http.Response, method string) bool {
	return method != http.MethodHead && r.StatusCode != http.StatusNoContent && r.StatusCode != http.StatusNotModified
}

// ErrCloseDelimited means that only the end of the connection marks the end of the
// response, so that a truncated response looks complete.
var ErrCloseDelimited = errors.New("response has neither a content length nor chunked encoding: truncation cannot be detected")

// CheckFraming returns ErrCloseDelimited if a truncated body of r could not be detected.
func CheckFraming(r *http.Response, method string) error {
	if !HasBody(r, method) {
		return nil
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return ErrCloseDelimited
	}
	return nil
}

// ErrInvalidFieldName means that the head of a response is malformed: a field's name is no token
// (RFC 9110, section 5.1).
var ErrInvalidFieldName = errors.New("response has a field with an invalid name")

// CheckHead returns ErrInvalidFieldName if the head of r is malformed in a way that net/http
// accepts. It keeps a name that holds a blank as one that it does not know, a length before whose
// colon there is a blank among them, so that the body may be another than the sender's.
func CheckHead(r *http.Response) error {
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q", ErrInvalidFieldName, name)
		}
	}
	return nil
}
