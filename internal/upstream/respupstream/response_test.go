package respupstream

import "testing"

// FuzzParseResponse checks that no response causes a panic, and that each accepted response has its id and a known
// status.
func FuzzParseResponse(f *testing.F) {
	f.Add("id", "ok", "company=1,meter=inflight:7;util:0.61", "body")
	f.Add("id", "refused", "-", "")
	f.Fuzz(func(t *testing.T, id, status, fields, body string) {
		received, err := parseResponse([][]byte{[]byte(id), []byte(status), []byte(fields), []byte(body)})
		if err == nil && (received.id != id || statusResults[received.status] == nil || received.report.FunctionInFlight < -1) {
			t.Fatalf("%+v", received)
		}
	})
}
