// Package invocation is what passes from the platform's entrance to its exit unchanged: the parts of a call that the
// router doesn't look at, and the forms that they must have to fit both protocols.
package invocation

import "strings"

// Request is a call's share of both protocols. Nobody changes it once it is made.
type Request struct {
	ID       string // the client's, new with every request
	Class    string
	Function string
	Key      string // the idempotency key, or none
	Body     []byte
}

// maxKey is the longest idempotency key, in bytes.
const maxKey = 64

// Hex tells whether s is n hex digits in lower case, the form of ids and functions.
func Hex(s string, n int) bool { return len(s) == n && strings.Trim(s, "0123456789abcdef") == "" }

// Key tells whether s can be an idempotency key: it must fit a header field and a list of name=value.
func Key(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return s != "" && len(s) <= maxKey
}
