package box_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/result"
)

// slowReader returns one byte and then blocks.
type slowReader struct {
	sent  bool
	never chan struct{}
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.sent {
		<-s.never
		return 0, io.EOF
	}
	s.sent = true
	p[0] = '{'
	return 1, nil
}

func TestBadInput(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
	for _, tt := range []struct {
		name   string
		body   string
		header []string
		want   result.Code
	}{
		{"malformed", `{"model":`, nil, result.BadRequest},
		{"no model", `{}`, nil, result.BadRequest},
		{"model without version", completionBody("boundary", 1, false), nil, result.BadRequest},
		{"unknown adapter", completionBody("other@1", 1, false), nil, result.UnknownAdapter},
		{"unknown version", completionBody("boundary@4", 1, false), nil, result.UnknownVersion},
		{"oversized", completionBody(modelName+strings.Repeat("x", 70<<10), 1, false), nil, result.BodyTooLarge},
		{"expired", completionBody(modelName, 1, false), []string{"Bellgap-Timeout", "0s"}, result.DeadlineExpired},
		{"bad timeout", completionBody(modelName, 1, false), []string{"Bellgap-Timeout", "soon"}, result.BadRequest},
		{"unknown priority", completionBody(modelName, 1, false), []string{"Bellgap-Priority", "top"}, result.BadRequest},
	} {
		c.Run(tt.name, func(c *qt.C) {
			checkRefusal(c, f.post(f.boxes[0], "/v1/completions", tt.body, tt.header...), tt.want)
		})
	}
	c.Run("slow", func(c *qt.C) {
		never := make(chan struct{})
		defer close(never)
		url := "http://" + f.boxes[0].CallerAddress().String() + "/v1/completions"
		checkRefusal(c, f.send(http.MethodPost, url, &slowReader{never: never}), result.SlowBody)
	})
	c.Check(f.engines[0].History().Runs, qt.HasLen, 0)
}

func checkRefusal(c *qt.C, a response, want result.Code) {
	c.Check(a.header.Get(result.HeaderCode), qt.Equals, fmt.Sprint(int(want)), qt.Commentf("%s", a.body))
	c.Check(a.status, qt.Equals, want.Info().Status)
	c.Check(a.header.Get(result.HeaderRan), qt.Equals, "no")
	var body result.Body
	c.Assert(json.Unmarshal([]byte(a.body), &body), qt.IsNil)
	c.Check(body.Error.Code, qt.Equals, want)
}
