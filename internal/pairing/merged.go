package pairing

import (
	"net/http"

	"k8s.io/klog/v2"
)

// answerHead is a head as it was read from a connection.
type answerHead struct {
	bytes []byte
	// start is how many bytes had been received on the connection before it.
	start int64
}

// mergedOutcome tells what is done with a head that holds more than one status line.
type mergedOutcome string

const (
	// mergedSeparated: what comes before the answer due is dropped.
	mergedSeparated mergedOutcome = "separated"
	// mergedClosed: the connection is closed.
	mergedClosed mergedOutcome = "closed"
)

// proveHead returns the head of one answer, the last one that is part of head. A head made of pieces of two answers holds the status line of
// the second one after its first byte, so a head without a second status line is of one answer. The error is that of a head that is not
// proved to be: a field that quotes a status line cannot be told from an answer that breaks off there.
func (c *conn) proveHead(head answerHead, request exchange, isOpen bool) (answerHead, error) {
	if second, _ := statusLineAt(head.bytes, 1); second < 0 {
		return head, nil
	}
	if due, ok := c.separate(head, request, isOpen); ok {
		c.pairing.recordMerged(head, request, mergedSeparated)
		c.surplusBytes += due.start - head.start
		return due, nil
	}
	c.pairing.recordMerged(head, request, mergedClosed)
	if !isOpen {
		return answerHead{}, c.closeUnsolicited(len(head.bytes), request)
	}
	return answerHead{}, ErrMergedHead
}

// separate returns the head of the answer due, without the piece before it. It is known where the answer due begins if the piece began before
// the request was sent and just one status line follows that had not been received by then.
func (c *conn) separate(head answerHead, request exchange, isOpen bool) (answerHead, bool) {
	if !isOpen || request.id == "" || head.start >= request.receivedBefore {
		return answerHead{}, false
	}
	offset, _ := statusLineAt(head.bytes, int(request.receivedBefore-head.start))
	if offset < 0 {
		return answerHead{}, false
	}
	if next, _ := statusLineAt(head.bytes, offset+1); next >= 0 {
		return answerHead{}, false
	}
	due := answerHead{head.bytes[offset:], head.start + int64(offset)}
	id, ok := c.idIn(due.bytes)
	return due, ok && id == request.id
}

// idIn returns the id in a head. ok is false if it cannot be read as a head.
func (c *conn) idIn(head []byte) (id string, ok bool) {
	resp, err := parseHead(head, http.MethodGet)
	if err != nil {
		return "", false
	}
	return c.pairing.cfg.ID(resp.Header), true
}

// closeUnsolicited records bytes that belong to no request in flight and returns the error that closes the connection.
func (c *conn) closeUnsolicited(size int, request exchange) error {
	c.pairing.cfg.Scope.Counter("surplus_connections_closed").Inc(1)
	klog.V(1).InfoS("connection closed, bytes came without a request in flight", "endpoint", request.endpoint, "bytes", size)
	return errUnsolicited
}
