package simwire

import (
	"strconv"
	"strings"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

var resultByName = map[string]dispatch.Result{
	"Ok":           dispatch.OK,
	"Failed":       dispatch.Errored,
	"QueueFull":    dispatch.Rejected,
	"TimedOut":     dispatch.TimedOut,
	"ConnectError": dispatch.ConnectFailed,
	"ResetByPeer":  dispatch.ConnectionReset,
	"Canceled":     dispatch.Cancelled,
	"Ignored":      dispatch.NotSent,
	"Miss":         dispatch.NotResident,
}

var endpointStateByName = map[string]dispatch.EndpointState{
	"on":     dispatch.EndpointActive,
	"fading": dispatch.EndpointDraining,
	"off":    dispatch.EndpointRemoved,
}

// The note field of an ended attempt holds the cache status in its lowest 3 bits and, above them, the number of the
// function's requests in flight.
const (
	cacheStatusMask = 7
	inFlightShift   = 3
)

// expectedWorkKnown is the bit of a request's attrs field that is set if the expected work is known.
const expectedWorkKnown = 1

// parseEvent parses an event line. known is false for an event that this version doesn't support.
func parseEvent(name string, f *fields) (event dispatch.Event, known bool) {
	switch name {
	case "ACCEPT":
		return parseRequest(f), true
	case "CLOSED_ATTEMPT":
		return parseAttemptEnded(f), true
	case "DROPPED":
		return dispatch.RequestCancelled{ID: f.requestID()}, true
	case "OPENED":
		return dispatch.ResponseStarted{ID: f.requestID(), Attempt: int(f.integer("shot", false)),
			Worker: f.text("server", false), Duration: f.duration("time_taken", false)}, true
	case "LOAD_RESULT":
		return dispatch.FunctionLoaded{Worker: f.text("server", true), Function: f.text("callee", true),
			Result: enum(f, "ending", resultByName), Duration: f.duration("time_taken", false),
			Copies: int(f.integer("count", false))}, true
	case "SAMPLED":
		return dispatch.HealthChecked{Worker: f.text("server", true), Result: enum(f, "ending", resultByName),
			Duration: f.duration("time_taken", false), LoadReport: parseLoadReport(f.text("usage", false))}, true
	case "ROSTER_CHANGE":
		scope := f.text("scope", true)
		return dispatch.EndpointUpdate{Snapshot: scope == "whole" || scope == "stale_copy",
			SubscriptionLost: scope == "broken"}, true
	case "DUE":
		return dispatch.TimerFired{}, true
	}
	return nil, false
}

func parseRequest(f *fields) dispatch.Request {
	r := dispatch.Request{
		ID:                     f.requestID(),
		Function:               f.text("callee", true),
		Class:                  f.text("category", true),
		Tenant:                 f.text("account", false),
		MemoryMB:               f.number("size_mb"),
		ConcurrencyPerInstance: int(f.number("at_once")),
		LoadTime:               time.Duration(f.number("bringup_ms") * float64(time.Millisecond)),
		RemainingDeadline:      f.duration("time_left", true),
	}
	if work := f.duration("expected", false); f.integer("attrs", false)&expectedWorkKnown != 0 {
		r.ExpectedWork = work
	}
	return r
}

func parseAttemptEnded(f *fields) dispatch.AttemptEnded {
	e := dispatch.AttemptEnded{
		ID:         f.requestID(),
		Attempt:    int(f.integer("shot", false)),
		Worker:     f.text("server", true),
		Result:     enum(f, "ending", resultByName),
		Duration:   f.duration("time_taken", false),
		Final:      f.integer("terminal", false) != 0,
		LoadReport: parseLoadReport(f.text("usage", false)),
	}
	note := f.integer("note", false)
	e.CacheStatus = dispatch.CacheStatus(note & cacheStatusMask)
	e.FunctionInFlight = int(note >> inFlightShift)
	return e
}

func parseEndpoint(f *fields) dispatch.Endpoint {
	e := dispatch.Endpoint{
		ID:        f.text("server", true),
		Zone:      f.text("az", false),
		Kind:      f.text("family_type", false),
		Cell:      int(f.integer("bay", false)),
		Weight:    f.number("share"),
		StartedAt: f.duration("born", false),
	}
	e.State = enum(f, "health", endpointStateByName)
	return e
}

// parseLoadReport parses name:value pairs separated by commas. It ignores unknown names and invalid values.
func parseLoadReport(s string) dispatch.LoadReport {
	report := dispatch.NoLoadReport
	for s != "" {
		var pair string
		pair, s, _ = strings.Cut(s, ",")
		name, text, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch name {
		case "active":
			report.InFlight = value
		case "waiting":
			report.Queued = value
		case "x1":
			report.Loading = value
		}
	}
	return report
}
