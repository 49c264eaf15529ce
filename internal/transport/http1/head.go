package http1

import (
	"fmt"
	"strings"
)

// asciiPrefix is the number of bytes at the start of a request that must be ASCII. It detects other protocols early.
const asciiPrefix = 16

// Limits on the status code of a response that a Reader accepts. Interim responses are rejected.
const (
	minStatus = 200
	maxStatus = 599
)

// Field is a header field. A Reader returns names in lower case.
type Field struct{ Name, Value string }

// Head is a message's start line and header fields.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         []Field
	Close          bool // the peer closes the connection after this message
	contentLength  int  // -1: the body ends with the connection
	chunked        bool
}

// Get returns the value of a field. ok is false if the field is missing or repeated.
func (h *Head) Get(name string) (value string, ok bool) {
	n := 0
	for _, field := range h.Fields {
		if field.Name == name {
			value = field.Value
			n++
		}
	}
	return value, n == 1
}

// Has reports whether the field occurs at least once.
func (h *Head) Has(name string) bool {
	for _, field := range h.Fields {
		if field.Name == name {
			return true
		}
	}
	return false
}

// checkPrefix returns an error if prefix can't be the start of a head. It is called for incomplete and for complete
// heads, so that the result doesn't depend on how the stream is split into reads.
func checkPrefix(prefix []byte, response bool) error {
	for i, c := range prefix {
		if c == '\n' && (i == 0 || prefix[i-1] != '\r') || c == 0 || c >= 0x80 && i < asciiPrefix && !response {
			return badRequest("byte %#x in the header", c)
		}
		if !response && i == 0 && (c < 'A' || c > 'Z') && c != '\r' {
			return badRequest("no method")
		}
	}
	return nil
}

// framingFields are the header fields that determine where the body ends.
type framingFields struct {
	contentLength int // -1: there is no such field
	chunked       bool
}

// parseHead parses a complete head, given without the empty line at its end.
func (r *Reader) parseHead(text string) (*Head, error) {
	lines := strings.Split(text, "\r\n")
	head := &Head{}
	minor, err := r.parseStartLine(head, lines[0])
	if err != nil {
		return nil, err
	}
	if len(lines)-1 > r.limits.Fields {
		return nil, &Error{StatusHeaderFieldsTooLarge, "too many header fields"}
	}
	head.Close = minor == 0
	framing := framingFields{contentLength: -1}
	for _, line := range lines[1:] {
		field, err := parseField(line)
		if err != nil {
			return nil, err
		}
		head.Fields = append(head.Fields, field)
		if field.Name == "connection" {
			head.applyConnectionOptions(field.Value, minor)
		} else if err := framing.apply(field); err != nil {
			return nil, err
		}
	}
	return head, r.setBodyFraming(head, framing, minor)
}

// parseField parses the line of one header field.
func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return Field{}, badRequest("header field %.40q", line)
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return Field{}, badRequest("byte %#x in header field %s", c, name)
		}
	}
	return Field{strings.ToLower(name), value}, nil
}

// apply stores the value of a field that frames the body, and ignores other fields. A repeated field is an error,
// because two parties may use different values of it.
func (f *framingFields) apply(field Field) error {
	switch field.Name {
	case "content-length":
		length, ok := parseDecimal(field.Value)
		if !ok || f.contentLength >= 0 {
			return badRequest("content-length %.40q", field.Value)
		}
		f.contentLength = length
	case "transfer-encoding":
		if f.chunked || !strings.EqualFold(field.Value, "chunked") {
			return badRequest("transfer-encoding %.40q", field.Value)
		}
		f.chunked = true
	}
	return nil
}

// applyConnectionOptions applies the options of a Connection field. minor is the minor HTTP version.
func (h *Head) applyConnectionOptions(value string, minor int) {
	for _, option := range strings.Split(value, ",") {
		switch strings.ToLower(strings.Trim(option, " \t")) {
		case "close":
			h.Close = true
		case "keep-alive":
			h.Close = h.Close && minor != 0
		}
	}
}

// setBodyFraming determines where the body ends (RFC 9112, section 6.3), and checks the Host field of a request.
func (r *Reader) setBodyFraming(head *Head, framing framingFields, minor int) error {
	length := framing.contentLength
	switch {
	case framing.chunked && (length >= 0 || minor == 0): // may be an attempt of request smuggling (section 6.1)
		return badRequest("transfer-encoding with content-length, or in HTTP/1.0")
	case length > r.limits.Body:
		return &Error{StatusContentTooLarge, "body exceeds its limit"}
	case framing.chunked:
		head.chunked = true
	case r.response && (head.Status == statusNoContent || head.Status == statusNotModified):
	case length >= 0 || !r.response:
		head.contentLength = max(length, 0)
	default:
		head.contentLength, head.Close = -1, true
	}
	if !r.response && minor > 0 {
		if host, ok := head.Get("host"); !ok || strings.ContainsAny(host, " ,/@") {
			return badRequest("host missing, repeated or unusable") // section 3.2
		}
	}
	return nil
}

// parseStartLine parses the first line of a message and returns the minor HTTP version.
func (r *Reader) parseStartLine(head *Head, line string) (minor int, err error) {
	if r.response {
		return parseStatusLine(head, line)
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return 0, badRequest("request line %.40q", line)
	}
	method, target, version := parts[0], parts[1], parts[2]
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c >= 0x7f {
			return 0, badRequest("byte %#x in the target", c)
		}
	}
	if !supportedVersion(version) {
		return 0, &Error{StatusHTTPVersionNotSupported, fmt.Sprintf("version %.20q", version)}
	}
	head.Method, head.Target = method, target
	return minorVersion(version), nil
}

func parseStatusLine(head *Head, line string) (minor int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, ok := parseDecimal(code)
	if !supportedVersion(version) || !ok || status < minStatus || status > maxStatus || len(code) != 3 {
		return 0, badRequest("status line %.40q", line)
	}
	head.Status = status
	return minorVersion(version), nil
}

func supportedVersion(version string) bool { return version == "HTTP/1.1" || version == "HTTP/1.0" }

// minorVersion returns the minor number of a supported version.
func minorVersion(version string) int { return int(version[len("HTTP/1.")] - '0') }

// parseDecimal parses a decimal number without a sign.
func parseDecimal(s string) (n int, ok bool) {
	const maxDigits = 18 // any number of 18 digits fits in an int
	if s == "" || len(s) > maxDigits {
		return 0, false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = 10*n + int(s[i]-'0')
	}
	return n, true
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}
