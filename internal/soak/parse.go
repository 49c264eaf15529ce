package soak

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ParseFaults parses faults separated by spaces, in the form in which schedules are printed:
// kind@start+duration#target, such as "worker-drained@2.5s+4s#7".
func ParseFaults(text string) (faults []Fault, err error) {
	for _, word := range strings.Fields(text) {
		fault, err := parseFault(word)
		if err != nil {
			return nil, fmt.Errorf("soak: fault %q: %w", word, err)
		}
		faults = append(faults, fault)
	}
	return faults, nil
}

// parseFault parses a single fault.
func parseFault(word string) (fault Fault, err error) {
	kind, rest, _ := strings.Cut(word, "@")
	at, rest, _ := strings.Cut(rest, "+")
	duration, target, _ := strings.Cut(rest, "#")
	fault.Kind = FaultKind(kind)
	if injectors[fault.Kind] == nil {
		return fault, fmt.Errorf("unknown kind %q", kind)
	}
	if fault.At, err = time.ParseDuration(at); err != nil {
		return fault, err
	}
	if fault.Duration, err = time.ParseDuration(duration); err != nil {
		return fault, err
	}
	fault.Target, err = strconv.Atoi(target)
	return fault, err
}
