// Command gypsumthird plays the cases 6 and 7 of the review: `gypsumthird CASE RECORD`, in the
// project's root. It starts the store, the workers and the clients as stand-ins, and nodes as
// processes of their own.
package main

import (
	"fmt"
	"os"
)

// commands plays each case: dir is a temporary folder, path that of record.txt.
var commands = map[string]func(dir, path string) int{
	"crash-loop": crashLoop,
	"gone":       gone,
}

func main() {
	if len(os.Args) != 3 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: gypsumthird CASE RECORD")
		os.Exit(unknown)
	}
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unknown)
	}
	code := commands[os.Args[1]](dir, os.Args[2])
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}
