package pairing_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestIDsCarriedAgainAreCounted guards against answers whose ids do not tell to which of two requests on a connection they belong, and that nobody notices.
func TestIDsCarriedAgainAreCounted(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, func(conn net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", idHeader, req.Header.Get(idHeader))
	})
	for _, id := range []string{"first", "second", "first"} {
		_, err := w.get(id)
		c.Assert(err, qt.IsNil)
	}
	c.Check(w.count("ids_carried_again"), qt.Equals, int64(1))
}
