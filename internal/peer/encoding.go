package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// minCompressBytes is the minimum size of messages that are compressed. Smaller ones fit in one or two packets, so
	// compressing them would only cost time.
	minCompressBytes = 2 << 10
	encodingGzip     = "gzip"
)

// gzipWriters keeps gzip writers for reuse, since each takes 0.8 MB.
var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // This fails only for an invalid compression level.
	}
	return w
}}

// encode returns a message as JSON and its content encoding, which is empty for none. Large messages are compressed: cell maps,
// configurations and batches of heartbeats are lists of similar objects and shrink to a fifth or less.
func encode(v any) (body []byte, encoding string, err error) {
	plain, err := json.Marshal(v)
	if err != nil {
		return nil, "", eris.Wrap(err, "peer: encode message failed")
	}
	if len(plain) < minCompressBytes {
		return plain, "", nil
	}
	var compressed bytes.Buffer
	w, ok := gzipWriters.Get().(*gzip.Writer)
	if !ok {
		return plain, "", nil
	}
	defer gzipWriters.Put(w)
	w.Reset(&compressed)
	if _, err := w.Write(plain); err != nil {
		return nil, "", eris.Wrap(err, "peer: compress message failed")
	}
	if err := w.Close(); err != nil {
		return nil, "", eris.Wrap(err, "peer: compress message failed")
	}
	return compressed.Bytes(), encodingGzip, nil
}

// decode reads a message into out. The limit in bytes applies to the message as sent and also to its uncompressed size.
func decode(body io.Reader, encoding string, limit int64, out any) error {
	body = io.LimitReader(body, limit)
	if encoding == encodingGzip {
		uncompressed, err := gzip.NewReader(body)
		if err != nil {
			return eris.Wrap(err, "peer: read gzip header failed")
		}
		body = io.LimitReader(uncompressed, limit)
	}
	return eris.Wrap(json.NewDecoder(body).Decode(out), "peer: decode message failed")
}

// writeReply sends a reply, compressed if it is large and the caller accepts gzip.
func writeReply(w http.ResponseWriter, r *http.Request, v any) error {
	body, encoding, err := encode(v)
	if err != nil {
		return err
	}
	if encoding != "" && !strings.Contains(r.Header.Get("Accept-Encoding"), encoding) {
		if body, err = json.Marshal(v); err != nil {
			return eris.Wrap(err, "peer: encode message failed")
		}
		encoding = ""
	}
	w.Header().Set("Content-Type", "application/json")
	if encoding != "" {
		w.Header().Set("Content-Encoding", encoding)
	}
	w.WriteHeader(http.StatusOK)
	// An error is ignored: the caller has disconnected, so it cannot be informed either.
	_, _ = w.Write(body)
	return nil
}
