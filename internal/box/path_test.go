package box_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/fakeservice"
	"github.com/bellgap/bellgap/internal/result"
)

func TestCompletionsThroughEachBox(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 3, engines: []fakeengine.Config{smallEngine(), smallEngine()}})
	for _, tt := range []struct {
		name   string
		path   string
		stream bool
		want   string
	}{
		{"stream", "/v1/completions", true, "data: [DONE]"},
		{"whole", "/v1/completions", false, `"object":"text_completion"`},
		{"chat stream", "/v1/chat/completions", true, `"object":"chat.completion.chunk"`},
		{"chat whole", "/v1/chat/completions", false, `"role":"assistant"`},
	} {
		c.Run(tt.name, func(c *qt.C) {
			for _, b := range f.boxes {
				a := f.post(b, tt.path, completionBody(modelName, 4, tt.stream), result.HeaderRequest, "mine")
				c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
				c.Check(a.body, qt.Contains, tt.want)
				c.Check(a.body, qt.Contains, modelName+":3")
				c.Check(a.header.Get(result.HeaderRequest), qt.Equals, "mine")
				c.Check(a.header.Get(result.HeaderEngine), qt.Matches, "engine-[12]")
			}
		})
	}
}

func TestResponsesMatchRequestedModel(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 3, engines: []fakeengine.Config{smallEngine(), smallEngine()}})
	var models []string
	for i := range 20 {
		models = append(models, fmt.Sprintf("adapter-%d@1", i))
		f.declareAdapter(models[i])
	}
	// A box that knows the adapter declared last knows all of them.
	for _, b := range f.boxes {
		f.waitUntil(func() bool {
			return b.Topology() != nil && f.post(b, "/v1/completions", completionBody(models[19], 1, false)).status == 200
		})
	}
	for i := range 120 {
		model := models[i*i%len(models)]
		a := f.post(f.boxes[i%3], "/v1/completions", completionBody(model, 2, i%2 == 0))
		c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
		c.Assert(strings.Count(a.body, `"model":"`+model+`"`) > 0, qt.IsTrue)
		c.Assert(strings.Contains(a.body, model+":1"), qt.IsTrue)
	}
	for _, e := range f.engines {
		c.Check(e.History().Violations, qt.HasLen, 0)
	}
}

func TestServiceCalls(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
	for _, tt := range []struct {
		name          string
		path          string
		lostResponses int
		repeatable    string
		want          result.Code
		wantRun       int
	}{
		{"plain", "/services/titles/lots", 0, "", result.OK, 1},
		{"not retried when the response is lost", "/services/titles/lots", 1, "", result.AnswerLost, 1},
		{"never retried on a path declared unrepeatable", "/services/titles/notice/7", 1, "yes", result.AnswerLost, 1},
		{"marked as not repeatable", "/services/titles/lots", 1, "no", result.AnswerLost, 1},
	} {
		c.Run(tt.name, func(c *qt.C) {
			f.service.SetFaults(fakeservice.Faults{DropResponses: tt.lostResponses})
			id := strings.ReplaceAll(tt.name, " ", "-")
			a := f.post(f.boxes[0], tt.path, "lot 7", result.HeaderRequest, id, "Bellgap-Repeatable", tt.repeatable)
			c.Check(a.header.Get(result.HeaderCode), qt.Equals, fmt.Sprint(int(tt.want)))
			c.Check(f.service.Runs()[id], qt.Equals, tt.wantRun)
		})
	}
}
