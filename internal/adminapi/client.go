package adminapi

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"
)

// Call sends one request to the socket at path and unmarshals the result into out. timeout bounds the connecting and the
// wait for the response, each. An error of the method is an *Error, wrapped.
func Call(path, method string, params, out any, timeout time.Duration) error {
	conn, err := netpoll.DialConnection("unix", path, timeout)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadTimeout(timeout)
	raw, err := encodeRequest(method, params)
	if err != nil {
		return err
	}
	if err := writeLine(conn, raw); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	line, err := readLine(conn.Reader())
	if err != nil {
		return fmt.Errorf("%s: no response: %w", path, err)
	}
	var in struct {
		Result json.RawMessage `json:"result"`
		Error  *Error          `json:"error"`
	}
	if err := json.Unmarshal(line, &in); err != nil {
		return fmt.Errorf("%s: the response is no JSON-RPC: %w", path, err)
	}
	if in.Error != nil {
		return fmt.Errorf("%s: %w", path, in.Error)
	}
	return json.Unmarshal(in.Result, out)
}

// encodeRequest encodes the only request of a connection; nil params are left out.
func encodeRequest(method string, params any) ([]byte, error) {
	out := request{Version: protocolVersion, ID: json.RawMessage("1"), Method: method}
	if params != nil {
		var err error
		if out.Params, err = json.Marshal(params); err != nil {
			return nil, err
		}
	}
	return json.Marshal(out)
}
