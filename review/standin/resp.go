package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// readMessage reads one RESP array of bulk strings.
func readMessage(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	if count < 1 || count > 16 {
		return nil, errors.New("array of unusable length")
	}
	items := make([]string, count)
	for i := range items {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		if size < 0 || size > 1<<20 {
			return nil, errors.New("bulk string of unusable length")
		}
		raw := make([]byte, size+2)
		if _, err := io.ReadFull(in, raw); err != nil {
			return nil, err
		}
		items[i] = string(raw[:size])
	}
	return items, nil
}

func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, fmt.Errorf("line %q", line)
	}
	return strconv.Atoi(strings.TrimRight(line[1:], "\r\n"))
}

// encodeMessage encodes one RESP array of bulk strings.
func encodeMessage(items ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(items))
	for _, item := range items {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(item), item)
	}
	return b.String()
}

// parseFields parses "name=value,name=value", or "-" for none.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	if text == "-" {
		return fields
	}
	for _, pair := range strings.Split(text, ",") {
		if name, value, ok := strings.Cut(pair, "="); ok {
			fields[name] = value
		}
	}
	return fields
}
