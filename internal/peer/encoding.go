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
	// compressFrom is the size from which messages are compressed: smaller ones fit a packet or two and would only cost time.
	compressFrom = 2 << 10
	encodingGzip = "gzip"
)

// writers holds gzip writers, which take 0.8 MB each, for reuse.
var writers = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // Only a level that is not one fails.
	}
	return w
}}

// encode returns a message as JSON, compressed if it is large: cell maps, configurations and batches of heartbeats are lists of like objects
// and shrink to a fifth or less. It returns the content encoding, empty for none.
func encode(v any) (body []byte, encoding string, err error) {
	plain, err := json.Marshal(v)
	if err != nil {
		return nil, "", eris.Wrap(err, "peer: encode")
	}
	if len(plain) < compressFrom {
		return plain, "", nil
	}
	var packed bytes.Buffer
	w, ok := writers.Get().(*gzip.Writer)
	if !ok {
		return plain, "", nil
	}
	defer writers.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(plain); err != nil {
		return nil, "", eris.Wrap(err, "peer: compress")
	}
	if err := w.Close(); err != nil {
		return nil, "", eris.Wrap(err, "peer: compress")
	}
	return packed.Bytes(), encodingGzip, nil
}

// decode reads a message of at most limit bytes, as sent and as unpacked.
func decode(body io.Reader, encoding string, limit int64, out any) error {
	body = io.LimitReader(body, limit)
	if encoding == encodingGzip {
		unpacked, err := gzip.NewReader(body)
		if err != nil {
			return eris.Wrap(err, "peer: unpack")
		}
		body = io.LimitReader(unpacked, limit)
	}
	return eris.Wrap(json.NewDecoder(body).Decode(out), "peer: decode")
}

// answer sends a reply, compressed if it is large and the other side takes that.
func answer(w http.ResponseWriter, r *http.Request, v any) error {
	body, encoding, err := encode(v)
	if err != nil {
		return err
	}
	if encoding != "" && !strings.Contains(r.Header.Get("Accept-Encoding"), encoding) {
		if body, err = json.Marshal(v); err != nil {
			return eris.Wrap(err, "peer: encode")
		}
		encoding = ""
	}
	w.Header().Set("Content-Type", "application/json")
	if encoding != "" {
		w.Header().Set("Content-Encoding", encoding)
	}
	w.WriteHeader(http.StatusOK)
	// The reader may be gone; there is nobody left to tell.
	_, _ = w.Write(body)
	return nil
}
