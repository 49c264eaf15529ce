package http2

import (
	"strings"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// checkHeaders returns the reason why the headers of a request or response are malformed (RFC 9113, sections 8.2 and
// 8.3), or "" if they are well-formed.
func checkHeaders(fields []hpack.Field, request bool) string {
	var method, scheme, path, status int
	regular := false
	for _, f := range fields {
		if !strings.HasPrefix(f.Name, ":") {
			regular = true
			if reason := checkField(f); reason != "" {
				return reason
			}
			continue
		}
		if regular {
			return "pseudo-header field behind a regular one"
		}
		if reason := checkValue(f); reason != "" {
			return reason
		}
		switch {
		case request && f.Name == ":method":
			method++
		case request && f.Name == ":scheme":
			scheme++
		case request && f.Name == ":path" && f.Value != "":
			path++
		case request && f.Name == ":authority":
		case !request && f.Name == ":status":
			status++
		default:
			return "unexpected pseudo-header field " + f.Name
		}
	}
	if request && (method != 1 || scheme != 1 || path != 1) || !request && status != 1 {
		return "pseudo-header fields missing or repeated"
	}
	return ""
}

// checkTrailers returns the reason why trailers are malformed, or "".
func checkTrailers(fields []hpack.Field) string {
	for _, f := range fields {
		if strings.HasPrefix(f.Name, ":") {
			return "pseudo-header field in trailers"
		}
		if reason := checkField(f); reason != "" {
			return reason
		}
	}
	return ""
}

// checkField returns the reason why a regular field is malformed (RFC 9113, sections 8.2.1 and 8.2.2), or "".
func checkField(f hpack.Field) string {
	if f.Name == "" {
		return "empty field name"
	}
	for i := range len(f.Name) {
		if b := f.Name[i]; b <= ' ' || b >= 0x7f || b >= 'A' && b <= 'Z' || b == ':' {
			return "invalid byte in a field name"
		}
	}
	if reason := checkValue(f); reason != "" {
		return reason
	}
	switch f.Name {
	case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
		return "connection-specific field " + f.Name
	case "te":
		if f.Value != "trailers" {
			return "te of " + f.Value
		}
	}
	return ""
}

// checkValue returns the reason why the value of a regular or pseudo-header field is malformed (RFC 9113, section
// 8.2.1), or "".
func checkValue(f hpack.Field) string {
	if strings.ContainsAny(f.Value, "\x00\r\n") {
		return "invalid byte in the value of " + f.Name
	}
	return ""
}
