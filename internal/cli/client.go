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

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// operatorClient calls the operator address of a box.
type operatorClient struct {
	base string
	http *http.Client
}

func newOperatorClient(cmd *cli.Command) (*operatorClient, error) {
	address := cmd.Root().String("box")
	if address == "" {
		return nil, eris.New("name a box: --box ADDRESS or BELLGAP_BOX")
	}
	return &operatorClient{base: "http://" + address, http: &http.Client{Transport: httpx.NewTransport(1)}}, nil
}

// open sends a call and returns its body if it succeeded.
func (c *operatorClient) open(ctx context.Context, method, path string, body []byte) (io.ReadCloser, error) {
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
	const maxError = 64 << 10
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxError))
	if e, ok := result.Decode(b); ok {
		return nil, e
	}
	return nil, eris.Errorf("status %d from %s", resp.StatusCode, path)
}

// call sends a call and decodes its JSON answer.
func (c *operatorClient) call(ctx context.Context, method, path string, body []byte, into any) error {
	rc, err := c.open(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer httpx.Drain(rc)
	return json.NewDecoder(rc).Decode(into)
}
