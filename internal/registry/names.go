// Package registry holds plug-ins: immutable versions named by their content, and aliases that move between
// them. This file and state.go are its core, without I/O or clock; the store keeps on disk what the core accepts.
package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// Errors of what is asked for.
var (
	ErrName      = errors.New("registry: bad name")
	ErrNotFound  = errors.New("registry: not found")
	ErrExists    = errors.New("registry: exists with other content")
	ErrHeld      = errors.New("registry: held by an alias")
	ErrConflict  = errors.New("registry: not as expected")
	ErrCompacted = errors.New("registry: revision compacted, list again")
	ErrFuture    = errors.New("registry: revision not reached; was the registry restored from a backup?")
)

const maxName = 64

// CheckName accepts 1 to 64 bytes of a-z, 0-9, '-', '_' and '.', the first and last a letter or digit, without
// two dots in a row. Names become parts of paths and of keys, and are compared by people: so there are no
// separators, no upper case, and nothing that looks like something else.
func CheckName(kind, s string) error {
	if len(s) == 0 || len(s) > maxName {
		return fmt.Errorf("%w: %s of %d bytes, 1 to %d are allowed", ErrName, kind, len(s), maxName)
	}
	word := func(c byte) bool { return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' }
	for i := range len(s) {
		c := s[i]
		inner := i > 0 && i < len(s)-1 && (c == '-' || c == '_' || c == '.' && s[i-1] != '.')
		if !word(c) && !inner {
			return fmt.Errorf("%w: %s %q at byte %d", ErrName, kind, s, i)
		}
	}
	return nil
}

// Digest is the SHA-256 of a plug-in's content.
type Digest [sha256.Size]byte

func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads 64 digits of lower-case hexadecimal.
func ParseDigest(s string) (d Digest, err error) {
	if len(s) != 2*len(d) {
		return d, fmt.Errorf("%w: digest of %d characters, %d are needed", ErrName, len(s), 2*len(d))
	}
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return d, fmt.Errorf("%w: digest at character %d", ErrName, i)
		}
	}
	_, err = hex.Decode(d[:], []byte(s))
	return d, err
}
