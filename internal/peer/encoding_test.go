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

// largeMap returns the cell map of 300 boxes and 3,000 engines.
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

func startPeer(c *qt.C, batch func(coordinator.Batch) (coordinator.BatchReply, error)) (*httptest.Server, *peer.Client) {
	mux := http.NewServeMux()
	peer.NewHandler(peer.HandlerConfig{
		Catalog: catalog.New(), Batch: batch,
		Beat: func(context.Context, coordinator.Beat) (coordinator.Reply, error) { return coordinator.Reply{}, nil },
	}).Register(mux)
	s := httptest.NewServer(mux)
	c.Cleanup(s.Close)
	return s, peer.NewClient(peer.ClientConfig{HTTP: &http.Client{}})
}

// TestLargeMessagesAreCompressed sends a batch and receives a whole map in reply, like an aggregator that has just started.
func TestLargeMessagesAreCompressed(t *testing.T) {
	c := qt.New(t)
	fullMap := coordinator.Diff(coordinator.Map{}, largeMap())
	var sentBytes int64
	s, client := startPeer(c, func(b coordinator.Batch) (coordinator.BatchReply, error) {
		c.Check(b.Beats, qt.HasLen, 40)
		return coordinator.BatchReply{Updates: coordinator.Updates{Map: &fullMap}}, nil
	})
	s.Config.Handler = countBytes(s.Config.Handler, &sentBytes)
	beat := coordinator.Beat{Member: largeMap().Members[0], Owned: largeMap().Owners[:10]}
	var batch coordinator.Batch
	for range 40 {
		batch.Beats = append(batch.Beats, beat)
	}
	reply, err := client.BeatBatch(c.Context(), strings.TrimPrefix(s.URL, "http://"), batch)
	c.Assert(err, qt.IsNil)
	m, ok := reply.Updates.Map.Apply(coordinator.Map{})
	c.Assert(ok, qt.IsTrue)
	c.Check(m.Owners, qt.HasLen, 3000)
	t.Logf("a map with an estimated size of %d B was sent as %d B", fullMap.Size(), sentBytes)
	c.Check(sentBytes < int64(fullMap.Size())/4, qt.IsTrue)
}

func countBytes(h http.Handler, sent *int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(&countingWriter{w, sent}, r) })
}

type countingWriter struct {
	http.ResponseWriter
	sent *int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	*c.sent += int64(len(b))
	return c.ResponseWriter.Write(b)
}

// TestInvalidBatchesAreRejected checks that a malformed batch, one that is too large uncompressed and one with too many
// heartbeats get a result code and do not reach the batch function.
func TestInvalidBatchesAreRejected(t *testing.T) {
	c := qt.New(t)
	s, _ := startPeer(c, func(coordinator.Batch) (coordinator.BatchReply, error) {
		c.Error("an invalid batch reached the batch function")
		return coordinator.BatchReply{}, nil
	})
	for _, test := range []struct {
		name, encoding string
		body           []byte
	}{
		{"truncated JSON", "", []byte(`{"box":"b","beats":[{`)},
		{"declared as gzip but not compressed", "gzip", []byte(`{"box":"b"}`)},
		{"64 MB of spaces in 64 kB of gzip", "gzip", gzipped(c, []byte(strings.Repeat(" ", 64<<20)+`{"box":"b"}`))},
		{"too many heartbeats", "", []byte(`{"beats":[{}` + strings.Repeat(`,{}`, 1000) + `]}`)},
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

func gzipped(c *qt.C, plain []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(plain)
	c.Assert(err, qt.IsNil)
	c.Assert(w.Close(), qt.IsNil)
	return b.Bytes()
}
