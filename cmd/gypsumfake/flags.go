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

// ports are the flags that both commands have.
type ports struct {
	listen  string
	control string
}

func (p *ports) define(fs *flag.FlagSet, listen, control string) {
	fs.StringVar(&p.listen, "listen", listen, "ip:port to serve at")
	fs.StringVar(&p.control, "control", control, "ip:port to set faults at")
}

// parse reads flags; when it returns false, the command ends with the code.
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

// list is a flag that may be given several times.
type list []string

// String implements flag.Value.
func (l *list) String() string { return fmt.Sprint([]string(*l)) }

// Set implements flag.Value.
func (l *list) Set(value string) error {
	*l = append(*l, value)
	return nil
}

// readTOML reads a file strictly into v. The error is a finding.List.
func readTOML[T any](path string, v *T) (*tomlfile.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Message: err.Error()}}
	}
	return tomlfile.Decode(path, data, v), nil
}
