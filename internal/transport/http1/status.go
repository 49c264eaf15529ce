package http1

// The status codes of the responses that this project's servers send.
const (
	StatusOK                      = 200
	StatusBadRequest              = 400
	StatusNotFound                = 404
	StatusMethodNotAllowed        = 405
	StatusRequestTimeout          = 408
	StatusConflict                = 409
	StatusLengthRequired          = 411
	StatusContentTooLarge         = 413
	StatusHeaderFieldsTooLarge    = 431
	StatusInternalServerError     = 500
	StatusNotImplemented          = 501
	StatusBadGateway              = 502
	StatusServiceUnavailable      = 503
	StatusGatewayTimeout          = 504
	StatusHTTPVersionNotSupported = 505
)

// Status codes of responses without a body (RFC 9112, section 6.3).
const (
	statusNoContent   = 204
	statusNotModified = 304
)

var reasonPhrases = map[int]string{
	StatusOK:                      "OK",
	StatusBadRequest:              "Bad Request",
	StatusNotFound:                "Not Found",
	StatusMethodNotAllowed:        "Method Not Allowed",
	StatusRequestTimeout:          "Request Timeout",
	StatusConflict:                "Conflict",
	StatusLengthRequired:          "Length Required",
	StatusContentTooLarge:         "Content Too Large",
	StatusHeaderFieldsTooLarge:    "Request Header Fields Too Large",
	StatusInternalServerError:     "Internal Server Error",
	StatusNotImplemented:          "Not Implemented",
	StatusBadGateway:              "Bad Gateway",
	StatusServiceUnavailable:      "Service Unavailable",
	StatusGatewayTimeout:          "Gateway Timeout",
	StatusHTTPVersionNotSupported: "HTTP Version Not Supported",
}
