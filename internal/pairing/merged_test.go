package pairing_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/pairing"
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

// Times at which a piece of another answer comes, and the header that tells the endpoint of a test how many bytes of it to send.
const (
	whileIdle     = "while idle"
	whileInFlight = "while in flight"
	halfAndHalf   = "half and half"
	cutHeader     = "Cut"
	stepHeader    = "Step"
)

// pieceTimeout bounds a request whose answer may be lost, from its arrival at the endpoint.
const pieceTimeout = 100 * time.Millisecond

// text is an answer as it is written to a connection.
type text struct {
	name string
	// bytes holds ID where the id of the request is to stand.
	bytes string
}

// otherAnswers are the answers of which a piece comes before the answer due.
var otherAnswers = []text{
	{"success", "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: other\r\nContent-Length: 5\r\n\r\nother"},
	{"id last", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nSeal: other\r\nDate: now\r\nId: ID\r\n\r\nother"},
	{"failure", "HTTP/1.1 500 Internal Server Error\r\nDate: now\r\nSeal: other\r\nId: ID\r\nContent-Length: 0\r\n\r\n"},
	{"rejection", "HTTP/1.1 503 Service Unavailable\r\nRejected: 1\r\nRetry-After: 3\r\nId: ID\r\nContent-Length: 0\r\n\r\n"},
	{"no content", "HTTP/1.0 204 No Content\r\nSeal: other\r\nId: ID\r\n\r\n"},
	{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSeal: other\r\nId: ID\r\n\r\n5\r\nother\r\n0\r\nSum: 1\r\n\r\n"},
	{"interim", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nSeal: other\r\n\r\n"},
	{"without an id", "HTTP/1.1 503 Service Unavailable\r\nRejected: 1\r\nContent-Length: 0\r\n\r\n"},
	{"quotes a status line", "HTTP/1.1 502 Bad Gateway\r\nUpstream: HTTP/1.1 200 OK\r\nSeal: other\r\nId: ID\r\nContent-Length: 0\r\n\r\n"},
}

// dueAnswers are the answers before which the pieces come.
var dueAnswers = []text{
	{"success", "HTTP/1.1 200 OK\r\nSeal: due\r\nId: ID\r\nContent-Length: 3\r\n\r\ndue"},
	{"failure", "HTTP/1.1 500 Internal Server Error\r\nId: ID\r\nSeal: due\r\nContent-Length: 3\r\n\r\ndue"},
	{"chunked", "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nId: ID\r\nSeal: due\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndue\r\n0\r\n\r\n"},
	{"no content", "HTTP/1.1 204 No Content\r\nSeal: due\r\nId: ID\r\n\r\n"},
	{"rejection", "HTTP/1.1 429 Too Many Requests\r\nRejected: 1\r\nId: ID\r\nContent-Length: 0\r\n\r\n"},
	{"after an interim answer", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 404 Not Found\r\nSeal: due\r\nId: ID\r\nContent-Length: 3\r\n\r\ndue"},
}

// forID returns the answer to the request with the given id.
func (a text) forID(id string) string { return strings.ReplaceAll(a.bytes, "ID", id) }

// pieceRun sends three requests over one transport: the first gets its answer, a piece of another answer comes before the answer to the
// second, and the third gets its own again.
type pieceRun struct {
	world  *world
	client *http.Client
	// local is the own address of the first connection.
	local atomic.Pointer[string]
	cut   int
	// withoutID is set if the second request carries no id.
	withoutID bool
	// mustServe is set if the second request must get its answer.
	mustServe bool
	// answered is closed once the endpoint has answered the second request.
	answered     chan struct{}
	answeredOnce sync.Once
}

func (w *world) newPieceRun(cut int, withoutID bool) *pieceRun {
	r := &pieceRun{world: w, cut: cut, withoutID: withoutID, answered: make(chan struct{})}
	base := &http.Transport{MaxResponseHeaderBytes: 32 << 10, DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		local := conn.LocalAddr().String()
		r.local.CompareAndSwap(nil, &local)
		return conn, nil
	}}
	w.c.Cleanup(base.CloseIdleConnections)
	r.client = &http.Client{Transport: w.pairing.Transport(base)}
	return r
}

// send sends one request. It returns the answer, whose body it has read.
func (r *pieceRun) send(step string) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(r.world.c.Context(), waitTime)
	defer cancel()
	if step == "second" {
		go func() {
			select {
			case <-r.answered:
				if !r.mustServe {
					time.AfterFunc(pieceTimeout, cancel)
				}
			case <-ctx.Done():
			}
		}()
	}
	req, err := http.NewRequestWithContext(pairing.WithEndpoint(ctx, "p-1"), http.MethodPost, "http://"+r.world.address, strings.NewReader("x"))
	if err != nil {
		return nil, "", err
	}
	req.GetBody = nil
	req.Header.Set(stepHeader, step)
	req.Header.Set(cutHeader, strconv.Itoa(r.cut))
	if !r.withoutID || step != "second" {
		req.Header.Set(idHeader, step)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// waitUntilReceived waits until n bytes have been received on the first connection, or until it has ended.
func (r *pieceRun) waitUntilReceived(n int) {
	for deadline := time.Now().Add(waitTime); time.Now().Before(deadline); time.Sleep(50 * time.Microsecond) {
		received, isOpen := r.world.pairing.Received(r.world.address, *r.local.Load())
		if !isOpen || received >= int64(n) {
			return
		}
	}
}

// expectedAnswer returns the final answer that a text holds, and its body.
func expectedAnswer(c *qt.C, answer string) (*http.Response, string) {
	in := bufio.NewReader(strings.NewReader(answer))
	for {
		resp, err := http.ReadResponse(in, nil)
		c.Assert(err, qt.IsNil)
		if resp.StatusCode < http.StatusOK {
			continue
		}
		b, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		return resp, string(b)
	}
}

// pieceCounts counts the outcomes of the requests before whose answer a piece came.
type pieceCounts struct {
	mu sync.Mutex
	// own counts those that got their own answer, none those that got no answer that is believed, mixed those that got another one.
	own, none, mixed int
	// lostOwn counts those that got no answer though it is known where their own begins.
	lostOwn int
	// lostNext counts the requests after them that were not served.
	lostNext int
	examples []string
}

func (n *pieceCounts) addExample(text string) {
	if n.examples = append(n.examples, text); len(n.examples) > 3 {
		n.examples = n.examples[:3]
	}
}

// headEnd returns the size of the head of an answer.
func headEnd(answer string) int { return strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n") }

// run sends the three requests and counts their outcome.
func (n *pieceCounts) run(r *pieceRun, idle int, due string, wantFirst int) {
	c := r.world.c
	_, _, err := r.send("first")
	c.Check(err, qt.IsNil)
	r.waitUntilReceived(wantFirst + idle)
	resp, body, err := r.send("second")
	third, thirdBody, thirdErr := r.send("third")
	wantResp, wantBody := expectedAnswer(c, due)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err != nil || (!r.withoutID && resp.Header.Get(idHeader) != "second"):
		n.none++
		if r.mustServe {
			n.lostOwn++
			n.addExample(fmt.Sprintf("cut at %d: %v", r.cut, err))
		}
	case resp.StatusCode != wantResp.StatusCode || !maps.EqualFunc(resp.Header, wantResp.Header, slices.Equal) || body != wantBody:
		n.mixed++
		n.addExample(fmt.Sprintf("cut at %d: %d %v %q", r.cut, resp.StatusCode, resp.Header, body))
	default:
		n.own++
	}
	if thirdErr != nil || third.Header.Get(idHeader) != "third" || thirdBody != "third" {
		n.lostNext++
		n.addExample(fmt.Sprintf("cut at %d, next: %v %q", r.cut, thirdErr, thirdBody))
	}
}

// testPieces cuts each of the other answers at every byte up to limit and sends the piece before each of the due answers.
func testPieces(t *testing.T, due []text, withoutID bool, limit func(other string) int) {
	const parallel = 64
	for _, when := range []string{whileIdle, whileInFlight, halfAndHalf} {
		for _, other := range otherAnswers {
			for _, d := range due {
				t.Run(when+"/"+other.name+"/"+d.name, func(t *testing.T) {
					c := qt.New(t)
					first := "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 5\r\n\r\nfirst"
					otherText, dueText := other.forID("first"), d.forID("second")
					idleBytes := func(cut int) int {
						return map[string]int{whileIdle: cut, whileInFlight: 0, halfAndHalf: (cut + 1) / 2}[when]
					}
					runs := make([]*pieceRun, limit(otherText))
					w := newWorld(c, func(conn net.Conn, req *http.Request) {
						cut, _ := strconv.Atoi(req.Header.Get(cutHeader))
						idle := idleBytes(cut)
						switch req.Header.Get(stepHeader) {
						case "first":
							_, _ = io.WriteString(conn, first+otherText[:idle])
						case "second":
							_, _ = io.WriteString(conn, otherText[idle:cut]+dueText)
							runs[cut].answeredOnce.Do(func() { close(runs[cut].answered) })
						default:
							_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: third\r\nContent-Length: 5\r\n\r\nthird")
						}
					})
					var counts pieceCounts
					var group errgroup.Group
					group.SetLimit(parallel)
					for cut := range runs {
						runs[cut] = w.newPieceRun(cut, withoutID)
						// The answer due begins with the only status line that comes after the request was sent.
						runs[cut].mustServe = !withoutID && idleBytes(cut) > 0 && cut < headEnd(otherText) && strings.Count(otherText[idleBytes(cut):cut]+dueText, "HTTP/") == 1
					}
					for cut := range runs {
						group.Go(func() error {
							counts.run(runs[cut], idleBytes(cut), dueText, len(first))
							return nil
						})
					}
					_ = group.Wait()
					t.Logf("own %d, none %d, mixed %d, next lost %d, merged %d", counts.own, counts.none, counts.mixed, counts.lostNext, w.count("merged_heads"))
					c.Check(counts.mixed, qt.Equals, 0, qt.Commentf("%q", counts.examples))
					c.Check(counts.lostOwn, qt.Equals, 0, qt.Commentf("%q", counts.examples))
					c.Check(counts.lostNext, qt.Equals, 0, qt.Commentf("%q", counts.examples))
				})
			}
		}
	}
}

// TestPieceOfAnotherAnswer guards against an answer with the status, a field or the body of another answer, of which a piece of any size
// came before it on the same connection. It also guards against an answer that is lost though the piece began before its request was sent.
func TestPieceOfAnotherAnswer(t *testing.T) {
	testPieces(t, dueAnswers, false, func(other string) int { return len(other) + 1 })
}

// TestPieceOfAnotherHeadWithoutID guards against the same for answers to orders and reports, which carry no id.
func TestPieceOfAnotherHeadWithoutID(t *testing.T) {
	due := []text{
		{"report", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"},
		{"refused order", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"},
	}
	testPieces(t, due, true, headEnd)
}

// TestTornAnswerBeforeAnotherAnswer guards against an answer with the status, the id or the seal of an answer that broke off in its head, and the
// rest of another one that came after it on the connection.
func TestTornAnswerBeforeAnotherAnswer(t *testing.T) {
	for _, due := range dueAnswers {
		for _, other := range otherAnswers {
			t.Run(due.name+"/"+other.name, func(t *testing.T) {
				c := qt.New(t)
				dueText, otherText := due.forID("request"), other.forID("another")
				w := newWorld(c, func(conn net.Conn, req *http.Request) {
					cut, _ := strconv.Atoi(req.Header.Get(cutHeader))
					_, _ = io.WriteString(conn, dueText[:cut]+otherText)
				})
				believed := 0
				final := strings.LastIndex(dueText, "HTTP/1.1")
				for cut := final + 1; cut < final+headEnd(dueText[final:]); cut++ {
					ctx, cancel := context.WithTimeout(c.Context(), pieceTimeout)
					req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address, nil)
					c.Assert(err, qt.IsNil)
					req.Header.Set(idHeader, "request")
					req.Header.Set(cutHeader, strconv.Itoa(cut))
					resp, err := w.client.Do(req)
					if err == nil {
						if resp.Header.Get(idHeader) == "request" {
							believed++
							c.Logf("cut at %d: %d %v", cut, resp.StatusCode, resp.Header)
						}
						_ = resp.Body.Close()
					}
					cancel()
				}
				c.Check(believed, qt.Equals, 0)
			})
		}
	}
}

// TestQuotedStatusLine guards against a head that holds a second status line and is believed, and against heads that only look similar and are
// not believed. A quoted status line cannot be told from an answer that breaks off before it.
func TestQuotedStatusLine(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		served     bool
	}{
		{"after the id", "HTTP/1.1 502 Bad Gateway\r\nId: ID\r\nUpstream: HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nme", false},
		{"twice after the id", "HTTP/1.1 502 Bad Gateway\r\nId: ID\r\nA: HTTP/1.1 200 OK\r\nB: HTTP/1.0 500\r\nContent-Length: 2\r\n\r\nme", false},
		{"in the body", "HTTP/1.1 502 Bad Gateway\r\nId: ID\r\nContent-Length: 12\r\n\r\nHTTP/1.1 200", true},
		{"before the id", "HTTP/1.1 502 Bad Gateway\r\nUpstream: HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nme", false},
		{"between two ids", "HTTP/1.1 502 Bad Gateway\r\nId: ID\r\nUpstream: HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nme", false},
		{"no status", "HTTP/1.1 502 Bad Gateway\r\nVia: HTTP/1.1 proxy\r\nA: HTTP/1.1 2000\r\nId: ID\r\nContent-Length: 2\r\n\r\nme", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, func(conn net.Conn, req *http.Request) {
				_, _ = io.WriteString(conn, text{bytes: tt.text}.forID(req.Header.Get(idHeader)))
			})
			for i := range 3 {
				_, err := w.get(fmt.Sprint("request-", i))
				if tt.served {
					c.Check(err, qt.IsNil)
				} else {
					c.Check(err, qt.ErrorIs, pairing.ErrMergedHead)
				}
			}
		})
	}
}

// TestUnsolicitedBytesAreNoEnd guards against an endpoint that counts as restarted, so that streams are not resumed there, because this side closed a
// connection on which bytes came that belong to no request.
func TestUnsolicitedBytesAreNoEnd(t *testing.T) {
	for _, tt := range []struct{ name, surplus string }{
		{"merged head", "HTTP/1.1 200 OK\r\nSeal: HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"},
		{"without an id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"too many bytes", strings.Repeat("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1024\r\n\r\n"+strings.Repeat("x", 1024), 2*maxSurplus/1024)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, func(conn net.Conn, req *http.Request) {
				text, _ := answerText(req.Header.Get(idHeader), sized)
				_, _ = io.WriteString(conn, text+tt.surplus)
			})
			_, err := w.get("first")
			c.Assert(err, qt.IsNil)
			for deadline := time.Now().Add(waitTime); w.count("surplus_connections_closed") == 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			address := netip.MustParseAddrPort(w.address)
			for deadline := time.Now().Add(waitTime); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				if since, _ := w.pairing.Contact(address); since.IsZero() {
					break
				}
			}
			_, endedAt := w.pairing.Contact(address)
			c.Check(endedAt, qt.Equals, time.Time{})
		})
	}
}
