package gateway

import (
	"net/http"
	"strconv"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/resource"
)

// Page sizes of GET /v1/models.
const (
	defaultModels = 1000
	maxModels     = 20000
)

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
	// HasMore says that there are more; ask again with after set to the last id.
	HasMore bool `json:"has_more"`
}

// handleModels serves GET /v1/models?limit=N&after=ID.
func (g *Gateway) handleModels(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 || limit > maxModels {
		limit = defaultModels
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
		list.Data = append(list.Data, model{it.Resource.Name, "model", g.cooperativeOf(it.Resource.Name)})
	}
	httpx.WriteJSON(w, http.StatusOK, list)
}

func (g *Gateway) cooperativeOf(name string) string {
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
