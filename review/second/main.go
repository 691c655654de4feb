// Command review-second plays one case of the second review against real node processes.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 115 * time.Second

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// cases maps names to cases. A case returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, f *fleet, rec *record, trouble bool) (broken bool, err error){
	"early": playEarly,
	"slash": playSlash,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE ROOT FOLDER")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	rec := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.linef("case %s, trouble %t", os.Args[1], trouble)
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	f, err := newFleet(os.Args[2])
	if err != nil {
		rec.linef("not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	broken, err := cases[os.Args[1]](ctx, f, rec, trouble)
	switch {
	case broken:
		rec.linef("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	case err != nil:
		rec.linef("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	rec.linef("the rule held")
	fmt.Println("held")
	return exitHeld
}
