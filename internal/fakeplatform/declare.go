package fakeplatform

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/bellgap/bellgap/internal/resource"
)

// DeclareAdapters stores n adapters of a base model, named adapter-00000, adapter-00001 and so on, each with version 1.
func (s *Store) DeclareAdapters(ctx context.Context, n int, baseModel string) error {
	for i := range n {
		name := fmt.Sprintf("adapter-%05d", i)
		for _, r := range []resource.Resource{
			{Kind: resource.KindAdapter, Name: name, Spec: &resource.Adapter{BaseModel: baseModel, Cooperative: "downs"}},
			{Kind: resource.KindAdapterVersion, Name: name + "@1", Spec: &resource.AdapterVersion{Weights: "weights/" + name + "/1"}},
		} {
			value, err := json.Marshal(r)
			if err != nil {
				return err
			}
			if _, err := s.Put(ctx, string(r.Kind), r.Name, 0, value); err != nil {
				return err
			}
		}
	}
	return nil
}
