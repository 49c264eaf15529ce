package grpc

import (
	"strconv"
	"strings"
)

// PercentEncode encodes a status message for grpc-message: all bytes except printable ASCII, and the percent sign.
func PercentEncode(s string) string {
	i := 0
	for i < len(s) && isUnencoded(s[i]) {
		i++
	}
	if i == len(s) {
		return s
	}
	const hex = "0123456789ABCDEF"
	out := append(make([]byte, 0, len(s)+16), s[:i]...)
	for ; i < len(s); i++ {
		if b := s[i]; isUnencoded(b) {
			out = append(out, b)
		} else {
			out = append(out, '%', hex[b>>4], hex[b&15])
		}
	}
	return string(out)
}

// isUnencoded reports whether a byte needs no encoding ("Percent-Byte-Unencoded" in the specification).
func isUnencoded(b byte) bool { return b >= ' ' && b <= '~' && b != '%' }

// PercentDecode reverses PercentEncode. Invalid encodings are kept unchanged, as the specification requires.
func PercentDecode(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if v, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
				out = append(out, byte(v))
				i += 2
				continue
			}
		}
		out = append(out, s[i])
	}
	return string(out)
}
