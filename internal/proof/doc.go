// Package proof checks the promises of docs/PROMISES.md by stateful fuzzing. It connects
// complete decision cores (package core) through an event queue on a fake clock, injects
// faults, and compares what happened with a ledger that is kept outside the cores. Run
// plays plans by seed for command gypsumproof; the package's tests draw plans with rapid,
// which can shrink them.
//
// The package carries out the decisions of the cores in the same way as the node process.
// Comments name the package that each part stands for.
package proof
