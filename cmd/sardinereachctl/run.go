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
		return usageFault(streams, err)
	}
	if flags.NArg() == 0 {
		return usageFault(streams, fmt.Errorf("no command"))
	}
	return dispatch(flags.Arg(0), flags.Args()[1:], shared, streams)
}

func dispatch(name string, arguments []string, shared *options, streams stdio) int {
	one, ok := findCommand(name)
	if !ok {
		return usageFault(streams, unknownCommand(name))
	}
	call := &invocation{options: shared, stdio: streams}
	flags := newFlagSet(name)
	shared.register(flags)
	one.register(call, flags)
	positional, err := parseMixed(flags, arguments)
	if err != nil {
		return usageFault(streams, err)
	}
	if len(positional) != one.arguments {
		return usageFault(streams, fmt.Errorf("%s takes %d arguments, not %d", name, one.arguments, len(positional)))
	}
	if err := shared.check(); err != nil {
		return usageFault(streams, err)
	}
	call.arguments = positional
	return one.run(call)
}

// newFlagSet returns a flag set that leaves the report of a fault to the caller.
func newFlagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	return flags
}

// parseMixed parses flags before, between and after the positional arguments, which it returns.
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
