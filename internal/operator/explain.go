package operator

import (
	"net/http"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// maxExplained bounds the requests in one explanation.
const maxExplained = 20

// Candidate is an engine that requests for an adapter version are offered to.
type Candidate struct {
	Engine string `json:"engine"`
	Owner  string `json:"owner"`
	Zone   string `json:"zone"`
}

// Explanation is what GET /explain answers.
type Explanation struct {
	// Candidates lists the engines for an adapter version in the order in which they are tried; empty for a request.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Requests lists recent requests through this box, newest first.
	Requests []record.Request `json:"requests"`
}

// handleExplain serves GET /explain?of=REQUEST or ADAPTER@VERSION.
func (o *Operator) handleExplain(w http.ResponseWriter, r *http.Request) {
	of := r.FormValue("of")
	e := Explanation{Candidates: o.candidates(of), Requests: o.cfg.Record.Find(of, maxExplained)}
	if len(e.Candidates)+len(e.Requests) == 0 {
		o.fail(w, result.New(result.NoSuchResource, "no recent request or adapter version %q on this box", of))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, e)
}

func (o *Operator) candidates(of string) []Candidate {
	ref, err := resource.ParseRef(of)
	if err != nil {
		return nil
	}
	a, ok := o.cfg.Catalog.Adapter(ref.Adapter)
	if !ok {
		return nil
	}
	t := o.cfg.Catalog.Topology()
	var list []Candidate
	for _, name := range placement.Top(of, t.ByModel[a.BaseModel], t.MaxEngines(a.BaseModel)) {
		e := t.Engines[name]
		list = append(list, Candidate{Engine: name, Owner: e.Owner.Box, Zone: e.Spec.Zone})
	}
	return list
}
