package adminapi

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/topazfront/topazfront/internal/transport/socket"
)

// Call sends one request to the socket at path and unmarshals the result into out. timeout applies to connecting and to
// waiting for the response, separately. An error of the method is returned as a wrapped *Error.
func Call(path, method string, params, out any, timeout time.Duration) error {
	conn, err := socket.Dial("unix", path, timeout)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := encodeRequest(method, params)
	if err != nil {
		return err
	}
	if err := writeLine(conn, raw); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	line, err := newLineReader(conn, timeout).readLine()
	if err != nil {
		return fmt.Errorf("%s: no response: %w", path, err)
	}
	var resp struct {
		Result json.RawMessage `json:"result"`
		Error  *Error          `json:"error"`
	}
	if err := json.Unmarshal(line, &resp); err != nil {
		return fmt.Errorf("%s: the response is not valid JSON-RPC: %w", path, err)
	}
	if resp.Error != nil {
		return fmt.Errorf("%s: %w", path, resp.Error)
	}
	return json.Unmarshal(resp.Result, out)
}

// encodeRequest encodes the only request of a connection. nil params are omitted.
func encodeRequest(method string, params any) ([]byte, error) {
	req := request{Version: protocolVersion, ID: json.RawMessage("1"), Method: method}
	if params != nil {
		var err error
		if req.Params, err = json.Marshal(params); err != nil {
			return nil, err
		}
	}
	return json.Marshal(req)
}
