// Package oip is the Open Inference Protocol, version 2, over gRPC: the paths of its calls, its messages
// (package inference, generated), the load report of workers, and a scan that reads the fields that decide
// a call's way in place, without unpacking tensors.
package oip

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
)

// Service is the full name of the service.
const Service = "inference.GRPCInferenceService"

// The paths of the calls.
const (
	ServerLive     = "/" + Service + "/ServerLive"
	ServerReady    = "/" + Service + "/ServerReady"
	ModelReady     = "/" + Service + "/ModelReady"
	ServerMetadata = "/" + Service + "/ServerMetadata"
	ModelMetadata  = "/" + Service + "/ModelMetadata"
	Infer          = "/" + Service + "/ModelInfer"
	StreamInfer    = "/" + Service + "/ModelStreamInfer"
	Index          = "/" + Service + "/RepositoryIndex"
	Load           = "/" + Service + "/RepositoryModelLoad"
	Unload         = "/" + Service + "/RepositoryModelUnload"
)

// The request parameters that speak to the gateway, each over what the model's settings say.
const (
	ParamClass    = "class"     // string
	ParamTenant   = "tenant"    // string
	ParamMemoryMB = "memory_mb" // a number, as the next
	ParamLanes    = "lanes"
	ParamLoadMS   = "load_ms"
	ParamWorkMS   = "work_ms" // the cost hint: expected work on a standard core
	ParamKey      = "idempotency_key"
	ParamCopies   = "copies" // of a load order
)

// Routed is what a request says of its own way. Strings are copies and may be kept.
type Routed struct {
	Model, Version, ID string
	Class, Tenant, Key string
	// Numbers are NaN where they were not given.
	MemoryMB, Lanes, LoadMS, WorkMS float64
}

// ErrMalformed tells of a message that is no protobuf message of the right shape.
var ErrMalformed = errors.New("oip: malformed request message")

const maxParams = 64 // more are no request of this protocol's users

// Scan reads the routed fields of a ModelInferRequest. Other fields are stepped over, whatever their size.
func Scan(b []byte) (Routed, error) {
	r := Routed{MemoryMB: math.NaN(), Lanes: math.NaN(), LoadMS: math.NaN(), WorkMS: math.NaN()}
	params := 0
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return r, fmt.Errorf("%w: %w", ErrMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		if num > 4 || typ != protowire.BytesType {
			if n = protowire.ConsumeFieldValue(num, typ, b); n < 0 {
				return r, fmt.Errorf("%w: field %d: %w", ErrMalformed, num, protowire.ParseError(n))
			}
			b = b[n:]
			continue
		}
		v, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return r, fmt.Errorf("%w: field %d: %w", ErrMalformed, num, protowire.ParseError(n))
		}
		b = b[n:]
		switch num {
		case 1:
			r.Model = string(v)
		case 2:
			r.Version = string(v)
		case 3:
			r.ID = string(v)
		case 4:
			if params++; params > maxParams {
				return r, fmt.Errorf("%w: over %d parameters", ErrMalformed, maxParams)
			}
			if err := r.parameter(v); err != nil {
				return r, err
			}
		}
	}
	return r, nil
}

// parameter reads one entry of the map of parameters.
func (r *Routed) parameter(b []byte) error {
	var key, value []byte
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fmt.Errorf("%w: parameters: %w", ErrMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		if (num == 1 || num == 2) && typ == protowire.BytesType {
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return fmt.Errorf("%w: parameters: %w", ErrMalformed, protowire.ParseError(n))
			}
			if num == 1 {
				key = v
			} else {
				value = v
			}
			b = b[n:]
			continue
		}
		if n = protowire.ConsumeFieldValue(num, typ, b); n < 0 {
			return fmt.Errorf("%w: parameters: %w", ErrMalformed, protowire.ParseError(n))
		}
		b = b[n:]
	}
	var number *float64
	var text *string
	switch string(key) {
	case ParamClass:
		text = &r.Class
	case ParamTenant:
		text = &r.Tenant
	case ParamKey:
		text = &r.Key
	case ParamMemoryMB:
		number = &r.MemoryMB
	case ParamLanes:
		number = &r.Lanes
	case ParamLoadMS:
		number = &r.LoadMS
	case ParamWorkMS:
		number = &r.WorkMS
	default:
		return nil // the worker's own
	}
	s, f, isText, err := choice(value)
	switch {
	case err != nil:
		return fmt.Errorf("%w: parameter %s", err, key)
	case text != nil && isText:
		*text = s
	case number != nil && !isText && f >= 0 && f < 1e12: // false for NaN
		*number = f
	default:
		return fmt.Errorf("%w: parameter %s has a value of the wrong type or size", ErrMalformed, key)
	}
	return nil
}

// choice reads an InferParameter: a text or a number.
func choice(b []byte) (s string, f float64, isText bool, err error) {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return "", 0, false, ErrMalformed
		}
		b = b[n:]
		switch {
		case num == 3 && typ == protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return "", 0, false, ErrMalformed
			}
			s, isText = string(v), true
			b = b[n:]
		case (num == 2 || num == 5) && typ == protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return "", 0, false, ErrMalformed
			}
			if f = float64(v); num == 2 {
				f = float64(int64(v))
			}
			isText = false
			b = b[n:]
		case num == 4 && typ == protowire.Fixed64Type:
			v, n := protowire.ConsumeFixed64(b)
			if n < 0 {
				return "", 0, false, ErrMalformed
			}
			f, isText = math.Float64frombits(v), false
			b = b[n:]
		default:
			if n = protowire.ConsumeFieldValue(num, typ, b); n < 0 {
				return "", 0, false, ErrMalformed
			}
			b = b[n:]
		}
	}
	return s, f, isText, nil
}

// Function is the key by which a model's calls meet: its name, and its version where one is asked for.
func (r Routed) Function() string {
	if r.Version == "" {
		return r.Model
	}
	return r.Model + "@" + r.Version
}

// SplitFunction undoes Function.
func SplitFunction(key string) (model, version string) {
	if i := strings.LastIndexByte(key, '@'); i >= 0 {
		return key[:i], key[i+1:]
	}
	return key, ""
}
