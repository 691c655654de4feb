// Package failure holds tests of failures on real sockets: killed and stopped
// processes, spoilt answers, slow readers, floods, malformed input, planned stops
// under load, mutual TLS, repeated request ids and a platform that fails. Each
// test holds what callers were told against the runs that workers counted by
// request id; none asserts an elapsed time. The package has no other code.
package failure
