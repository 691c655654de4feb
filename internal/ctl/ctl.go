// Package ctl implements gypsumctl, the operators' command-line tool. Each command is
// defined in its own file; Run dispatches to them.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// Exit codes of Run.
const (
	// ExitOK means success; check and verify found no error.
	ExitOK = 0
	// ExitFailure means that the command reported findings or could not complete.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
)

const program = "gypsumctl"

// errFindings is returned by a command that has already printed its findings.
var errFindings = errors.New("findings were printed")

// usageError describes an invalid command line.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return usageError{message: fmt.Sprintf(format, args...)}
}

// streams holds the output and error writers of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

func (s *streams) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }

func (s *streams) warnf(format string, args ...any) {
	fmt.Fprintf(s.err, program+": "+format+"\n", args...)
}

// runner executes a command with the arguments that follow its flags.
type runner func(ctx context.Context, s *streams, args []string) error

// command is a subcommand with its help text.
type command struct {
	name      string
	arguments string
	summary   string
	details   string
	examples  []string
	// setup defines the command's flags and returns the runner that reads them.
	setup func(flags *flag.FlagSet) runner
}

func commands() []command {
	return []command{
		keygenCommand, checkCommand, signCommand, verifyCommand,
		diffCommand, statusCommand, explainCommand, asideCommand,
	}
}

// Run executes a command line, given without the program's name, and returns the exit
// code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := &streams{out: stdout, err: stderr}
	if len(args) == 0 {
		writeOverview(stderr)
		return ExitUsage
	}
	name, rest := args[0], args[1:]
	if name == "help" && len(rest) > 0 {
		name, rest = rest[0], []string{"-help"}
	}
	if name == "help" || name == "-h" || name == "-help" || name == "--help" {
		writeOverview(stdout)
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == name {
			return c.run(ctx, s, rest)
		}
	}
	s.warnf("unknown command %q; run %q for a list", name, program+" help")
	return ExitUsage
}

// run parses the command's flags, executes it and returns the exit code.
func (c *command) run(ctx context.Context, s *streams, args []string) int {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	run := c.setup(flags)
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		c.writeHelp(s.out, flags)
		return ExitOK
	}
	if err == nil {
		err = run(ctx, s, flags.Args())
	} else {
		err = usageError{message: err.Error()}
	}
	return c.exitCode(s, err)
}

// exitCode prints err, unless its findings are already printed, and maps it to an exit
// code.
func (c *command) exitCode(s *streams, err error) int {
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFindings):
		return ExitFailure
	case errors.As(err, &usage):
		s.warnf("%s: %s; run %q for help", c.name, usage.message, program+" help "+c.name)
		return ExitUsage
	}
	s.warnf("%s: %v", c.name, err)
	return ExitFailure
}

// writeOverview prints the list of commands.
func writeOverview(w io.Writer) {
	fmt.Fprintf(w, "%s generates keys, checks, signs, verifies and compares bundles, and shows the state of\na node. Nodes are configured by signed bundles only; no command changes a running node.\n\n", program)
	fmt.Fprintf(w, "Usage: %s COMMAND [FLAG...] [ARGUMENT...]\n\nCommands:\n", program)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-8s %s\n", c.name, c.summary)
	}
	fmt.Fprintf(w, "\nRun \"%s help COMMAND\" or \"%s COMMAND --help\" for details.\n", program, program)
	fmt.Fprint(w, "Exit codes: 0 success, 1 findings or failure, 2 wrong usage.\n")
}

// writeHelp prints the command's usage, flags and examples.
func (c *command) writeHelp(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprintf(w, "Usage: %s %s [FLAG...] %s\n\n%s\n", program, c.name, c.arguments, strings.TrimSpace(c.details))
	fmt.Fprint(w, "\nFlags:\n")
	flags.SetOutput(w)
	flags.PrintDefaults()
	fmt.Fprint(w, "\nExamples:\n")
	for _, example := range c.examples {
		fmt.Fprintf(w, "  %s %s %s\n", program, c.name, example)
	}
	fmt.Fprint(w, "\nExit codes: 0 success, 1 findings or failure, 2 wrong usage.\n")
}
