package grpc

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport"
)

func TestCompression(t *testing.T) {
	body := []byte(strings.Repeat("steam and beans ", 1000))
	message := testsupport.CompressGRPCMessage(t, body)
	if len(message) > 500 {
		t.Fatalf("compressed message has %d bytes, want at most 500", len(message))
	}
	if got, err := MessageBody(message, "gzip", 1<<20); err != nil || !bytes.Equal(got, body) {
		t.Fatalf("body of %d bytes that differs, or error %v", len(got), err)
	}
	for name, test := range map[string]struct {
		message  []byte
		encoding string
		maxSize  int
		want     error // nil means any error
	}{
		"small message expands beyond the limit": {message, "gzip", 1000, ErrMessageTooLarge},
		"compressed without an encoding":         {message, "identity", 1 << 20, nil},
		"truncated gzip":                         {message[:30], "gzip", 1 << 20, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := MessageBody(test.message, test.encoding, test.maxSize); err == nil || test.want != nil && !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}
