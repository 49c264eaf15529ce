package simwire

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

var update = flag.Bool("update", false, "write the golden files anew")

// compareGolden compares bytes with a file under testdata/golden.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}

// plainValue writes a decoded value as numbers and strings in the order of its fields, without any Go name, so that
// renaming a type or field leaves the text as it is.
func plainValue(v reflect.Value) string {
	parts := []string{}
	switch v.Kind() {
	case reflect.Interface, reflect.Pointer:
		if v.IsNil() {
			return "nil"
		}
		return plainValue(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			parts = append(parts, plainValue(v.Field(i)))
		}
		return "(" + strings.Join(parts, " ") + ")"
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			parts = append(parts, plainValue(v.Index(i)))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.Map:
		for _, key := range v.MapKeys() {
			parts = append(parts, plainValue(key)+": "+plainValue(v.MapIndex(key)))
		}
		sort.Strings(parts)
		return "{" + strings.Join(parts, " ") + "}"
	case reflect.String:
		return strconv.Quote(v.String())
	case reflect.Bool:
		return strconv.FormatBool(v.Bool())
	case reflect.Float32, reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return strconv.FormatUint(v.Uint(), 10)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return strconv.FormatInt(v.Int(), 10)
	}
	return "unsupported " + v.Kind().String()
}

// TestGoldenActions holds the lines that the Writer writes, one of each kind of action. A ReportSuspicion has no line of its own.
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
		dispatch.LogNote{Text: "a_note"},
		dispatch.ReportSuspicion{Worker: "s5", Class: "q", Slow: true},
	})
	if err := writer.End("17"); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "actions.out", out.Bytes())
}

// TestGoldenEvents holds what the Reader makes of one event of each kind and of an instance's start.
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
	out.WriteString(plainValue(reflect.ValueOf(batch.Clock)) + " " + plainValue(reflect.ValueOf(batch.Serial)) + "\n")
	for _, part := range batch.Parts {
		out.WriteString(plainValue(reflect.ValueOf([]any{part.Instance, part.Start, part.Stop})) + "\n")
		for _, event := range part.Events {
			out.WriteString(plainValue(reflect.ValueOf(event)) + "\n")
		}
	}
	compareGolden(t, "events.out", []byte(out.String()))
}

// TestGoldenSettings holds what SettingsOf makes of an object with every key.
func TestGoldenSettings(t *testing.T) {
	input, err := os.ReadFile("testdata/golden/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	settings, limits, err := ParseSettings(input)
	if err != nil {
		t.Fatal(err)
	}
	text := plainValue(reflect.ValueOf(settings)) + "\n" + plainValue(reflect.ValueOf(limits)) + "\n"
	compareGolden(t, "settings.out", []byte(text))
}
