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

// Request headers that callers may set.
const (
	// HeaderTimeout is the maximum wait until the request starts, as a duration such as "2s".
	HeaderTimeout = "Bellgap-Timeout"
	// HeaderPriority is the name of a declared priority.
	HeaderPriority = "Bellgap-Priority"
	// HeaderRepeatable is "yes" if the request may run more than once.
	HeaderRepeatable = "Bellgap-Repeatable"
)

const maxRequestID = 128

// job is a validated completion request.
type job struct {
	// requestID is the id that the caller sent, runID the id that this box generated.
	requestID string
	runID     string
	path      string
	ref       resource.Ref
	weights   string
	baseModel string
	// cooperative is the customer that owns the adapter.
	cooperative string
	// reportedRate is the rate limit of the engine as last reported to the box that forwarded the request.
	reportedRate *ratelimit.Report
	urgency      int
	startBy      time.Time
	repeatable   bool
	// isLastEngine is set if no other engine will be tried after the current one.
	isLastEngine bool
	body         []byte
	// suspect identifies the request for the quarantine, also when it is retried.
	suspect quarantine.Suspect
	// entry is the record of the request for operators.
	entry record.Request
}

// modelField contains the field of a completion request that selects the engine.
type modelField struct {
	Model string `json:"model"`
}

// requestID returns the request id that the caller sent, or a new id if it is missing or too long.
func (g *Gateway) requestID(r *http.Request) string {
	id := r.Header.Get(result.HeaderRequest)
	if id == "" || len(id) > maxRequestID {
		return g.cfg.NewID()
	}
	return id
}

// readJob reads and validates a completion request.
func (g *Gateway) readJob(w http.ResponseWriter, r *http.Request, requestID string) (*job, *result.Error) {
	j := &job{requestID: requestID, runID: g.cfg.NewID(), path: r.URL.Path, repeatable: r.Header.Get(HeaderRepeatable) == "yes"}
	wait, err := parseTimeout(r)
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

// parseTimeout returns the wait in HeaderTimeout, or zero if the header is missing. A wait that is not positive is an error.
func parseTimeout(r *http.Request) (time.Duration, *result.Error) {
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
		return resource.Ref{}, result.New(result.BadRequest, "request body is not valid JSON: %v", err)
	}
	ref, err := resource.ParseRef(f.Model)
	if err != nil {
		return resource.Ref{}, result.New(result.BadRequest, "invalid model: %v", err)
	}
	return ref, nil
}

// resolve fills in the data of the adapter, its version and the priority of the request from the catalog.
func (g *Gateway) resolve(j *job, r *http.Request, wait time.Duration) *result.Error {
	a, ok := g.cfg.Catalog.Adapter(j.ref.Adapter)
	if !ok {
		return result.New(result.UnknownAdapter, "%s", j.ref.Adapter)
	}
	v, ok := g.cfg.Catalog.Version(j.ref)
	if !ok {
		return result.New(result.UnknownVersion, "%s; declared versions: %s", j.ref, strings.Join(g.cfg.Catalog.Versions(j.ref.Adapter), ", "))
	}
	j.weights, j.baseModel, j.cooperative = v.Weights, a.BaseModel, a.Cooperative
	priority := r.Header.Get(HeaderPriority)
	if priority == "" {
		priority = a.Priority
	}
	if priority != "" {
		p, ok := g.cfg.Catalog.Priority(priority)
		if !ok {
			return result.New(result.BadRequest, "unknown priority %q", priority)
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
