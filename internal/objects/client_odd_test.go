package objects_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/objects"
)

// TestOddObjectHidesNoOthers guards against a list that cannot be read at all because of one object that another program wrote.
func TestOddObjectHidesNoOthers(t *testing.T) {
	const depth = 20_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	for _, tt := range []struct {
		name, object string
		// want are the names of the objects.
		want []string
	}{
		{"value nested too deeply", `{"kind":"Adapter","name":"odd","version":5,"value":` + deep + `}`, []string{"a1", "odd", "a2"}},
		{"object nested too deeply", deep, []string{"a1", "a2"}},
		{"number too large", `{"kind":"Adapter","name":"odd","version":1e400,"value":{}}`, []string{"a1", "odd", "a2"}},
		{"another type", `7`, []string{"a1", "a2"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"objects":[{"kind":"Adapter","name":"a1","version":3,"value":{}},%s,{"kind":"Adapter","name":"a2","version":4,"deleted":true}],"revision":9}`, tt.object)
			}))
			defer server.Close()
			client := objects.NewClient(objects.ClientConfig{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: http.DefaultClient})
			ch, err := client.List(c.Context(), []string{"Adapter"}, "")
			c.Assert(err, qt.IsNil)
			c.Check(ch.Revision, qt.Equals, objects.Position(9))
			var names []string
			for _, o := range ch.Objects {
				names = append(names, o.Name)
				c.Check(o.Name == "odd" && o.Value != nil, qt.IsFalse)
			}
			c.Check(names, qt.DeepEquals, tt.want)
			c.Check(ch.Objects[len(ch.Objects)-1].Deleted, qt.IsTrue)
		})
	}
}
