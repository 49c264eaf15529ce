package oip

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
)

// RoutingFields are the fields of a request that decide where it is routed. Strings are copies, so they remain valid
// when the request's buffer is reused.
type RoutingFields struct {
	Model, Version, ID string
	Class, Tenant      string
	IdempotencyKey     string

	// The numbers are NaN if the request does not contain them.
	MemoryMB               float64
	ConcurrencyPerInstance float64
	LoadMS                 float64
	WorkMS                 float64
}

// ErrMalformed is wrapped by the errors of Scan: the message is not a ModelInferRequest or violates a limit.
var ErrMalformed = errors.New("oip: malformed request message")

// Limits on the parameters of a request.
const (
	maxParameters      = 64
	maxParameterNumber = 1e12 // exclusive
)

// Field numbers of ModelInferRequest.
const (
	modelNameField    = 1
	modelVersionField = 2
	idField           = 3
	parametersField   = 4
)

// Field numbers of an entry of a protobuf map field.
const (
	mapKeyField   = 1
	mapValueField = 2
)

// Field numbers of InferParameter.
const (
	int64ParamField  = 2
	stringParamField = 3
	doubleParamField = 4
	uint64ParamField = 5
)

// Scan reads the routing fields of a serialized ModelInferRequest and skips the other fields, such as tensors, without
// decoding them. Errors wrap ErrMalformed.
func Scan(b []byte) (RoutingFields, error) {
	fields := RoutingFields{MemoryMB: math.NaN(), ConcurrencyPerInstance: math.NaN(), LoadMS: math.NaN(), WorkMS: math.NaN()}
	parameters := 0
	for len(b) > 0 {
		number, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fields, fmt.Errorf("%w: %w", ErrMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		if number > parametersField || wireType != protowire.BytesType {
			if n = protowire.ConsumeFieldValue(number, wireType, b); n < 0 {
				return fields, fmt.Errorf("%w: field %d: %w", ErrMalformed, number, protowire.ParseError(n))
			}
			b = b[n:]
			continue
		}
		value, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return fields, fmt.Errorf("%w: field %d: %w", ErrMalformed, number, protowire.ParseError(n))
		}
		b = b[n:]
		switch number {
		case modelNameField:
			fields.Model = string(value)
		case modelVersionField:
			fields.Version = string(value)
		case idField:
			fields.ID = string(value)
		case parametersField:
			if parameters++; parameters > maxParameters {
				return fields, fmt.Errorf("%w: over %d parameters", ErrMalformed, maxParameters)
			}
			if err := fields.readParameter(value); err != nil {
				return fields, err
			}
		}
	}
	return fields, nil
}

// readParameter reads one entry of the parameters map and sets the field for it, if there is one.
func (r *RoutingFields) readParameter(b []byte) error {
	name, encoded, err := readMapEntry(b)
	if err != nil {
		return err
	}
	var number *float64
	var str *string
	switch string(name) {
	case ParamClass:
		str = &r.Class
	case ParamTenant:
		str = &r.Tenant
	case ParamIdempotencyKey:
		str = &r.IdempotencyKey
	case ParamMemoryMB:
		number = &r.MemoryMB
	case ParamConcurrency:
		number = &r.ConcurrencyPerInstance
	case ParamLoadMS:
		number = &r.LoadMS
	case ParamWorkMS:
		number = &r.WorkMS
	default:
		return nil // a parameter for the worker
	}
	value, err := readParameterValue(encoded)
	switch {
	case err != nil:
		return fmt.Errorf("%w: parameter %s", err, name)
	case str != nil && value.isString:
		*str = value.str
	case number != nil && !value.isString && value.number >= 0 && value.number < maxParameterNumber: // false for NaN
		*number = value.number
	default:
		return fmt.Errorf("%w: parameter %s has a value of the wrong type or size", ErrMalformed, name)
	}
	return nil
}

// readMapEntry returns the encoded key and value of an entry of a protobuf map field.
func readMapEntry(b []byte) (key, value []byte, err error) {
	for len(b) > 0 {
		number, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, nil, fmt.Errorf("%w: parameters: %w", ErrMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		if (number == mapKeyField || number == mapValueField) && wireType == protowire.BytesType {
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return nil, nil, fmt.Errorf("%w: parameters: %w", ErrMalformed, protowire.ParseError(n))
			}
			if number == mapKeyField {
				key = v
			} else {
				value = v
			}
			b = b[n:]
			continue
		}
		if n = protowire.ConsumeFieldValue(number, wireType, b); n < 0 {
			return nil, nil, fmt.Errorf("%w: parameters: %w", ErrMalformed, protowire.ParseError(n))
		}
		b = b[n:]
	}
	return key, value, nil
}

// parameterValue is the value of an InferParameter: a string or a number.
type parameterValue struct {
	str      string
	number   float64
	isString bool
}

// readParameterValue decodes an InferParameter. As in protobuf, the last of several values is used.
func readParameterValue(b []byte) (value parameterValue, err error) {
	for len(b) > 0 {
		field, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return parameterValue{}, ErrMalformed
		}
		b = b[n:]
		switch {
		case field == stringParamField && wireType == protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return parameterValue{}, ErrMalformed
			}
			value.str, value.isString = string(v), true
			b = b[n:]
		case (field == int64ParamField || field == uint64ParamField) && wireType == protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return parameterValue{}, ErrMalformed
			}
			if value.number = float64(v); field == int64ParamField {
				value.number = float64(int64(v))
			}
			value.isString = false
			b = b[n:]
		case field == doubleParamField && wireType == protowire.Fixed64Type:
			v, n := protowire.ConsumeFixed64(b)
			if n < 0 {
				return parameterValue{}, ErrMalformed
			}
			value.number, value.isString = math.Float64frombits(v), false
			b = b[n:]
		default:
			if n = protowire.ConsumeFieldValue(field, wireType, b); n < 0 {
				return parameterValue{}, ErrMalformed
			}
			b = b[n:]
		}
	}
	return value, nil
}

// Function returns the key under which calls of the same model are routed: its name, and its version if one is
// requested.
func (r RoutingFields) Function() string {
	if r.Version == "" {
		return r.Model
	}
	return r.Model + "@" + r.Version
}

// SplitFunction returns the model and the version of a key from Function. It splits the key at the last '@', so it is
// the inverse of Function unless a model name contains '@' and no version is requested.
func SplitFunction(key string) (model, version string) {
	if i := strings.LastIndexByte(key, '@'); i >= 0 {
		return key[:i], key[i+1:]
	}
	return key, ""
}
