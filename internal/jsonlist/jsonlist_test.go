package jsonlist_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/jsonlist"
)

// page is a page of a list without its elements.
type page struct {
	Revision int64 `json:"revision"`
	HasMore  bool  `json:"hasMore"`
}

func TestDecode(t *testing.T) {
	deep := strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000)
	for _, tt := range []struct {
		name, text string
		elements   []string
		page       page
		err        string
	}{
		{name: "list", text: `{"revision":7,"items":[{"a":1}, 2],"hasMore":true}`, elements: []string{`{"a":1}`, "2"}, page: page{7, true}},
		{name: "no list", text: `{"revision":7}`, page: page{Revision: 7}},
		{name: "null", text: `{"items":null,"revision":7}`, page: page{Revision: 7}},
		{name: "deep element", text: `{"items":[1,{"x":` + deep + `},3],"revision":7}`, elements: []string{"1", `{"x":` + deep + `}`, "3"}, page: page{Revision: 7}},
		{name: "brackets in a text", text: `{"items":["]}\"]",3],"revision":7}`, elements: []string{`"]}\"]"`, "3"}, page: page{Revision: 7}},
		{name: "invalid number", text: `{"items":[1,{"x":01},3],"revision":7}`, elements: []string{"1", `{"x":01}`, "3"}, page: page{Revision: 7}},
		{name: "cut off", text: `{"revision":7,"items":[1,2`, err: ".*incomplete.*"},
		{name: "cut off within a text", text: `{"revision":7,"items":[1,"2]}`, err: ".*incomplete.*"},
		{name: "too many brackets", text: `{"revision":7}]}`, err: ".*incomplete.*"},
		{name: "list alone", text: `[1,2]`, err: ".*no object"},
		{name: "text alone", text: `"busy"`, err: ".*no object"},
		{name: "nothing", text: ``, err: ".*no object"},
		{name: "malformed member beside the list", text: `{"items":[1],"revision":"x"}`, elements: []string{"1"}, err: ".*decode object.*"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var got page
			elements, err := jsonlist.Decode([]byte(tt.text), "items", &got)
			if tt.err != "" {
				c.Check(err, qt.ErrorMatches, tt.err)
				return
			}
			c.Assert(err, qt.IsNil)
			var texts []string
			for _, e := range elements {
				texts = append(texts, string(e))
			}
			c.Check(texts, qt.DeepEquals, tt.elements)
			c.Check(got, qt.Equals, tt.page)
		})
	}
}

func TestIsTooDeep(t *testing.T) {
	c := qt.New(t)
	c.Check(jsonlist.IsTooDeep([]byte(`{"a":[1,"[[["]}`)), qt.IsFalse)
	c.Check(jsonlist.IsTooDeep([]byte(strings.Repeat("[", jsonlist.MaxNesting+1)+strings.Repeat("]", jsonlist.MaxNesting+1))), qt.IsTrue)
}
