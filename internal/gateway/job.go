package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/bellgap/bellgap/internal/body"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Headers that callers may set.
const (
	// HeaderTimeout is the longest useful wait for a start, as a duration such as "2s".
	HeaderTimeout = "Bellgap-Timeout"
	// HeaderPriority names a declared priority.
	HeaderPriority = "Bellgap-Priority"
	// HeaderRepeatable is "yes" if the request may run more than once.
	HeaderRepeatable = "Bellgap-Repeatable"
)

const maxRequestID = 128

// job is one request for an engine, checked and ready to be placed.
type job struct {
	// requestID is the caller's name for the request, runID ours.
	requestID   string
	runID       string
	path        string
	ref         resource.Ref
	weights     string
	baseModel   string
	cooperative string
	// rate is what the box that the request came from knows of the engine's rate.
	rate       *ratelimit.Word
	urgency    int
	startBy    time.Time
	repeatable bool
	// last says that no other engine will be tried after the present one.
	last bool
	body []byte
	// suspect is what the request is known by when it comes again.
	suspect quarantine.Suspect
	// told is what operators can ask about the request.
	told record.Request
}

// modelField is the one field of a completion request that decides where it goes.
type modelField struct {
	Model string `json:"model"`
}

// requestID returns the caller's id, or a new one.
func (g *Gateway) requestID(r *http.Request) string {
	id := r.Header.Get(result.HeaderRequest)
	if id == "" || len(id) > maxRequestID {
		return g.cfg.NewID()
	}
	return id
}

// readJob reads and checks a request for an engine.
func (g *Gateway) readJob(w http.ResponseWriter, r *http.Request, requestID string) (*job, *result.Error) {
	j := &job{requestID: requestID, runID: g.cfg.NewID(), path: r.URL.Path, repeatable: r.Header.Get(HeaderRepeatable) == "yes"}
	wait, err := timeout(r)
	if err != nil {
		return nil, err
	}
	if j.body, err = g.readBody(w, r); err != nil {
		return nil, err
	}
	if j.ref, err = parseModel(j.body); err != nil {
		return nil, err
	}
	return j, g.resolve(j, r, wait)
}

// timeout returns the caller's wait, zero if it names none; a wait that is over is refused at once.
func timeout(r *http.Request) (time.Duration, *result.Error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, result.New(result.BadRequest, "%s: %v", HeaderTimeout, err)
	}
	if d <= 0 {
		return 0, result.New(result.DeadlineExpired, "%s is %s", HeaderTimeout, text)
	}
	return d, nil
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *result.Error) {
	return body.Read(w, r, body.Limits{Bytes: g.cfg.Limits.BodyBytes, Time: g.cfg.Limits.BodyTime})
}

func parseModel(b []byte) (resource.Ref, *result.Error) {
	var f modelField
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(&f); err != nil {
		return resource.Ref{}, result.New(result.BadRequest, "body is not JSON: %v", err)
	}
	ref, err := resource.ParseRef(f.Model)
	if err != nil {
		return resource.Ref{}, result.New(result.BadRequest, "model %v", err)
	}
	return ref, nil
}

// resolve looks up what the request names.
func (g *Gateway) resolve(j *job, r *http.Request, wait time.Duration) *result.Error {
	a, ok := g.cfg.Catalog.Adapter(j.ref.Adapter)
	if !ok {
		return result.New(result.UnknownAdapter, "%s", j.ref.Adapter)
	}
	v, ok := g.cfg.Catalog.Version(j.ref)
	if !ok {
		return result.New(result.UnknownVersion, "%s; declared: %s", j.ref, strings.Join(g.cfg.Catalog.Versions(j.ref.Adapter), ", "))
	}
	j.weights, j.baseModel, j.cooperative = v.Weights, a.BaseModel, a.Cooperative
	priority := r.Header.Get(HeaderPriority)
	if priority == "" {
		priority = a.Priority
	}
	if priority != "" {
		p, ok := g.cfg.Catalog.Priority(priority)
		if !ok {
			return result.New(result.BadRequest, "no priority %q is declared", priority)
		}
		j.urgency = p.Urgency
		if wait == 0 {
			wait = time.Duration(p.MaxWait)
		}
	}
	if wait == 0 {
		wait = g.cfg.Limits.DefaultWait
	}
	j.startBy = clock.Now().Add(wait)
	return nil
}
