package main

import (
	"flag"
	"time"

	"github.com/pkg/errors"
)

// defaultTimeout is the default timeout of one call.
const defaultTimeout = 10 * time.Second

// options holds the flags that all subcommands share.
type options struct {
	server    string
	tokenFile string
	output    string
	timeout   time.Duration
}

func defaultOptions() *options {
	return &options{output: "table", timeout: defaultTimeout}
}

// register adds the shared flags with their current values as defaults, so that flags before and after the command are
// combined.
func (o *options) register(flags *flag.FlagSet) {
	flags.StringVar(&o.server, "server", o.server, "IP:port of a node's operators' listener")
	flags.StringVar(&o.tokenFile, "token-file", o.tokenFile, "file with the operators' token")
	flags.StringVar(&o.output, "output", o.output, "table for people or json for programs")
	flags.DurationVar(&o.timeout, "timeout", o.timeout, "time for one call, and for apply -wait")
}

func (o *options) check() error {
	if o.output != "table" && o.output != "json" {
		return errors.Errorf("-output %q: use table or json", o.output)
	}
	if o.timeout <= 0 {
		return errors.Errorf("-timeout %s: use a time above 0", o.timeout)
	}
	return nil
}
