package fakeplatform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// The commands of messages to workers.
const (
	execCommand    = "exec"    // run a request
	dropCommand    = "drop"    // cancel a request
	ensureCommand  = "ensure"  // hold copies of a function
	releaseCommand = "release" // has no reply, and no effect on a fake
	loadCommand    = "load"    // report the load
	healthCommand  = "health"  // report the readiness
)

// The fields of messages that the fakes read.
const (
	functionField       = "item"
	classField          = "cls"
	idempotencyKeyField = "nonce"
	deadlineField       = "limit"
	copiesField         = "slots_up"
)

// itemCounts are the items of a message, by its command.
var itemCounts = map[string]int{execCommand: 4, dropCommand: 2, ensureCommand: 3, releaseCommand: 2, loadCommand: 2, healthCommand: 2}

// The bounds of a message that is read.
const (
	maxItems     = 16
	maxItemBytes = 64 << 20
)

// idLength is the length of the ids of requests and functions, in hex digits.
const idLength = 16

// Request is a message as a worker received it.
type Request struct {
	Command string
	ID      string
	Fields  map[string]string
	Body    string
	Conn    *Conn
}

// EncodeMessage encodes an array of bulk strings.
func EncodeMessage(items ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(items))
	for _, item := range items {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(item), item)
	}
	return b.String()
}

// ReadMessage reads an array of bulk strings.
func ReadMessage(in *bufio.Reader) ([]string, error) {
	n, err := readLength(in, '*')
	if err != nil || n < 1 || n > maxItems {
		return nil, errors.Join(err, errors.New("fakeplatform: no array"))
	}
	items := make([]string, n)
	for i := range items {
		size, err := readLength(in, '$')
		if err != nil || size < 0 || size > maxItemBytes {
			return nil, errors.Join(err, errors.New("fakeplatform: no bulk string"))
		}
		item := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(in, item); err != nil {
			return nil, err
		}
		items[i] = string(item[:size])
	}
	return items, nil
}

// readLength reads a line of a prefix and a length.
func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < len("*0\r\n") || line[0] != prefix {
		return 0, errors.New("fakeplatform: not an array of bulk strings")
	}
	return strconv.Atoi(strings.TrimSuffix(line[1:], "\r\n"))
}

// parseRequest parses a message to a worker. What a worker can't use is an error.
func parseRequest(items []string) (Request, error) {
	request := Request{Command: items[0]}
	if len(items) != itemCounts[request.Command] {
		return request, fmt.Errorf("fakeplatform: %s with %d items", request.Command, len(items))
	}
	request.ID = items[1]
	fields := ""
	if len(items) > 2 {
		fields = items[2]
	}
	if len(items) > 3 {
		request.Body = items[3]
	}
	var err error
	if request.Fields, err = parseFields(fields); err != nil {
		return request, err
	}
	if request.Command == execCommand {
		return request, checkExec(request)
	}
	return request, nil
}

// parseFields parses "name=value,name=value".
func parseFields(text string) (map[string]string, error) {
	fields := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		if name, value, ok := strings.Cut(pair, "="); ok && value != "" {
			fields[name] = value
		} else if pair != "" {
			return nil, fmt.Errorf("fakeplatform: field %q", pair)
		}
	}
	return fields, nil
}

// checkExec returns an error for a request that can't be run.
func checkExec(request Request) error {
	deadline, err := strconv.Atoi(request.Fields[deadlineField])
	if err != nil || deadline <= 0 || len(request.ID) != idLength || len(request.Fields[functionField]) != idLength ||
		request.Fields[classField] == "" {
		return fmt.Errorf("fakeplatform: exec %s with unusable fields %v", request.ID, request.Fields)
	}
	return nil
}
