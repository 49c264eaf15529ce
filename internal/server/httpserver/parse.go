package httpserver

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/http1"
)

// The header fields of a call, in lower case as http1.Reader returns them.
const (
	classField      = "x-class"
	idField         = "x-correlation-id"
	deadlineField   = "x-deadline-ms"
	keyField        = "x-operation-key"
	estimateField   = "x-estimate-ms"
	attributesField = "x-attrs"
)

// callFields are the fields that a request may have at most once.
var callFields = []string{classField, idField, deadlineField, keyField, estimateField, attributesField}

// Limits on the values in a request. A request beyond them is rejected before it reaches the dispatcher.
const (
	maxMilliseconds           = 10 * 60 * 1000 // of a deadline, a work estimate or a load time
	maxMemoryMB               = 1 << 24
	maxConcurrencyPerInstance = 1024
	maxAttributes             = 16
	maxNumberLength           = 20 // bytes
	hexIDLength               = 16 // digits of the ID of a function or a request
)

// requestError is the status and reason with which an invalid request is rejected. No part of the request was
// forwarded.
type requestError struct {
	status int
	reason string
}

func (e *requestError) Error() string { return e.reason }

// parseCall converts an HTTP request to a call of the router. The deadline counts from arrived, the time when the last
// byte of the request arrived. The error is a *requestError.
func (s *Server) parseCall(m *http1.Message, arrived time.Time) (*router.Call, *invocation.Request, error) {
	function, err := parseTarget(m)
	if err != nil {
		return nil, nil, err
	}
	if err := checkFieldsGivenOnce(m); err != nil {
		return nil, nil, err
	}
	class, _ := m.Get(classField)
	idempotency, ok := s.cfg.Classes[class]
	if !ok {
		return nil, nil, &requestError{http1.StatusBadRequest, "x-class: not a class of the settings"}
	}
	id, _ := m.Get(idField)
	if !invocation.IsLowerHex(id, hexIDLength) {
		return nil, nil, &requestError{http1.StatusBadRequest, "x-correlation-id: not 16 hex digits"}
	}
	deadline, err := parseDeadline(m)
	if err != nil {
		return nil, nil, err
	}
	key, err := parseKey(m, idempotency)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	call := &router.Call{
		ClientID:               id,
		Function:               function,
		Class:                  class,
		ConcurrencyPerInstance: 1,
		RemainingDeadline:      arrived.Add(deadline).Sub(now),
		MeasuredAt:             now,
	}
	if err := parseEstimates(call, m); err != nil {
		return nil, nil, err
	}
	request := &invocation.Request{ID: id, Class: class, Function: function, IdempotencyKey: key, Body: m.Body}
	call.Request = request
	return call, request, nil
}

// checkFieldsGivenOnce returns an error if the request has one of callFields more than once.
func checkFieldsGivenOnce(m *http1.Message) error {
	for _, name := range callFields {
		if _, once := m.Get(name); !once && m.Has(name) {
			return &requestError{http1.StatusBadRequest, name + ": given twice"}
		}
	}
	return nil
}

// parseDeadline returns the deadline as the time from the request's arrival until the client gives up.
func parseDeadline(m *http1.Message) (time.Duration, error) {
	text, _ := m.Get(deadlineField)
	deadline, ok := parseNumber(text, maxMilliseconds)
	if !ok || deadline <= 0 {
		return 0, &requestError{http1.StatusBadRequest, "x-deadline-ms: not a usable figure"}
	}
	return milliseconds(deadline), nil
}

// parseKey returns the idempotency key. Classes that are idempotent by key require one; for others it is optional.
func parseKey(m *http1.Message, idempotency dispatch.Idempotency) (string, error) {
	key, given := m.Get(keyField)
	missing := !given && idempotency == dispatch.IdempotentByKey
	invalid := given && !invocation.IsIdempotencyKey(key)
	if missing || invalid {
		return "", &requestError{http1.StatusBadRequest, "x-operation-key: missing or unusable"}
	}
	return key, nil
}

// parseTarget checks the method and the path of a call, /call/<function>/call, and returns the function's ID.
func parseTarget(m *http1.Message) (function string, err error) {
	parts := strings.Split(m.Target, "/")
	if len(parts) != 4 || parts[0] != "" || parts[1] != "call" || parts[3] != "call" {
		return "", &requestError{http1.StatusNotFound, "no such path"}
	}
	if m.Method != "POST" {
		return "", &requestError{http1.StatusMethodNotAllowed, "method is not POST"}
	}
	function = parts[2]
	if !invocation.IsLowerHex(function, hexIDLength) {
		return "", &requestError{http1.StatusNotFound, "path: the function is not 16 hex digits"}
	}
	return function, nil
}

// parseEstimates parses the optional fields with the expected work of the request and the resources of its function.
func parseEstimates(call *router.Call, m *http1.Message) error {
	if text, ok := m.Get(estimateField); ok {
		work, ok := parseNumber(text, maxMilliseconds)
		if !ok {
			return &requestError{http1.StatusBadRequest, "x-estimate-ms: not a usable figure"}
		}
		call.ExpectedWork = milliseconds(work)
	}
	if text, ok := m.Get(attributesField); ok {
		return parseAttributes(call, text)
	}
	return nil
}

// parseAttributes parses "name:value;name:value". Unknown attributes are ignored, but their values must be valid
// numbers.
func parseAttributes(call *router.Call, text string) error {
	count := 0
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, value, ok := strings.Cut(pair, ":")
		count++
		if !ok || count > maxAttributes {
			return &requestError{http1.StatusBadRequest, "x-attrs: not name:value;name:value"}
		}
		number, ok := parseNumber(value, maxAttributeValue(name))
		if !ok {
			return &requestError{http1.StatusBadRequest, "x-attrs: a figure that is not usable"}
		}
		switch name {
		case "memory_mb":
			call.MemoryMB = number
		case "lanes":
			call.ConcurrencyPerInstance = int(max(number, 1))
		case "load_ms":
			call.LoadTime = milliseconds(number)
		}
	}
	return nil
}

func maxAttributeValue(name string) float64 {
	switch name {
	case "memory_mb":
		return maxMemoryMB
	case "lanes":
		return maxConcurrencyPerInstance
	default:
		return maxMilliseconds
	}
}

// parseNumber parses a decimal number from 0 to limit, without a sign or an exponent.
func parseNumber(s string, limit float64) (number float64, ok bool) {
	if len(s) > maxNumberLength || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(s, 64)
	return number, err == nil && number >= 0 && number <= limit && !math.IsNaN(number)
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Millisecond))
}
