package httprouter

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

var update = flag.Bool("update", false, "rewrite the golden files")

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

// TestGoldenConfig holds what is read of a configuration file with every key.
func TestGoldenConfig(t *testing.T) {
	config, err := LoadConfig("testdata/golden/config.json")
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "config.txt", []byte(plainValue(reflect.ValueOf(config))+"\n"))
}
