package grpcserver

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
)

// Values in the responses to ServerMetadata and ModelMetadata.
const (
	gatewayName              = "topazfront" // name of the server, and platform of its models
	modelRepositoryExtension = "model_repository"
)

// serveGatewayCall answers a call about the gateway itself, which is not sent to a worker.
func (s *stream) serveGatewayCall(body []byte) {
	response, rejection := s.gatewayResponse(body)
	if rejection != nil {
		s.completeRequest(*rejection, nil)
		return
	}
	raw, err := proto.Marshal(response)
	if err != nil {
		s.completeRequest(grpc.Status{Code: grpc.Internal, Message: err.Error()}, nil)
		return
	}
	s.Start(nil)
	s.WriteBody(append(grpc.AppendPrefix(nil, len(raw), false), raw...), nil)
	s.completeRequest(grpc.Status{}, nil)
}

// gatewayResponse returns the response to a call about the gateway itself, or the status with which it is rejected.
func (s *stream) gatewayResponse(body []byte) (proto.Message, *grpc.Status) {
	switch s.path {
	case oip.ServerLive:
		return &inference.ServerLiveResponse{Live: true}, nil
	case oip.ServerReady:
		return &inference.ServerReadyResponse{Ready: !s.server.isDraining()}, nil
	case oip.ServerMetadata:
		return &inference.ServerMetadataResponse{Name: gatewayName, Version: s.server.cfg.Version,
			Extensions: []string{modelRepositoryExtension}}, nil
	default:
		return s.modelResponse(body)
	}
}

// modelResponse returns the response to ModelReady or ModelMetadata.
func (s *stream) modelResponse(body []byte) (proto.Message, *grpc.Status) {
	var request inference.ModelReadyRequest // ModelMetadataRequest has the same two fields
	if err := proto.Unmarshal(body, &request); err != nil {
		return nil, &grpc.Status{Code: grpc.InvalidArgument, Message: err.Error()}
	}
	model, ok := s.server.cfg.CallBuilder.ModelSettings(request.Name)
	if s.path == oip.ModelReady {
		return &inference.ModelReadyResponse{Ready: ok}, nil
	}
	if !ok {
		return nil, &grpc.Status{Code: grpc.NotFound, Message: "model " + strconv.Quote(request.Name) + " is not served here"}
	}
	return &inference.ModelMetadataResponse{Name: request.Name, Versions: model.Versions, Platform: gatewayName}, nil
}
