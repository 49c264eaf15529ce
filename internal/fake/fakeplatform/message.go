package fakeplatform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Commands of messages to workers.
const (
	execCommand       = "exec"    // run a request
	dropCommand       = "drop"    // cancel a request
	ensureCommand     = "ensure"  // load a function until it has a number of copies
	releaseCommand    = "release" // has no reply and no effect on a fake worker
	loadReportCommand = "load"    // report the worker's load
	healthCommand     = "health"  // report whether the worker accepts requests
)

// Fields of messages that the fake worker reads.
const (
	functionField       = "item"
	classField          = "cls"
	idempotencyKeyField = "nonce"
	deadlineField       = "limit"
	copiesField         = "slots_up"
)

// itemCounts is the number of items of a message, by its command.
var itemCounts = map[string]int{execCommand: 4, dropCommand: 2, ensureCommand: 3, releaseCommand: 2, loadReportCommand: 2, healthCommand: 2}

// Limits on received messages.
const (
	maxItems     = 16
	maxItemBytes = 64 << 20
)

// idLength is the length of the IDs of requests and functions, in hex digits.
const idLength = 16

// Request is a message that a worker received.
type Request struct {
	Command string
	ID      string            // repeated in the reply
	Fields  map[string]string // by name
	Body    string            // of the request to run
	Conn    *Conn             // the connection it was received on
}

// EncodeMessage encodes a RESP array of bulk strings.
func EncodeMessage(items ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(items))
	for _, item := range items {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(item), item)
	}
	return b.String()
}

// ReadMessage reads a RESP array of bulk strings.
func ReadMessage(in *bufio.Reader) ([]string, error) {
	n, err := readLength(in, '*')
	if err != nil || n < 1 || n > maxItems {
		return nil, errors.Join(err, errors.New("fakeplatform: invalid header of an array"))
	}
	items := make([]string, n)
	for i := range items {
		size, err := readLength(in, '$')
		if err != nil || size < 0 || size > maxItemBytes {
			return nil, errors.Join(err, errors.New("fakeplatform: invalid header of a bulk string"))
		}
		item := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(in, item); err != nil {
			return nil, err
		}
		items[i] = string(item[:size])
	}
	return items, nil
}

// readLength reads a header line, which consists of a prefix and a length.
func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < len("*0\r\n") || line[0] != prefix {
		return 0, errors.New("fakeplatform: invalid prefix of a header line")
	}
	return strconv.Atoi(strings.TrimSuffix(line[1:], "\r\n"))
}

// parseRequest parses a message to a worker. It returns an error if a worker of the platform would not accept it.
func parseRequest(items []string) (Request, error) {
	request := Request{Command: items[0]}
	if len(items) != itemCounts[request.Command] {
		return request, fmt.Errorf("fakeplatform: command %s with %d items", request.Command, len(items))
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
			return nil, fmt.Errorf("fakeplatform: malformed field %q", pair)
		}
	}
	return fields, nil
}

// checkExec returns an error if an ID or a field of a request to run is missing or invalid.
func checkExec(request Request) error {
	deadline, err := strconv.Atoi(request.Fields[deadlineField])
	if err != nil || deadline <= 0 || len(request.ID) != idLength || len(request.Fields[functionField]) != idLength ||
		request.Fields[classField] == "" {
		return fmt.Errorf("fakeplatform: exec %s with an invalid ID or invalid fields %v", request.ID, request.Fields)
	}
	return nil
}
