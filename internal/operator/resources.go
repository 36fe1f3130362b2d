package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Outcome is the effect of a write.
type Outcome string

// These are the outcomes of a write.
const (
	Created   Outcome = "created"
	Changed   Outcome = "changed"
	Unchanged Outcome = "unchanged"
	Deleted   Outcome = "deleted"
)

// WriteResult is the response body of a write.
type WriteResult struct {
	Outcome Outcome `json:"outcome"`
	// Version is the store position of the write if the resource was created or changed. The write is in force on every box whose status
	// shows this revision or a later one. After any other outcome, and after a dry run, Version is that of the object before the call.
	Version objects.Position `json:"version"`
}

func (o *Operator) handleList(w http.ResponseWriter, r *http.Request) {
	kind, err := resource.ParseKind(r.PathValue("kind"))
	if err != nil {
		o.writeError(w, result.New(result.NoSuchResource, "%v", err))
		return
	}
	items := o.cfg.Catalog.Resources(kind, r.FormValue("prefix"))
	if items == nil {
		items = []catalog.Item{}
	}
	httpx.WriteJSON(w, http.StatusOK, items)
}

func (o *Operator) handleGet(w http.ResponseWriter, r *http.Request) {
	kind, err := resource.ParseKind(r.PathValue("kind"))
	if err != nil {
		o.writeError(w, result.New(result.NoSuchResource, "%v", err))
		return
	}
	name := r.PathValue("name")
	it, ok := o.cfg.Catalog.Resource(kind, name)
	if !ok {
		o.writeError(w, result.New(result.NoSuchResource, "%s %s", kind, name))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, it)
}

// handlePut creates or changes a resource. With ?expect=VERSION it writes only if the resource has this version; 0 means that the
// resource does not exist yet. Without expect it overwrites any version. With ?dry_run=true it writes nothing.
func (o *Operator) handlePut(w http.ResponseWriter, r *http.Request) {
	var res resource.Resource
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, objects.MaxValueBytes)).Decode(&res)
	if err == nil {
		err = res.Check()
	}
	if err != nil {
		o.writeError(w, result.New(result.InvalidResource, "%v", err))
		return
	}
	if kind, kindErr := resource.ParseKind(r.PathValue("kind")); kindErr != nil || kind != res.Kind || r.PathValue("name") != res.Name {
		o.writeError(w, result.New(result.InvalidResource, "path has %s/%s, but body has %s/%s", kind, r.PathValue("name"), res.Kind, res.Name))
		return
	}
	expect, rerr := parseExpect(r)
	if rerr != nil {
		o.writeError(w, rerr)
		return
	}
	written, rerr := o.putResource(r.Context(), res, expect, r.FormValue("dry_run") == "true")
	if rerr != nil {
		o.writeError(w, rerr)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, written)
}

// anyVersion is the expected version of a write that overwrites any version.
const anyVersion = -1

func parseExpect(r *http.Request) (objects.Position, *result.Error) {
	text := r.FormValue("expect")
	if text == "" {
		return anyVersion, nil
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 {
		return 0, result.New(result.BadRequest, "parameter expect: %q is not a version", text)
	}
	return objects.Position(v), nil
}

// matchesExpect reports whether the current object has the version that a write expects.
func matchesExpect(expect objects.Position, current objects.Object) bool {
	return expect == anyVersion || expect == current.Version || expect == 0 && !current.Version.HasRevision()
}

func (o *Operator) putResource(ctx context.Context, res resource.Resource, expect objects.Position, dryRun bool) (WriteResult, *result.Error) {
	current, err := o.cfg.API.Get(ctx, string(res.Kind), res.Name)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return WriteResult{}, toResultError(err)
	}
	if !matchesExpect(expect, current) {
		return WriteResult{}, result.New(result.Conflict, "current version is %s, expected %s", current.Version, expect)
	}
	generation := max(catalog.GenerationOf(current), o.cfg.Catalog.Generation(string(res.Kind), res.Name))
	res.Generation = generation
	if unchanged, err := json.Marshal(res); err == nil && bytes.Equal(current.Value, unchanged) {
		return WriteResult{Unchanged, current.Version}, nil
	}
	res.Generation = generation + 1
	value, err := json.Marshal(res)
	if err != nil {
		return WriteResult{}, result.New(result.InvalidResource, "%v", err)
	}
	outcome := Changed
	if !current.Version.HasRevision() {
		outcome = Created
	}
	if dryRun {
		return WriteResult{outcome, current.Version}, nil
	}
	version, err := o.cfg.API.Put(ctx, string(res.Kind), res.Name, current.Version, value)
	if errors.Is(err, objects.ErrOutcomeUnknown) {
		version, err = o.confirmPut(ctx, res, current.Version, value)
	}
	if err != nil {
		return WriteResult{}, toResultError(err)
	}
	return WriteResult{outcome, version}, nil
}

// confirmPut reads the object again after the response to a write was lost. The write is confirmed only if the version has changed and
// the value is the one written. If the version has not changed, the write may still take effect later, so its outcome is unknown.
func (o *Operator) confirmPut(ctx context.Context, res resource.Resource, before objects.Position, value []byte) (objects.Position, error) {
	current, err := o.cfg.API.Get(ctx, string(res.Kind), res.Name)
	if err != nil || current.Version == before {
		return 0, objects.ErrOutcomeUnknown
	}
	if !bytes.Equal(current.Value, value) {
		return 0, objects.ErrConflict
	}
	return current.Version, nil
}

func (o *Operator) handleDelete(w http.ResponseWriter, r *http.Request) {
	kind, err := resource.ParseKind(r.PathValue("kind"))
	if err != nil {
		o.writeError(w, result.New(result.NoSuchResource, "%v", err))
		return
	}
	expect, rerr := parseExpect(r)
	if rerr != nil {
		o.writeError(w, rerr)
		return
	}
	current, err := o.cfg.API.Get(r.Context(), string(kind), r.PathValue("name"))
	if err != nil {
		o.writeError(w, toResultError(err))
		return
	}
	if !matchesExpect(expect, current) {
		o.writeError(w, result.New(result.Conflict, "current version is %s, expected %s", current.Version, expect))
		return
	}
	if err := o.cfg.API.Delete(r.Context(), string(kind), current.Name, current.Version); err != nil {
		o.writeError(w, toResultError(err))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, WriteResult{Deleted, current.Version})
}

// handleWatch streams the resources of a kind as JSON, one item per line: first all present ones, then each change.
func (o *Operator) handleWatch(w http.ResponseWriter, r *http.Request) {
	kind, err := resource.ParseKind(r.FormValue("kind"))
	if err != nil {
		o.writeError(w, result.New(result.NoSuchResource, "%v", err))
		return
	}
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	seen := map[string]objects.Position{}
	for {
		changed := o.cfg.Catalog.NextChange()
		if writeChangedItems(enc, o.cfg.Catalog.Resources(kind, r.FormValue("prefix")), seen) != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeChangedItems(enc *json.Encoder, items []catalog.Item, seen map[string]objects.Position) error {
	for _, it := range items {
		if seen[it.Resource.Name] == it.Version {
			continue
		}
		seen[it.Resource.Name] = it.Version
		if err := enc.Encode(it); err != nil {
			return err
		}
	}
	return nil
}

func toResultError(err error) *result.Error {
	switch {
	case errors.Is(err, objects.ErrConflict):
		return result.New(result.Conflict, "the resource was changed by a concurrent write")
	case errors.Is(err, objects.ErrNotFound):
		return result.New(result.NoSuchResource, "")
	case errors.Is(err, objects.ErrOutcomeUnknown):
		return result.New(result.AnswerUnknown, "no response to the write; read the resource to check whether it took effect")
	default:
		return result.New(result.PlatformUnavailable, "%v", err)
	}
}

func (o *Operator) writeError(w http.ResponseWriter, rerr *result.Error) {
	o.cfg.Scope.Tagged(map[string]string{"result": rerr.Code.String()}).Counter("operator_refusals").Inc(1)
	rerr.Write(w, "")
}
