package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/operator"
	"github.com/bellgap/bellgap/internal/resource"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "create or update the resources declared in files",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "read resources from `FILE` (TOML or JSON; - for standard input)"},
			&cli.BoolFlag{Name: "dry-run", Usage: "print the changes without writing them"},
		},
		Action: runApply,
	}
}

func runApply(ctx context.Context, cmd *cli.Command) error {
	c, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	for _, path := range cmd.StringSlice("file") {
		list, err := readResources(path)
		if err != nil {
			return err
		}
		for _, r := range list {
			if err := apply(ctx, c, cmd.Root().Writer, r, cmd.Bool("dry-run")); err != nil {
				return err
			}
		}
	}
	return nil
}

func apply(ctx context.Context, c *operatorClient, out io.Writer, r resource.Resource, dryRun bool) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	path := resourcePath(r.Kind, r.Name) + "?dry_run=" + strconv.FormatBool(dryRun)
	var written operator.WriteResult
	if err := c.call(ctx, http.MethodPut, path, body, &written); err != nil {
		return fmt.Errorf("%s/%s: %w", r.Kind, r.Name, err)
	}
	suffix := ""
	if dryRun {
		suffix = " (dry run)"
	}
	_, err = fmt.Fprintf(out, "%s/%s %s at version %s%s\n", strings.ToLower(string(r.Kind)), r.Name, written.Outcome, written.Version, suffix)
	return err
}

func resourcePath(kind resource.Kind, name string) string {
	return "/resources/" + string(kind) + "/" + url.PathEscape(name)
}

// resourceFile is the structure of a TOML file that declares resources in [[resource]] tables.
type resourceFile struct {
	Resource []map[string]any `toml:"resource"`
}

// readResources reads a file and validates all of its resources, so that none is sent if one is invalid.
func readResources(path string) ([]resource.Resource, error) {
	b, err := readFile(path)
	if err != nil {
		return nil, err
	}
	if !strings.HasSuffix(path, ".json") && !strings.HasPrefix(strings.TrimSpace(string(b)), "[{") {
		if b, err = tomlToJSON(b); err != nil {
			return nil, eris.Errorf("%s: %v", path, err)
		}
	}
	var list []resource.Resource
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, eris.Errorf("%s: %v", path, err)
	}
	for _, r := range list {
		if err := r.Check(); err != nil {
			return nil, eris.Errorf("%s: %v", path, err)
		}
	}
	return list, nil
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func tomlToJSON(b []byte) ([]byte, error) {
	var f resourceFile
	meta, err := toml.Decode(string(b), &f)
	if err != nil {
		return nil, err
	}
	for _, k := range meta.Undecoded() {
		if k[0] != "resource" {
			return nil, eris.Errorf("%s: unknown key; declare resources in [[resource]] tables", k)
		}
	}
	return json.Marshal(f.Resource)
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print all resources of a KIND, or only the resource NAME", ArgsUsage: "KIND [NAME]", Action: runGet,
	}
}

func runGet(ctx context.Context, cmd *cli.Command) error {
	c, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	kind, err := resource.ParseKind(cmd.Args().First())
	if err != nil {
		return err
	}
	items := make([]catalog.Item, 1)
	if name := cmd.Args().Get(1); name != "" {
		err = c.call(ctx, http.MethodGet, resourcePath(kind, name), nil, &items[0])
	} else {
		err = c.call(ctx, http.MethodGet, "/resources/"+string(kind), nil, &items)
	}
	if err != nil {
		return err
	}
	return printItems(cmd, items)
}

func printItems(cmd *cli.Command, items []catalog.Item) error {
	if cmd.Root().String("output") == formatJSON {
		return printJSON(cmd, items)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	// The tabwriter buffers its output; Flush returns write errors.
	_, _ = fmt.Fprintln(w, "NAME\tVERSION\tSPEC")
	for _, it := range items {
		spec, err := json.Marshal(it.Resource.Spec)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", it.Resource.Name, it.Version, spec)
	}
	return w.Flush()
}

func printJSON(cmd *cli.Command, v any) error {
	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete a resource", ArgsUsage: "KIND NAME",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newOperatorClient(cmd)
			if err != nil {
				return err
			}
			kind, err := resource.ParseKind(cmd.Args().First())
			if err != nil {
				return err
			}
			var written operator.WriteResult
			if err := c.call(ctx, http.MethodDelete, resourcePath(kind, cmd.Args().Get(1)), nil, &written); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "%s/%s deleted\n", strings.ToLower(string(kind)), cmd.Args().Get(1))
			return err
		},
	}
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "print the resources of a KIND, then each change as it happens", ArgsUsage: "KIND",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newOperatorClient(cmd)
			if err != nil {
				return err
			}
			rc, err := c.send(ctx, http.MethodGet, "/watch?kind="+url.QueryEscape(cmd.Args().First()), nil)
			if err != nil {
				return err
			}
			defer func() { _ = rc.Close() }()
			_, err = io.Copy(cmd.Root().Writer, rc)
			return err
		},
	}
}
