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

// Outcome says what a write did.
type Outcome string

// The outcomes of a write.
const (
	Created   Outcome = "created"
	Changed   Outcome = "changed"
	Unchanged Outcome = "unchanged"
	Deleted   Outcome = "deleted"
)

// Written is the answer to a write.
type Written struct {
	Outcome Outcome `json:"outcome"`
	// Version is the position of the write; it is in force where the status shows at least this revision.
	Version objects.Position `json:"version"`
}

func (o *Operator) handleList(w http.ResponseWriter, r *http.Request) {
	kind, err := resource.ParseKind(r.PathValue("kind"))
	if err != nil {
		o.fail(w, result.New(result.NoSuchResource, "%v", err))
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
		o.fail(w, result.New(result.NoSuchResource, "%v", err))
		return
	}
	name := r.PathValue("name")
	it, ok := o.cfg.Catalog.Resource(kind, name)
	if !ok {
		o.fail(w, result.New(result.NoSuchResource, "%s %s", kind, name))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, it)
}

// handlePut creates or changes a resource. With ?expect=VERSION it does so only if that is the present version (0: there is none);
// without, it is applied to whatever is there. With ?dry_run=true nothing is written.
func (o *Operator) handlePut(w http.ResponseWriter, r *http.Request) {
	var res resource.Resource
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, objects.MaxValue)).Decode(&res)
	if err == nil {
		err = res.Check()
	}
	if err != nil {
		o.fail(w, result.New(result.InvalidResource, "%v", err))
		return
	}
	if kind, kerr := resource.ParseKind(r.PathValue("kind")); kerr != nil || kind != res.Kind || r.PathValue("name") != res.Name {
		o.fail(w, result.New(result.InvalidResource, "the path names %s/%s, the body %s/%s", kind, r.PathValue("name"), res.Kind, res.Name))
		return
	}
	expect, rerr := expected(r)
	if rerr != nil {
		o.fail(w, rerr)
		return
	}
	done, rerr := o.put(r.Context(), res, expect, r.FormValue("dry_run") == "true")
	if rerr != nil {
		o.fail(w, rerr)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, done)
}

// anyVersion is the expectation of a write that takes whatever is there.
const anyVersion = -1

func expected(r *http.Request) (objects.Position, *result.Error) {
	text := r.FormValue("expect")
	if text == "" {
		return anyVersion, nil
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 {
		return 0, result.New(result.BadRequest, "expect %q is not a version", text)
	}
	return objects.Position(v), nil
}

// isExpected reports whether an object is as a write expects it to be.
func isExpected(expect objects.Position, have objects.Object) bool {
	return expect == anyVersion || expect == have.Version || expect == 0 && !have.Version.Exists()
}

func (o *Operator) put(ctx context.Context, res resource.Resource, expect objects.Position, dryRun bool) (Written, *result.Error) {
	have, err := o.cfg.API.Get(ctx, string(res.Kind), res.Name)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return Written{}, platformError(err)
	}
	if !isExpected(expect, have) {
		return Written{}, result.New(result.Conflict, "version is %s, not %s", have.Version, expect)
	}
	generation := max(catalog.GenerationOf(have), o.cfg.Catalog.Generation(string(res.Kind), res.Name))
	res.Generation = generation
	if same, err := json.Marshal(res); err == nil && bytes.Equal(have.Value, same) {
		return Written{Unchanged, have.Version}, nil
	}
	res.Generation = generation + 1
	value, err := json.Marshal(res)
	if err != nil {
		return Written{}, result.New(result.InvalidResource, "%v", err)
	}
	outcome := Changed
	if !have.Version.Exists() {
		outcome = Created
	}
	if dryRun {
		return Written{outcome, have.Version}, nil
	}
	version, err := o.cfg.API.Put(ctx, string(res.Kind), res.Name, have.Version, value)
	if errors.Is(err, objects.ErrAnswerLost) {
		version, err = o.settle(ctx, res, have.Version, value)
	}
	if err != nil {
		return Written{}, platformError(err)
	}
	return Written{outcome, version}, nil
}

// settle reads back after a lost answer. Only a value that is ours and newer shows that the write took effect;
// an unchanged version shows that it has not yet, which it still may.
func (o *Operator) settle(ctx context.Context, res resource.Resource, before objects.Position, value []byte) (objects.Position, error) {
	now, err := o.cfg.API.Get(ctx, string(res.Kind), res.Name)
	if err != nil || now.Version == before {
		return 0, objects.ErrAnswerLost
	}
	if !bytes.Equal(now.Value, value) {
		return 0, objects.ErrConflict
	}
	return now.Version, nil
}

func (o *Operator) handleDelete(w http.ResponseWriter, r *http.Request) {
	kind, err := resource.ParseKind(r.PathValue("kind"))
	if err != nil {
		o.fail(w, result.New(result.NoSuchResource, "%v", err))
		return
	}
	expect, rerr := expected(r)
	if rerr != nil {
		o.fail(w, rerr)
		return
	}
	have, err := o.cfg.API.Get(r.Context(), string(kind), r.PathValue("name"))
	if err != nil {
		o.fail(w, platformError(err))
		return
	}
	if !isExpected(expect, have) {
		o.fail(w, result.New(result.Conflict, "version is %s, not %s", have.Version, expect))
		return
	}
	if err := o.cfg.API.Delete(r.Context(), string(kind), have.Name, have.Version); err != nil {
		o.fail(w, platformError(err))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, Written{Deleted, have.Version})
}

// handleWatch streams the changes of a kind, one JSON item a line, starting with all there is.
func (o *Operator) handleWatch(w http.ResponseWriter, r *http.Request) {
	kind, err := resource.ParseKind(r.FormValue("kind"))
	if err != nil {
		o.fail(w, result.New(result.NoSuchResource, "%v", err))
		return
	}
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	seen := map[string]objects.Position{}
	for {
		changed := o.cfg.Catalog.Changed()
		if writeNewer(enc, o.cfg.Catalog.Resources(kind, r.FormValue("prefix")), seen) != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeNewer(enc *json.Encoder, items []catalog.Item, seen map[string]objects.Position) error {
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

func platformError(err error) *result.Error {
	switch {
	case errors.Is(err, objects.ErrConflict):
		return result.New(result.Conflict, "somebody else wrote at the same time")
	case errors.Is(err, objects.ErrNotFound):
		return result.New(result.NoSuchResource, "")
	case errors.Is(err, objects.ErrAnswerLost):
		return result.New(result.AnswerUnknown, "read the resource to see whether it took effect")
	default:
		return result.New(result.PlatformUnavailable, "%v", err)
	}
}

func (o *Operator) fail(w http.ResponseWriter, rerr *result.Error) {
	o.cfg.Scope.Tagged(map[string]string{"result": rerr.Code.String()}).Counter("operator_refusals").Inc(1)
	rerr.Write(w, "")
}
