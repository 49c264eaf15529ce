// Package server holds what the servers of all client protocols share: how a request becomes a call of the router.
package server

import (
	"fmt"
	"math"
	"time"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/router"
)

// The bounds of the concurrency that a request may state for an instance of its model.
const (
	minConcurrencyPerInstance = 1
	maxConcurrencyPerInstance = 1024
)

// The share of a client's time that may be reserved for the response's way back to it, as a divisor.
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

// CallBuilder turns requests into calls. It is set up once and only read afterwards, so it needs no lock.
type CallBuilder struct {
	Models          map[string]ModelSettings
	DefaultModel    ModelSettings // for a model that the settings don't name; without a class such calls are rejected
	Deadlines       map[string]time.Duration
	ResponseMargin  time.Duration // reserved of a client's time for the response's way back to it
	MaxMessageBytes int           // of a request message
}

// RequestError is why a request can't become a call: no part of it was forwarded.
type RequestError struct {
	Field, Reason string
	ModelNotFound bool // the model is not served here
}

func (e *RequestError) Error() string { return e.Field + ": " + e.Reason }

// ModelSettings returns the settings of a model, or those of the default model. ok is false where there are neither.
func (b *CallBuilder) ModelSettings(name string) (settings ModelSettings, ok bool) {
	settings, ok = b.Models[name]
	if !ok && b.DefaultModel.Class != "" {
		return b.DefaultModel, true
	}
	return settings, ok
}

// NewCall returns the call of a request: with the model's settings, where the request does not state other values.
// timeout is the time until the client gives up, or 0 where it set none; then the class's deadline holds. The error
// is a *RequestError.
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

// applyEstimates puts the figures that a request states over those of its model's settings. NaN stands for a figure
// that the request does not state.
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
