// Package failure tests failures over real sockets: killed and paused processes, corrupt
// responses, slow readers, connection floods, malformed input, planned stops under load,
// mutual TLS, repeated request ids and platform outages. Each test compares the outcomes
// that callers received with the runs that workers counted by request id; none asserts an
// elapsed time. The package has no other code.
package failure
