package simwire

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/testsupport/golden"
)

// TestGoldenActions checks the line that the Writer writes for each type of action. The protocol has no line for a
// ReportSuspicion, so its line is empty.
func TestGoldenActions(t *testing.T) {
	var out bytes.Buffer
	writer := NewWriter(&out)
	writer.Actions(3, []dispatch.Action{
		dispatch.StartAttempt{ID: 11, Worker: "s1"},
		dispatch.StartAttempt{ID: 12, Worker: "s2", Timeout: 1500 * time.Microsecond},
		dispatch.CancelAttempt{ID: 13, Attempt: 2},
		dispatch.RejectRequest{ID: 14, RetryAfter: 70 * time.Millisecond},
		dispatch.FailRequest{ID: 15},
		dispatch.LoadFunction{Worker: "s3", Function: "h:a", Copies: 4},
		dispatch.CheckHealth{Worker: "s4"},
		dispatch.SubscribeEndpoints{},
		dispatch.SetTimer{After: 16 * time.Microsecond},
		dispatch.LogMessage{Text: "a_note"},
		dispatch.ReportSuspicion{Worker: "s5", Class: "q", Slow: true},
	})
	if err := writer.End("17"); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "actions.out", out.Bytes())
}

// TestGoldenEvents checks how the Reader parses each type of event and the start of an instance.
func TestGoldenEvents(t *testing.T) {
	input, err := os.ReadFile("testdata/golden/events.in")
	if err != nil {
		t.Fatal(err)
	}
	batch, err := NewReader(bytes.NewReader(input)).Next()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	out.WriteString(golden.PlainValue(batch.Now) + " " + golden.PlainValue(batch.Serial) + "\n")
	for _, part := range batch.Parts {
		out.WriteString(golden.PlainValue([]any{part.Instance, part.Start, part.Stop}) + "\n")
		for _, event := range part.Events {
			out.WriteString(golden.PlainValue(event) + "\n")
		}
	}
	golden.Compare(t, "events.out", []byte(out.String()))
}

// TestGoldenSettings checks how ParseSettings parses an object that has every key.
func TestGoldenSettings(t *testing.T) {
	input, err := os.ReadFile("testdata/golden/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	settings, limits, err := ParseSettings(input)
	if err != nil {
		t.Fatal(err)
	}
	text := golden.PlainValue(settings) + "\n" + golden.PlainValue(limits) + "\n"
	golden.Compare(t, "settings.out", []byte(text))
}
