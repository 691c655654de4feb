package server

import (
	"net/http"
	"strings"
)

// gypsumPrefix is the prefix of this system's own headers, which are never passed through
// from outside.
const gypsumPrefix = "Gypsum-"

// hopByHop lists the hop-by-hop headers of RFC 9110, section 7.6.1, and those of older
// practice.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
	"Expect", "Content-Length",
}

// endToEnd returns a copy of h without the hop-by-hop headers, those listed in
// Connection, and this system's own.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, gypsumPrefix) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// copyInto adds all headers of src to dst.
func copyInto(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}
