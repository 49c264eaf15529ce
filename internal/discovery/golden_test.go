package discovery

import (
	"bytes"
	"flag"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/endpoints"
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

// TestGoldenPollRequest holds the bytes of a long poll. The protocol has no acknowledgement of its own: the revision in
// the next request serves as one.
func TestGoldenPollRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	request := make(chan []byte, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var got []byte
		for part := make([]byte, 1024); !bytes.HasSuffix(got, []byte("\r\n\r\n")); {
			n, err := conn.Read(part)
			if err != nil {
				break
			}
			got = append(got, part[:n]...)
		}
		request <- got
	}()
	watcher, err := Start(Config{Address: listener.Addr().String(), ConnectTimeout: 5 * time.Second,
		PollWait: 1500 * time.Millisecond, ResponseGrace: time.Second, MaxRetryDelay: time.Second, MaxResponseBytes: 1 << 16,
		RouterTime: func(time.Time) time.Duration { return 0 }, OnUpdate: func([]endpoints.Worker) {},
	}, parseResponse(t, `{"cursor":41,"cmds":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	defer watcher.Close()
	select {
	case got := <-request:
		got = bytes.ReplaceAll(got, []byte(listener.Addr().String()), []byte("ADDRESS"))
		compareGolden(t, "poll_request.http", got)
	case <-time.After(20 * time.Second):
		t.Fatal("no poll")
	}
}

// TestGoldenEvents holds the endpoint list that one event of each kind leads to.
func TestGoldenEvents(t *testing.T) {
	input, err := os.ReadFile("testdata/golden/events.json")
	if err != nil {
		t.Fatal(err)
	}
	list := newEndpointList()
	if _, err := list.Apply(parseResponse(t, string(input))); err != nil {
		t.Fatal(err)
	}
	routerTime := func(moment time.Time) time.Duration { return time.Duration(moment.UnixMilli()) }
	text := strconv.FormatInt(list.revision, 10) + "\n"
	for _, worker := range list.Workers(routerTime) {
		text += plainValue(reflect.ValueOf(worker)) + "\n"
	}
	compareGolden(t, "events.txt", []byte(text))
}
