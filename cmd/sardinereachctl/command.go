package main

import (
	"flag"
	"time"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// command is one subcommand.
type command struct {
	name string
	// arguments is the number of positional arguments.
	arguments int
	// register adds the flags of the subcommand.
	register func(*invocation, *flag.FlagSet)
	run      func(*invocation) int
}

// invocation is one run of a subcommand, with its parsed flags.
type invocation struct {
	*options
	stdio
	arguments []string
	// accounts are the declared accounts of the file by name.
	accounts map[string]*statement.AccountDeclaration

	dryRun   bool
	force    bool
	wait     bool
	interval time.Duration
	count    int
}

// defaultInterval is the default pause of watch between two queries.
const defaultInterval = 2 * time.Second

func commands() []command {
	return []command{
		{"exec", 1, noFlags, (*invocation).exec},
		{"apply", 1, applyFlags, (*invocation).apply},
		{"diff", 1, noFlags, (*invocation).diff},
		{"export", 0, noFlags, (*invocation).export},
		{"watch", 1, watchFlags, (*invocation).watch},
		{"check", 1, noFlags, (*invocation).check},
		{"hash-key", 0, noFlags, (*invocation).hashKey},
	}
}

func findCommand(name string) (command, bool) {
	for _, candidate := range commands() {
		if candidate.name == name {
			return candidate, true
		}
	}
	return command{}, false
}

func noFlags(*invocation, *flag.FlagSet) {}

func applyFlags(call *invocation, flags *flag.FlagSet) {
	flags.BoolVar(&call.dryRun, "dry-run", false, "only list what would change")
	flags.BoolVar(&call.force, "force", false, "accept dangerous changes")
	flags.BoolVar(&call.wait, "wait", false, "wait until the change is in force, at most -timeout")
}

func watchFlags(call *invocation, flags *flag.FlagSet) {
	flags.DurationVar(&call.interval, "interval", defaultInterval, "time between two answers")
	flags.IntVar(&call.count, "count", 0, "number of answers, 0 for no end")
}
