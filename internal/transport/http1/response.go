package http1

import "strconv"

// AppendResponse appends a response with a Content-Length field to b and returns the result. closing adds "Connection:
// close", which announces that the server closes the connection after the response.
func AppendResponse(b []byte, status int, fields []Field, body []byte, closing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	for _, field := range fields {
		b = append(b, "\r\n"...)
		b = append(b, field.Name...)
		b = append(b, ": "...)
		b = append(b, field.Value...)
	}
	if closing {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
