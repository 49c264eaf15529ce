package respupstream

import (
	"strconv"
	"time"

	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/transport/resp"
)

// encodeAttempt encodes an attempt. The remaining deadline is sent in whole milliseconds, rounded down, at least 1.
func encodeAttempt(request *invocation.Request, remaining time.Duration) []byte {
	fields := make([]byte, 0, 128)
	fields = append(fields, "cls="...)
	fields = append(fields, request.Class...)
	fields = append(fields, ",item="...)
	fields = append(fields, request.Function...)
	fields = append(fields, ",limit="...)
	fields = strconv.AppendInt(fields, max(remaining.Milliseconds(), 1), 10)
	if request.IdempotencyKey != "" {
		fields = append(fields, ",nonce="...)
		fields = append(fields, request.IdempotencyKey...)
	}
	return resp.Append(make([]byte, 0, 256+len(request.Body)), []byte("exec"), []byte(request.ID), fields, request.Body)
}

// encodeLoad encodes a load command: the worker is to hold this many copies of the function.
func encodeLoad(id, function string, copies int) []byte {
	return resp.Append(nil, []byte("ensure"), []byte(id), []byte("item="+function+",slots_up="+strconv.Itoa(copies)))
}

// encodeHealthCheck encodes a health check, which is called "load" on the wire.
func encodeHealthCheck(id string) []byte { return resp.Append(nil, []byte("load"), []byte(id)) }

// encodeCancel encodes the cancellation of the attempt with the id. It has no response.
func encodeCancel(id string) []byte { return resp.Append(nil, []byte("drop"), []byte(id)) }
