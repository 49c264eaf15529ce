package adminapi

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestCall(t *testing.T) {
	path := startServer(t)
	var result []int
	if err := Call(path, "echo", []int{1, 2}, &result, 5*time.Second); err != nil || len(result) != 2 {
		t.Errorf("%v, %v", result, err)
	}
	for name, c := range map[string]struct {
		method, message string
		code            int
	}{
		"error of the method": {"fail", "no such thing", codeInternalError},
		"panic":               {"panic", "internal error", codeInternalError},
		"unknown method":      {"none", `no method "none"`, codeMethodNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			err := Call(path, c.method, nil, &result, 5*time.Second)
			var failure *Error
			if !errors.As(err, &failure) || failure.Code != c.code || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%v, want code %d and %q", err, c.code, c.message)
			}
		})
	}
	if err := Call(path+"x", "echo", nil, &result, time.Second); err == nil {
		t.Error("a call to a socket that does not exist succeeded")
	}
}
