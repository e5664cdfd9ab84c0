package main

import (
	"flag"
	"fmt"
	"io"
)

// run executes one command line and returns the exit code.
func run(arguments []string, streams stdio) int {
	shared := defaultOptions()
	flags := newFlagSet("sardinereachctl")
	shared.register(flags)
	if err := flags.Parse(arguments); err != nil {
		return reportUsageError(streams, err)
	}
	if flags.NArg() == 0 {
		return reportUsageError(streams, fmt.Errorf("no command"))
	}
	return dispatch(flags.Arg(0), flags.Args()[1:], shared, streams)
}

func dispatch(name string, arguments []string, shared *options, streams stdio) int {
	subcommand, ok := findCommand(name)
	if !ok {
		return reportUsageError(streams, unknownCommand(name))
	}
	call := &invocation{options: shared, stdio: streams}
	flags := newFlagSet(name)
	shared.register(flags)
	subcommand.register(call, flags)
	positional, err := parseMixed(flags, arguments)
	if err != nil {
		return reportUsageError(streams, err)
	}
	if len(positional) != subcommand.arguments {
		return reportUsageError(streams, fmt.Errorf("%s takes %d arguments, not %d", name, subcommand.arguments, len(positional)))
	}
	if err := shared.check(); err != nil {
		return reportUsageError(streams, err)
	}
	call.arguments = positional
	return subcommand.run(call)
}

// newFlagSet returns a flag set that prints nothing and returns errors to the caller.
func newFlagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	return flags
}

// parseMixed parses flags before, between and after the positional arguments. It returns the positional arguments.
func parseMixed(flags *flag.FlagSet, arguments []string) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(arguments); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, flags.Arg(0))
		arguments = flags.Args()[1:]
	}
}
