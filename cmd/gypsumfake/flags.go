package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/tomlfile"
)

// addressFlags holds the flags that both commands have.
type addressFlags struct {
	listen  string
	control string
}

func (f *addressFlags) define(fs *flag.FlagSet, listen, control string) {
	fs.StringVar(&f.listen, "listen", listen, "ip:port to serve on")
	fs.StringVar(&f.control, "control", control, "ip:port of the control server, which sets faults")
}

// parse parses the flags. If ok is false, the command exits with the code.
func parse(fs *flag.FlagSet, args []string, stdout, stderr io.Writer) (code int, ok bool) {
	fs.SetOutput(stderr)
	fs.Usage = func() {}
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(stdout, "Flags of gypsumfake %s:\n", fs.Name())
		fs.SetOutput(stdout)
		fs.PrintDefaults()
		fmt.Fprintf(stdout, "\n%s", usage)
		return exitOK, false
	}
	if err != nil {
		fmt.Fprintf(stderr, "see gypsumfake %s --help\n", fs.Name())
		return exitUsage, false
	}
	if fs.NArg() > 0 {
		fmt.Fprintf(stderr, "gypsumfake %s: unexpected argument %q\n", fs.Name(), fs.Arg(0))
		return exitUsage, false
	}
	return exitOK, true
}

// stringList is a flag that may be repeated.
type stringList []string

// String implements flag.Value.
func (l *stringList) String() string { return fmt.Sprint([]string(*l)) }

// Set implements flag.Value.
func (l *stringList) Set(value string) error {
	*l = append(*l, value)
	return nil
}

// readTOML decodes a file into v; unknown keys are findings of the document. The error is a
// finding.List.
func readTOML[T any](path string, v *T) (*tomlfile.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Message: err.Error()}}
	}
	return tomlfile.Decode(path, data, v), nil
}
