package operator

import (
	"net/http"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// maxExplainedRequests limits the number of requests in one explanation.
const maxExplainedRequests = 20

// Candidate is an engine that the box may choose for requests for an adapter version.
type Candidate struct {
	Engine string `json:"engine"`
	Owner  string `json:"owner"`
	Zone   string `json:"zone"`
}

// Explanation is the response body of GET /explain.
type Explanation struct {
	// Candidates lists the engines for an adapter version in order of preference. It is empty if a request ID was given.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Requests lists the recent requests of this box with that request ID or adapter version, newest first.
	Requests []record.Request `json:"requests"`
}

// handleExplain serves GET /explain?of=SUBJECT. The subject is a request ID or an adapter version as ADAPTER@VERSION.
func (o *Operator) handleExplain(w http.ResponseWriter, r *http.Request) {
	subject := r.FormValue("of")
	e := Explanation{Candidates: o.listCandidates(subject), Requests: o.cfg.RecentRequests.Find(subject, maxExplainedRequests)}
	if len(e.Candidates)+len(e.Requests) == 0 {
		o.writeError(w, result.New(result.NoSuchResource, "no recent request or adapter version %q on this box", subject))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, e)
}

func (o *Operator) listCandidates(version string) []Candidate {
	ref, err := resource.ParseRef(version)
	if err != nil {
		return nil
	}
	adapter, ok := o.cfg.Catalog.Adapter(ref.Adapter)
	if !ok {
		return nil
	}
	topology := o.cfg.Catalog.Topology()
	var list []Candidate
	for _, name := range placement.Top(version, topology.ByModel[adapter.BaseModel], topology.MaxEngines(adapter.BaseModel)) {
		e := topology.Engines[name]
		list = append(list, Candidate{Engine: name, Owner: e.Owner.Box, Zone: e.Spec.Zone})
	}
	return list
}
