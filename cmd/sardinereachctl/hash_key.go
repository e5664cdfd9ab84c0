package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// maxKeyBytes limits the length of an API key, which callers send in a header field.
const maxKeyBytes = 4 << 10

// hashJSON is the JSON output of hash-key.
type hashJSON struct {
	Hash string `json:"hash"`
}

// hashKey reads an API key from standard input and prints its hash. It calls no node, and no output contains the key.
func (call *invocation) hashKey() int {
	data, err := io.ReadAll(io.LimitReader(call.in, maxKeyBytes+1))
	if err != nil {
		return call.reportFileError(err)
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	if err := checkKey(key); err != nil {
		call.printStderr("sardinereachctl: %v", err)
		return exitUsage
	}
	hash := statement.FormatKeyHash(declaration.HashKey(key))
	if call.output == "json" {
		call.printJSON(hashJSON{hash})
		return exitOK
	}
	fmt.Fprintln(call.out, hash)
	return exitOK
}

// checkKey returns an error for a text that no header field carries unchanged, so that it can never be the key of a request. The error
// does not contain the text.
func checkKey(key string) error {
	switch {
	case key == "":
		return errors.New("the standard input has no key")
	case len(key) > maxKeyBytes:
		return errors.Errorf("the key has more than %d bytes", maxKeyBytes)
	case strings.ContainsAny(key, "\r\n"):
		return errors.New("the standard input has several lines; give one key")
	case strings.TrimSpace(key) != key:
		return errors.New("the key begins or ends with a space")
	case strings.ContainsFunc(key, isControl):
		return errors.New("the key contains a control character")
	case strings.HasPrefix(key, statement.KeyHashPrefix):
		return errors.New("the standard input has a key hash, not a key")
	}
	return nil
}

func isControl(c rune) bool { return c < ' ' || c == 0x7f }
