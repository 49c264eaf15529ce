// Package oip implements the parts of the Open Inference Protocol, version 2, over gRPC that the gateway needs: the
// paths of the calls, the load report and the admission trailer of workers, and a parser for the fields that decide
// where a call is routed, which does not decode tensors. The messages of the protocol are in package inference, which
// is generated.
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

// The request parameters for the gateway. Where a model setting of the same meaning exists, the parameter overrides it.
const (
	ParamClass          = "class"           // string
	ParamTenant         = "tenant"          // string
	ParamMemoryMB       = "memory_mb"       // number: memory of one instance
	ParamConcurrency    = "lanes"           // number: requests that one instance serves at once
	ParamLoadMS         = "load_ms"         // number: expected time to load an instance
	ParamWorkMS         = "work_ms"         // number: expected work on a standard core, as a cost hint
	ParamIdempotencyKey = "idempotency_key" // string
	ParamCopies         = "copies"          // number, in load commands to workers: copies of the model to hold
)

// AdmissionField is the trailer with which a worker guarantees that it did not run a call. Its value is the reason.
const AdmissionField = "worker-admission"

// The values of AdmissionField.
const (
	AdmissionFull        = "full"     // no capacity, in the queue or in memory
	AdmissionDraining    = "draining" // the worker accepts no new calls
	AdmissionNotResident = "missing"  // the model is not loaded at the worker and no load is in progress
)

// Request is an inference call as a server received it. It is forwarded to a worker unchanged.
type Request struct {
	Message        []byte        // with its gRPC prefix, as received
	Encoding       string        // grpc-encoding of the message; may be empty
	AcceptEncoding string        // grpc-accept-encoding of the client; may be empty
	Metadata       []hpack.Field // the client's metadata, without the headers of gRPC itself
}

// Trailer holds the trailers of a response.
type Trailer struct {
	Status   grpc.Status   // the status that the client receives
	Metadata []hpack.Field // the worker's metadata, without the trailers of gRPC itself
}
