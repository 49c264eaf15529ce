// Package invocation defines the parts of a call that the HTTP server passes to the RESP upstream unchanged and that
// the router doesn't use, and their validation for both protocols.
package invocation

import "strings"

// Request holds the parts of a call that both protocols carry. It must not be modified, so it may be shared.
type Request struct {
	ID             string // the client's correlation ID, unique to the request
	Class          string
	Function       string
	IdempotencyKey string // empty if the client sent none
	Body           []byte
}

// maxIdempotencyKeyLength is the longest idempotency key, in bytes.
const maxIdempotencyKeyLength = 64

// IsLowerHex reports whether s consists of exactly length lower-case hexadecimal digits, the format of correlation IDs
// and function IDs.
func IsLowerHex(s string, length int) bool {
	return len(s) == length && strings.Trim(s, "0123456789abcdef") == ""
}

// IsIdempotencyKey reports whether s is a valid idempotency key. It may contain only ASCII letters, digits, '-', '_'
// and '.', which are valid both in an HTTP header field and in a comma-separated list of name=value.
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
