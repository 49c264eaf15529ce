package http1

import "testing"

func BenchmarkReader(b *testing.B) {
	for name, c := range map[string]struct {
		response bool
		message  string
	}{
		"request": {false, postMessage},
		"chunked request": {false, "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
			"3\r\nabc\r\n1;x=y\r\nd\r\n0\r\nT: u\r\n\r\n"},
		"response": {true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
	} {
		b.Run(name, func(b *testing.B) {
			r := NewReader(testLimits)
			r.response = c.response
			message := []byte(c.message)
			b.ReportAllocs()
			for b.Loop() {
				if err := r.Add(message); err != nil {
					b.Fatal(err)
				}
				if m, err := r.Next(); m == nil || err != nil {
					b.Fatal(m, err)
				}
			}
		})
	}
}

func BenchmarkAppendResponse(b *testing.B) {
	buf := make([]byte, 0, 512)
	fields := []Field{{"X-Pushback-Ms", "70"}}
	body := []byte("body")
	b.ReportAllocs()
	for b.Loop() {
		buf = AppendResponse(buf[:0], 503, fields, body, true)
	}
}
