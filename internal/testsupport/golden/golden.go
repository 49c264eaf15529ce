// Package golden compares the output of tests with golden files.
package golden

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
)

var update = flag.Bool("update", false, "overwrite the golden files with the results of the tests")

// Compare fails the test if got differs from the content of a file under testdata/golden. With the test flag -update it
// first writes got to the file.
func Compare(t testing.TB, name string, got []byte) {
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

// Read returns the content of a file under testdata/golden, which a test uses as input.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// PlainValue formats a value as numbers and strings in the order of its fields. The text contains no Go names, so that
// it does not change when a type or field is renamed.
func PlainValue(v any) string { return plainValue(reflect.ValueOf(v)) }

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
