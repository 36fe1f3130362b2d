package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/gateway"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func askCommand() *cli.Command {
	return &cli.Command{
		Name: "ask", Usage: "send one prompt to an adapter and print the streamed response", ArgsUsage: "ADAPTER@VERSION PROMPT",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "at", Required: true, Usage: "send the request to the caller address `ADDRESS` of any box"}},
		Action: runAsk,
	}
}

func runAsk(ctx context.Context, cmd *cli.Command) error {
	model, prompt := cmd.Args().First(), cmd.Args().Get(1)
	client := &operatorClient{base: "http://" + cmd.String("at"), http: httpx.NewClient(1)}
	var location gateway.LocateResponse
	if err := client.call(ctx, http.MethodGet, "/locate?model="+model, nil, &location); err != nil {
		return err
	}
	if len(location.Addresses) == 0 {
		return eris.New("locate returned no address")
	}
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+location.Addresses[0]+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	out := cmd.Root().Writer
	if _, err := io.Copy(out, resp.Body); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "box %s, engine %s, result %s\n",
		resp.Header.Get(result.HeaderBox), resp.Header.Get(result.HeaderEngine), resp.Header.Get(result.HeaderCode))
	return err
}
