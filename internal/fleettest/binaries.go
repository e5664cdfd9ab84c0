package fleettest

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// Programs that every fleet runs.
const (
	daemonProgram   = "sardinereachd"
	controlProgram  = "sardinereachctl"
	storeProgram    = "fakestore"
	upstreamProgram = "fakeupstream"
)

const modulePath = "github.com/sardinereach/sardinereach"

// Binaries are the programs of a fleet. They are built once and shared by fleets.
type Binaries struct {
	dir string
}

// relayedDaemonProgram is a daemon that listens for peers at another address than the one it announces to them.
const relayedDaemonProgram = "internal/fleettest/relayeddaemon"

// Build builds the programs and the extra packages, given by path in the module, into a new temporary directory. The
// working directory must be inside the module.
func Build(ctx context.Context, extra ...string) (*Binaries, error) {
	dir, err := os.MkdirTemp("", "sardinereach-bin-")
	if err != nil {
		return nil, errors.Wrap(err, "build")
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, program := range []string{daemonProgram, controlProgram, storeProgram, upstreamProgram} {
		args = append(args, modulePath+"/cmd/"+program)
	}
	for _, path := range extra {
		args = append(args, modulePath+"/"+path)
	}
	output, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err != nil {
		os.RemoveAll(dir)
		return nil, errors.Wrapf(err, "build: %s", output)
	}
	return &Binaries{dir: dir}, nil
}

// Remove deletes the directory of the programs.
func (b *Binaries) Remove() { os.RemoveAll(b.dir) }

func (b *Binaries) path(program string) string { return filepath.Join(b.dir, filepath.Base(program)) }
