package peer_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/peer"
	"github.com/bellgap/bellgap/internal/result"
)

// largeMap is the cell map of 300 boxes and 3,000 engines.
func largeMap() coordinator.Map {
	m := coordinator.Map{Cell: "default", Generation: 7}
	for i := range 300 {
		m.Members = append(m.Members, coordinator.Member{Box: fmt.Sprintf("edge-tw-hall-a-%d", i), Zone: "tw-hall-a", Incarnation: fmt.Sprintf("K3QZ%022d", i*7919)})
	}
	for i := range 3000 {
		m.Owners = append(m.Owners, coordinator.Ownership{Engine: fmt.Sprintf("i-%08x", i*2654435), Owner: fmt.Sprintf("edge-tw-hall-a-%d", i%300), Epoch: uint64(i)})
	}
	return m
}

func newPeer(c *qt.C, batch func(coordinator.Batch) (coordinator.BatchReply, error)) (*httptest.Server, *peer.Client) {
	mux := http.NewServeMux()
	peer.NewHandler(peer.HandlerConfig{
		Catalog: catalog.New(), Batch: batch,
		Beat: func(context.Context, coordinator.Beat) (coordinator.Reply, error) { return coordinator.Reply{}, nil },
	}).Register(mux)
	s := httptest.NewServer(mux)
	c.Cleanup(s.Close)
	return s, peer.NewClient(peer.ClientConfig{HTTP: &http.Client{}})
}

// TestLargeMessagesAreCompressed sends a batch and gets a whole map back, as an aggregator that has just started does.
func TestLargeMessagesAreCompressed(t *testing.T) {
	c := qt.New(t)
	whole := coordinator.Diff(coordinator.Map{}, largeMap())
	var sent int64
	s, client := newPeer(c, func(b coordinator.Batch) (coordinator.BatchReply, error) {
		c.Check(b.Beats, qt.HasLen, 40)
		return coordinator.BatchReply{News: coordinator.News{Map: &whole}}, nil
	})
	s.Config.Handler = countBytes(s.Config.Handler, &sent)
	beat := coordinator.Beat{Member: largeMap().Members[0], Owned: largeMap().Owners[:10]}
	var batch coordinator.Batch
	for range 40 {
		batch.Beats = append(batch.Beats, beat)
	}
	reply, err := client.BeatBatch(c.Context(), strings.TrimPrefix(s.URL, "http://"), batch)
	c.Assert(err, qt.IsNil)
	m, ok := reply.News.Map.Apply(coordinator.Map{})
	c.Assert(ok, qt.IsTrue)
	c.Check(m.Owners, qt.HasLen, 3000)
	t.Logf("a map of %d B, by its own estimate, takes %d B", whole.Size(), sent)
	c.Check(sent < int64(whole.Size())/4, qt.IsTrue)
}

func countBytes(h http.Handler, sent *int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(&counter{w, sent}, r) })
}

type counter struct {
	http.ResponseWriter
	sent *int64
}

func (c *counter) Write(b []byte) (int, error) {
	*c.sent += int64(len(b))
	return c.ResponseWriter.Write(b)
}

// TestBadBatches: what is malformed, packed to burst or longer than any batch gets a numbered result and reaches nobody.
func TestBadBatches(t *testing.T) {
	c := qt.New(t)
	s, _ := newPeer(c, func(coordinator.Batch) (coordinator.BatchReply, error) {
		c.Error("a bad batch was taken in")
		return coordinator.BatchReply{}, nil
	})
	for _, test := range []struct {
		name, encoding string
		body           []byte
	}{
		{"cut short", "", []byte(`{"box":"b","beats":[{`)},
		{"not packed as it says", "gzip", []byte(`{"box":"b"}`)},
		{"64 MB of blanks in 64 kB", "gzip", packed(c, []byte(strings.Repeat(" ", 64<<20)+`{"box":"b"}`))},
		{"too many", "", []byte(`{"beats":[{}` + strings.Repeat(`,{}`, 1000) + `]}`)},
	} {
		req, err := http.NewRequestWithContext(c.Context(), http.MethodPost, s.URL+peer.PathBatch, bytes.NewReader(test.body))
		c.Assert(err, qt.IsNil)
		req.Header.Set("Content-Encoding", test.encoding)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		c.Check(resp.Header.Get(result.HeaderCode), qt.Equals, fmt.Sprint(int(result.BadRequest)), qt.Commentf("%s", test.name))
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
}

func packed(c *qt.C, plain []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(plain)
	c.Assert(err, qt.IsNil)
	c.Assert(w.Close(), qt.IsNil)
	return b.Bytes()
}
