package pairing_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSecondStatusLineIsCounted guards against heads made of two answers that operators cannot tell from other faults.
func TestSecondStatusLineIsCounted(t *testing.T) {
	for _, tt := range []struct {
		name  string
		piece string
		want  int64
	}{
		{"none", "", 0},
		{"in the reason", "HTTP/1.1 500 ", 1},
		{"in the status", "HTTP/1.1 50", 1},
		{"in a name", "HTTP/1.1 500 Internal Server Error\r\nSe", 1},
		{"in a value", "HTTP/1.1 500 Internal Server Error\r\nSeal: ", 1},
		{"name of a protocol", "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nId: another\r\nContent-Length: 0\r\n\r\n", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, func(conn net.Conn, req *http.Request) {
				text, _ := answerText(req.Header.Get(idHeader), sized)
				_, _ = io.WriteString(conn, tt.piece+text)
			})
			_, err := w.get("request")
			c.Check(w.count("merged_heads"), qt.Equals, tt.want, qt.Commentf("%v", fmt.Sprint(err)))
		})
	}
}
