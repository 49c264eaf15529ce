package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// timelineSpan is how long before and after a violation the timeline covers.
const timelineSpan = 1500 * time.Millisecond

// recordNames holds the names of the kinds of records in timelines.
var recordNames = map[invariants.RecordKind]string{
	invariants.CallSent:            "client sends call",
	invariants.FinalAnswer:         "client is answered:",
	invariants.CallAbandoned:       "client leaves",
	invariants.AttemptReceived:     "worker receives attempt",
	invariants.RunStarted:          "worker runs call",
	invariants.LoadCommandReceived: "worker receives load command",
	invariants.EndpointNotified:    "router counts as notified:",
	invariants.WorkerStarted:       "worker starts",
	invariants.RouterKilled:        "router is killed",
	invariants.RouterStarted:       "router starts",
}

// timeline returns the events around a violation: the faults of the run, all records of the call concerned, the records
// of the worker concerned near the violation, and the end of the router's log.
func (r *run) timeline(records []invariants.Record, violation invariants.Violation) (lines []string) {
	for _, fault := range r.intervals {
		lines = append(lines, fmt.Sprintf("%8.3f to %.3f fault %v", fault.from.Seconds(), fault.to.Seconds(), fault.Fault))
	}
	subject := violation.Record
	for _, record := range records {
		isNear := record.At > violation.At-timelineSpan && record.At < violation.At+timelineSpan
		sameCall := subject.Call != "" && record.Call == subject.Call
		sameWorker := subject.Worker != "" && record.Worker == subject.Worker && record.Router == subject.Router
		if sameCall || sameWorker && isNear || sameWorker && record.Kind == invariants.EndpointNotified {
			lines = append(lines, recordLine(record))
		}
	}
	index := slices.IndexFunc(r.nodes, func(n *node) bool { return routerName(n.router) == subject.Router })
	if index >= 0 {
		_, log := r.nodes[index].report()
		lines = append(lines, log...)
	}
	return lines
}

// isCallRecord reports whether records of a kind belong to a call.
func isCallRecord(kind invariants.RecordKind) bool {
	switch kind {
	case invariants.CallSent, invariants.FinalAnswer, invariants.CallAbandoned, invariants.AttemptReceived, invariants.RunStarted:
		return true
	case invariants.LoadCommandReceived, invariants.EndpointNotified, invariants.WorkerDraining, invariants.WorkerReady,
		invariants.WorkerStarted, invariants.WorkerOverloaded, invariants.RouterKilled, invariants.RouterStarted:
		return false
	}
	return false
}

// recordLine returns the line of a record in a timeline.
func recordLine(record invariants.Record) string {
	words := []string{fmt.Sprintf("%8.3f", record.At.Seconds()), record.Router, recordNames[record.Kind]}
	if isCallRecord(record.Kind) {
		words = append(words, record.Call, record.Class)
	}
	if record.Worker != "" {
		words = append(words, "at", record.Worker)
	}
	if detail := recordDetail(record); detail != "" {
		words = append(words, detail)
	}
	return strings.Join(words, " ")
}

// recordDetail returns the part of a record's line that is specific to its kind.
func recordDetail(record invariants.Record) string {
	switch {
	case record.Kind == invariants.FinalAnswer:
		return record.Answer.String()
	case record.Kind == invariants.CallSent:
		return fmt.Sprintf("to be answered by %.3f", record.Deadline.Seconds())
	case record.Kind == invariants.AttemptReceived:
		return fmt.Sprintf("with %v left", record.Remaining)
	case record.Kind == invariants.EndpointNotified && record.Unavailable:
		return "unavailable"
	case record.Kind == invariants.EndpointNotified:
		return "active"
	default:
		return ""
	}
}
