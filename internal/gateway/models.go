package gateway

import (
	"net/http"
	"strconv"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/resource"
)

// Page sizes of GET /v1/models.
const (
	defaultPageSize = 1000
	maxPageSize     = 20000
)

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
	// HasMore is set if there are more models. The parameter after, set to the last id, requests the next page.
	HasMore bool `json:"has_more"`
}

// handleModels serves GET /v1/models?limit=N&after=ID.
func (g *Gateway) handleModels(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 || limit > maxPageSize {
		limit = defaultPageSize
	}
	after := r.FormValue("after")
	list := modelList{Object: "list", Data: []model{}}
	for _, it := range g.cfg.Catalog.Resources(resource.KindAdapterVersion, "") {
		if it.Resource.Name <= after {
			continue
		}
		if len(list.Data) == limit {
			list.HasMore = true
			break
		}
		list.Data = append(list.Data, model{it.Resource.Name, "model", g.modelOwner(it.Resource.Name)})
	}
	httpx.WriteJSON(w, http.StatusOK, list)
}

// modelOwner returns the co-operative that owns the adapter of a model, or an empty string if it is unknown.
func (g *Gateway) modelOwner(name string) string {
	ref, err := resource.ParseRef(name)
	if err != nil {
		return ""
	}
	a, ok := g.cfg.Catalog.Adapter(ref.Adapter)
	if !ok {
		return ""
	}
	return a.Cooperative
}
