// Package oip implements what the gateway needs of the Open Inference Protocol, version 2, over gRPC: the paths of its calls,
// its messages (package inference, generated), the load report and the admission trailer of workers, and a parser that reads
// the fields that decide where a call is routed in place, without decoding tensors.
package oip

import (
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// Service is the full name of the gRPC service.
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

// The request parameters that are addressed to the gateway. Each overrides the settings of the model.
const (
	ParamClass          = "class"     // string
	ParamTenant         = "tenant"    // string
	ParamMemoryMB       = "memory_mb" // a number, like the next three
	ParamConcurrency    = "lanes"     // requests that one instance serves at once
	ParamLoadMS         = "load_ms"   // expected time to load an instance
	ParamWorkMS         = "work_ms"   // cost hint: expected work on a standard core
	ParamIdempotencyKey = "idempotency_key"
	ParamCopies         = "copies" // of a load command
)

// AdmissionField is the trailer by which a worker guarantees that a call never ran there.
const AdmissionField = "worker-admission"

// The values of AdmissionField.
const (
	AdmissionFull        = "full"     // no capacity, in the queue or in memory
	AdmissionDraining    = "draining" // the worker accepts no new calls
	AdmissionNotResident = "missing"  // the model is not loaded there and no load is in progress
)

// Request is an inference call as a server received it. It is forwarded to a worker unchanged.
type Request struct {
	Message        []byte        // with its gRPC prefix, as received
	Encoding       string        // grpc-encoding of the message; "": none
	AcceptEncoding string        // grpc-accept-encoding of the client; "": none
	Metadata       []hpack.Field // the client's own
}

// Trailer is the end of a response.
type Trailer struct {
	Status   grpc.Status   // that the client receives
	Metadata []hpack.Field // the worker's own
}
