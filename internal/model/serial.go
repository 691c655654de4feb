package model

import "time"

// MaxSerialRun is how long an attempt may run while others of the same content wait for it.
// Most crashes happen earlier in a run, and a longer wait would make innocent requests late.
const MaxSerialRun = time.Second
