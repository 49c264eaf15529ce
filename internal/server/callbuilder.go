// Package server converts requests of the Open Inference Protocol to calls of the router, independently of the
// transport.
package server

import (
	"fmt"
	"math"
	"time"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/router"
)

// Limits on the concurrency that a request may state for an instance of its model.
const (
	minConcurrencyPerInstance = 1
	maxConcurrencyPerInstance = 1024
)

// responseMarginDivisor limits CallBuilder.ResponseMargin to timeout/responseMarginDivisor of a request's timeout.
const responseMarginDivisor = 10

// ModelSettings are the settings of the calls of one model.
type ModelSettings struct {
	Class                  string
	MemoryMB               float64
	ConcurrencyPerInstance int
	LoadTime               time.Duration // 0: unknown
	ExpectedWork           time.Duration // 0: unknown
	Versions               []string
}

// CallBuilder converts requests to calls. Its fields are set before its first use and not changed afterwards, so it is
// safe for concurrent use.
type CallBuilder struct {
	Models          map[string]ModelSettings
	DefaultModel    ModelSettings            // for all other models; without a Class, their calls are rejected
	Deadlines       map[string]time.Duration // by class
	ResponseMargin  time.Duration            // part of the timeout reserved for the response's way to the client
	MaxMessageBytes int                      // of a request message
}

// RequestError is the reason why a request can't be converted to a call. No part of the request was forwarded.
type RequestError struct {
	Field, Reason string
	ModelNotFound bool // the router does not serve the model
}

func (e *RequestError) Error() string { return e.Field + ": " + e.Reason }

// ModelSettings returns the settings of a model, or those of the default model if the model has none. ok is false if
// there are neither.
func (b *CallBuilder) ModelSettings(name string) (settings ModelSettings, ok bool) {
	settings, ok = b.Models[name]
	if !ok && b.DefaultModel.Class != "" {
		return b.DefaultModel, true
	}
	return settings, ok
}

// NewCall returns the call for a request. Values that the request states override the model's settings. timeout is the
// time until the client gives up; if it is 0, the deadline of the class applies. The error is a *RequestError.
func (b *CallBuilder) NewCall(request oip.RoutingFields, timeout time.Duration) (*router.Call, error) {
	if request.Model == "" {
		return nil, &RequestError{Field: "model_name", Reason: "is empty"}
	}
	model, ok := b.ModelSettings(request.Model)
	if !ok {
		return nil, &RequestError{Field: "model_name", Reason: fmt.Sprintf("%q is not served here", request.Model), ModelNotFound: true}
	}
	call := &router.Call{Function: request.Function(), Class: model.Class, Tenant: request.Tenant, MemoryMB: model.MemoryMB,
		ConcurrencyPerInstance: model.ConcurrencyPerInstance, LoadTime: model.LoadTime, ExpectedWork: model.ExpectedWork}
	if request.Class != "" {
		if _, ok := b.Deadlines[request.Class]; !ok {
			return nil, &RequestError{Field: "parameters." + oip.ParamClass, Reason: fmt.Sprintf("%q is no class of the settings", request.Class)}
		}
		call.Class = request.Class
	}
	applyEstimates(call, request)
	if timeout <= 0 {
		timeout = b.Deadlines[call.Class]
	}
	call.RemainingDeadline = timeout - min(b.ResponseMargin, timeout/responseMarginDivisor)
	return call, nil
}

// applyEstimates replaces the model's settings in call by the values that the request states. A value that the request
// doesn't state is NaN.
func applyEstimates(call *router.Call, request oip.RoutingFields) {
	if !math.IsNaN(request.MemoryMB) {
		call.MemoryMB = request.MemoryMB
	}
	if !math.IsNaN(request.ConcurrencyPerInstance) {
		call.ConcurrencyPerInstance = int(min(max(request.ConcurrencyPerInstance, minConcurrencyPerInstance), maxConcurrencyPerInstance))
	}
	if !math.IsNaN(request.LoadMS) {
		call.LoadTime = time.Duration(request.LoadMS * float64(time.Millisecond))
	}
	if !math.IsNaN(request.WorkMS) {
		call.ExpectedWork = time.Duration(request.WorkMS * float64(time.Millisecond))
	}
}
