// Package proof checks the promises of docs/PROMISES.md by stateful fuzzing: it
// joins whole decision cores (package core) by a queue of events on a fake
// clock, brings faults about, and holds what happened against a plain ledger
// that is kept outside the cores. Run plays plans by seed, for command
// gypsumproof; the package's tests draw them by rapid, which can shrink them.
//
// It carries out what the cores decide as the program does; each part names the
// file of the program that it stands for.
package proof
