package resource_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/resource"
)

func TestResourceCheck(t *testing.T) {
	for _, tt := range []struct {
		name string
		text string
		// want is part of the expected error, empty if the resource is valid.
		want string
	}{
		{"good", `{"kind":"Priority","name":"gate","spec":{"urgency":50,"max_wait":"10s"}}`, ""},
		{"any case and plural", `{"kind":"priorities","name":"gate","spec":{}}`, ""},
		{"unknown kind", `{"kind":"Queue","name":"gate","spec":{}}`, "unknown kind"},
		{"unknown field", `{"kind":"Priority","name":"gate","spec":{"urgent":1}}`, `unknown field "urgent"`},
		{"out of range", `{"kind":"Priority","name":"gate","spec":{"urgency":101}}`, "must be in 0..100"},
		{"bad name", `{"kind":"Adapter","name":"Gate!","spec":{"base_model":"m","cooperative":"c"}}`, "name must match"},
		{"version without adapter", `{"kind":"AdapterVersion","name":"gate","spec":{"weights":"w"}}`, "adapter@version"},
		{"host name as address", `{"kind":"Engine","name":"e","spec":{"address":"host:80"}}`, "ParseAddr"},
		{"no address", `{"kind":"Engine","name":"e","spec":{"zone":"z","base_model":"m","slots":1,"batch":1}}`, "IP address"},
		{"no spec", `{"kind":"Service","name":"s"}`, "addresses must not be empty"},
		{"bad duration", `{"kind":"Priority","name":"gate","spec":{"max_wait":"soon"}}`, "invalid duration"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var r resource.Resource
			err := json.Unmarshal([]byte(tt.text), &r)
			if err == nil {
				err = r.Check()
			}
			if tt.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, `(?s).*`+tt.want+`.*`)
		})
	}
}

// FuzzResource checks that a valid resource keeps its encoding when it is encoded, decoded and encoded again.
func FuzzResource(f *testing.F) {
	f.Add([]byte(`{"kind":"Engine","name":"e","spec":{"address":"10.0.0.1:80","zone":"z","base_model":"m","slots":1,"batch":1}}`))
	f.Add([]byte(`{"kind":"Service","name":"s","generation":3,"spec":{"addresses":["[::1]:9"],"timeout":"1s"}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var r, decoded resource.Resource
		if json.Unmarshal(b, &r) != nil || r.Check() != nil {
			return
		}
		first, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(first, &decoded); err != nil {
			t.Fatal(err)
		}
		second, err := json.Marshal(decoded)
		if err != nil || string(first) != string(second) {
			t.Fatalf("first encoding %s, second encoding %s: %v", first, second, err)
		}
	})
}
