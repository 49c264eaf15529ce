package respupstream

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
)

// Limits of the parts of a response.
const (
	maxIDLength     = 64  // bytes
	maxNumberLength = 32  // bytes
	maxNumber       = 1e9 // exclusive
)

// noFields replaces the list of fields in a response without fields.
const noFields = "-"

// errMalformedResponse is wrapped by all errors of parseResponse. The connection is closed after such an error.
var errMalformedResponse = errors.New("respupstream: malformed response")

// response is a parsed response of a worker.
type response struct {
	id     string
	status string // a key of statusResults
	report router.WorkerReport
	copies int    // loaded copies of the function, from the response to a load command
	body   []byte // a part of the items that were parsed, valid as long as they are
}

// parseResponse parses the items of a response: id, status, fields and body. The body is not copied.
// Errors wrap errMalformedResponse.
func parseResponse(items [][]byte) (received response, err error) {
	if len(items) != 4 || len(items[0]) == 0 || len(items[0]) > maxIDLength {
		return received, errMalformedResponse
	}
	received.id = string(items[0])
	received.status = string(items[1])
	received.body = items[3]
	if statusResults[received.status] == nil {
		return received, fmt.Errorf("%w: unknown status %.20q", errMalformedResponse, received.status)
	}
	received.report = router.NoWorkerReport
	if err := received.parseFields(items[2]); err != nil {
		return received, err
	}
	return received, nil
}

// parseFields parses the fields of a response: "name=value" pairs separated by commas.
func (r *response) parseFields(fields []byte) error {
	if string(fields) == noFields {
		return nil
	}
	for rest := fields; len(rest) > 0; {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{'='})
		if !ok || len(name) == 0 {
			return fmt.Errorf("%w: fields %.40q", errMalformedResponse, fields)
		}
		if !r.setField(string(name), value) {
			return fmt.Errorf("%w: %s %.40q", errMalformedResponse, name, value)
		}
	}
	return nil
}

// setField sets the field with this name on the wire and reports whether the value is valid. Unknown fields are
// ignored.
func (r *response) setField(name string, value []byte) (valid bool) {
	switch name {
	case "company":
		count, ok := parseNumber(value)
		if ok {
			r.report.FunctionInFlight = int(count)
		}
		return ok
	case "slots_up":
		count, ok := parseNumber(value)
		if ok {
			r.copies = int(count)
		}
		return ok
	case "meter":
		return parseLoadReport(&r.report.LoadReport, value)
	default:
		return true
	}
}

// parseLoadReport parses a load report, "name:number" pairs separated by semicolons. It sets the known metrics,
// ignores the others, and reports whether the list is well formed.
func parseLoadReport(report *dispatch.LoadReport, rest []byte) bool {
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{';'})
		name, value, ok := bytes.Cut(pair, []byte{':'})
		count, valid := parseNumber(value)
		if !ok || !valid {
			return false
		}
		switch string(name) {
		case "inflight":
			report.InFlight = count
		case "queue":
			report.Queued = count
		case "x1": // the settings define this metric as the loads in progress or queued
			report.Loading = count
		}
	}
	return true
}

// parseNumber parses a finite number of at least 0 and below maxNumber.
func parseNumber(p []byte) (float64, bool) {
	if len(p) == 0 || len(p) > maxNumberLength {
		return 0, false
	}
	v, err := strconv.ParseFloat(string(p), 64)
	return v, err == nil && !math.IsNaN(v) && v >= 0 && v < maxNumber
}
