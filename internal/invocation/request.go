// Package invocation holds what the HTTP server passes to the RESP upstream unchanged: the parts of a call that the
// router doesn't look at, and the checks that make them fit both protocols.
package invocation

import "strings"

// Request holds the parts of a call that both protocols carry. It is immutable once made, so it may be shared.
type Request struct {
	ID             string // the client's correlation ID, new with every request
	Class          string
	Function       string
	IdempotencyKey string // empty where the client gave none
	Body           []byte
}

// maxIdempotencyKeyLength is in bytes.
const maxIdempotencyKeyLength = 64

// IsLowerHex reports whether s consists of exactly length lower-case hexadecimal digits, the form of correlation IDs and
// function IDs.
func IsLowerHex(s string, length int) bool {
	return len(s) == length && strings.Trim(s, "0123456789abcdef") == ""
}

// IsIdempotencyKey reports whether s is a valid idempotency key: letters, digits, '-', '_' and '.' only, so that it fits
// an HTTP header field as well as a comma-separated list of name=value.
func IsIdempotencyKey(s string) bool {
	for i := range len(s) {
		if !isKeyCharacter(s[i]) {
			return false
		}
	}
	return s != "" && len(s) <= maxIdempotencyKeyLength
}

func isKeyCharacter(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}
