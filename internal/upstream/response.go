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

// Errors of a response whose head is malformed in a way that net/http accepts.
var (
	// ErrInvalidStatus means that the status is not between 100 and 599 (RFC 9110, section 15).
	ErrInvalidStatus = errors.New("response has an invalid status")
	// ErrInvalidFieldName means that a field's name is no token (RFC 9110, section 5.1). net/http
	// keeps one that holds a blank as a name that it does not know. A length may be among them, so
	// that the body may be another than the sender's.
	ErrInvalidFieldName = errors.New("response has a field with an invalid name")
)

// Bounds of a valid status.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns ErrInvalidStatus or ErrInvalidFieldName if the head of r is malformed.
func CheckHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: %03d", ErrInvalidStatus, r.StatusCode)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q", ErrInvalidFieldName, name)
		}
	}
	return nil
}
