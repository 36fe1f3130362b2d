package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// Values of the flag --output.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// operatorClient is an HTTP client for the operator API of a box.
type operatorClient struct {
	base string
	http *http.Client
}

func newOperatorClient(cmd *cli.Command) (*operatorClient, error) {
	address := cmd.Root().String("box")
	if address == "" {
		return nil, eris.New("no box address given; use --box ADDRESS or set BELLGAP_BOX")
	}
	return &operatorClient{base: "http://" + address, http: httpx.NewClient(1)}, nil
}

// send sends a request and returns the response body if the status is 200. The caller closes the body.
func (c *operatorClient) send(ctx context.Context, method, path string, body []byte) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer httpx.Drain(resp.Body)
	const maxErrorBody = 64 << 10
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if e, ok := result.Decode(b); ok {
		return nil, e
	}
	return nil, eris.Errorf("unexpected status %d from %s", resp.StatusCode, path)
}

// call sends a request and decodes the JSON response into answer.
func (c *operatorClient) call(ctx context.Context, method, path string, body []byte, answer any) error {
	rc, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer httpx.Drain(rc)
	return json.NewDecoder(rc).Decode(answer)
}
