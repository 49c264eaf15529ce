package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest is the SHA-256 digest of a plug-in's content before compression.
type Digest [sha256.Size]byte

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses 64 lower-case hexadecimal digits. Any other text is rejected with ErrInvalidArgument.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	if len(text) != 2*len(d) {
		return d, fmt.Errorf("%w: digest has %d characters, want %d", ErrInvalidArgument, len(text), 2*len(d))
	}
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return d, fmt.Errorf("%w: digest has an invalid character at index %d", ErrInvalidArgument, i)
		}
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err
}
