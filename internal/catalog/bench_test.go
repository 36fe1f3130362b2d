package catalog_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
)

// declaredAdapters returns the platform's list of n adapters with one version each.
func declaredAdapters(n int) objects.Changes {
	ch := objects.Changes{Revision: objects.Position(2*n + 1)}
	add := func(name string, kind resource.Kind, spec resource.Spec) {
		value, err := json.Marshal(resource.Resource{Kind: kind, Name: name, Spec: spec})
		if err != nil {
			panic(err)
		}
		ch.Objects = append(ch.Objects, objects.Object{Kind: string(kind), Name: name, Version: objects.Position(len(ch.Objects) + 1), Value: value})
	}
	for i := range n {
		name := fmt.Sprintf("adapter-%05d", i)
		add(name, resource.KindAdapter, &resource.Adapter{BaseModel: "plain-7b", Cooperative: "downs", Priority: "gate"})
		add(name+"@1", resource.KindAdapterVersion, &resource.AdapterVersion{Weights: "weights/" + name + "/1", Bytes: 50 << 20})
	}
	return ch
}

// applyList applies a full list to the catalog.
func applyList(tb testing.TB, c *catalog.Catalog, ch objects.Changes) {
	tb.Helper()
	l := c.BeginList(ch.Revision)
	l.ApplyPage(ch.Objects)
	l.End()
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

var catalogSizes = []int{1000, 5000, 13000, 26000}

func BenchmarkList(b *testing.B) {
	for _, n := range catalogSizes {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			list := declaredAdapters(n)
			encoded, _ := json.Marshal(list)
			before := heapBytes()
			var c *catalog.Catalog
			for b.Loop() {
				c = catalog.New()
				applyList(b, c, list)
			}
			b.ReportMetric((heapBytes()-before)/float64(n), "heap-B/adapter")
			b.ReportMetric(float64(len(encoded))/float64(n), "wire-B/adapter")
			runtime.KeepAlive(c)
			runtime.KeepAlive(list)
		})
	}
}

func BenchmarkApplyOne(b *testing.B) {
	for _, n := range catalogSizes {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			c := catalog.New()
			list := declaredAdapters(n)
			applyList(b, c, list)
			revision := list.Revision
			o := list.Objects[0]
			for b.Loop() {
				revision++
				o.Version = revision
				c.Apply(objects.Changes{Objects: []objects.Object{o}, Revision: revision})
				if _, err := c.ChangesSince(revision - 1); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range catalogSizes {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			c := catalog.New()
			applyList(b, c, declaredAdapters(n))
			ref := resource.Ref{Adapter: "adapter-00007", Version: "1"}
			b.ReportAllocs()
			for b.Loop() {
				c.Adapter(ref.Adapter)
				c.Version(ref)
			}
		})
	}
}
