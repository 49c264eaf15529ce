package invocation

import (
	"strings"
	"testing"
)

func TestIsLowerHex(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		length int
		want   bool
	}{
		"digits and lower-case letters": {"0123456789abcdef", 16, true},
		"upper case":                    {"0123456789ABCDEF", 16, false},
		"too short":                     {"0123456789abcde", 16, false},
		"too long":                      {"0123456789abcdef0", 16, false},
		"a letter beyond f":             {"0123456789abcdeg", 16, false},
		"a space within":                {"01234567 9abcdef", 16, false},
		"empty":                         {"", 16, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := IsLowerHex(c.text, c.length); got != c.want {
				t.Errorf("%q of length %d: %v, want %v", c.text, c.length, got, c.want)
			}
		})
	}
}

func TestIsIdempotencyKey(t *testing.T) {
	for name, c := range map[string]struct {
		key  string
		want bool
	}{
		"every kind of character":    {"azAZ09-_.", true},
		"one character":              {"k", true},
		"the longest":                {strings.Repeat("k", 64), true},
		"one character too long":     {strings.Repeat("k", 65), false},
		"empty":                      {"", false},
		"separator of RESP fields":   {"a,b", false},
		"separator within a field":   {"a=b", false},
		"end of a header field":      {"a\r\nb", false},
		"space":                      {"a b", false},
		"character outside ASCII":    {"é", false},
		"colon of an HTTP header":    {"a:b", false},
		"slash and other ASCII":      {"a/b", false},
		"zero byte":                  {"a\x00b", false},
		"character before A and a":   {"@", false},
		"character after z, a brace": {"{", false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := IsIdempotencyKey(c.key); got != c.want {
				t.Errorf("%q: %v, want %v", c.key, got, c.want)
			}
		})
	}
}
