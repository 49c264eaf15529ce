package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport/golden"
)

// fillFields sets every field to a distinct value, in the order of declaration, so that the goldens identify fields
// without their Go names.
func fillFields(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int:
		v.SetInt(int64(*n))
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.25)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillFields(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fillFields(v.Index(i), n)
		}
	case reflect.Array:
		for i := range v.Len() {
			fillFields(v.Index(i), n)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(v.Field(i), n)
		}
	default:
		panic("no value for " + v.Type().String())
	}
}

func TestGoldenReport(t *testing.T) {
	var r Report
	n := 0
	fillFields(reflect.ValueOf(&r).Elem(), &n)
	raw, err := json.MarshalIndent(&r, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report.json", append(raw, '\n'))
	path := filepath.Join(t.TempDir(), "report.json")
	if err := r.Save(path); err != nil {
		t.Fatal(err)
	}
	saved, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(saved, append(raw, '\n')) {
		t.Errorf("saved:\n%s", saved)
	}
	var text bytes.Buffer
	if err := r.Print(&text); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report.txt", text.Bytes())
}

// TestGoldenScenarioFile reads a file with every key. Each value must be stored in the same field as before,
// identified by the order of the fields, and be written back under the same key.
func TestGoldenScenarioFile(t *testing.T) {
	raw, err := os.ReadFile("testdata/golden/every-key.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("every-key.json", raw)
	if err != nil {
		t.Fatal(err)
	}
	back, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(back, '\n'), raw) {
		t.Errorf("written back:\n%s", back)
	}
	gossip := *s.Gossip
	flat := *s
	flat.Gossip = nil
	golden.Compare(t, "every-key.txt", fmt.Appendf(nil, "%v\n%v\n", flat, gossip))
}
