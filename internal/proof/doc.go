// Package proof checks the promises of docs/PROMISES.md by stateful fuzzing: it
// joins whole decision cores (package core) by a queue of events on a fake
// clock, brings faults about, and holds what happened against a plain ledger
// that is kept outside the cores. All of it is in the package's tests.
//
// The tests carry out what the cores decide as the program does; each part names
// the file of the program that it stands for.
package proof
