package httpx

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// minAnswerShare is how many bytes of an answer may be read whatever a Budget has left.
const minAnswerShare = 32 << 10

// ErrOverBudget is the error of an answer of which more has to be kept than the budget leaves.
var ErrOverBudget = eris.New("httpx: answers being read exceed their limit in sum")

// Budget limits the bytes kept of all answers that are being read at the same time.
type Budget struct {
	max  int64
	held atomic.Int64
}

// NewBudget returns a Budget of maxBytes.
func NewBudget(maxBytes int64) *Budget { return &Budget{max: maxBytes} }

// Read reads an answer through read, which may keep at most limit bytes of it. Beyond minAnswerShare it may read only what the budget leaves,
// and gets ErrOverBudget otherwise.
func (b *Budget) Read(body io.Reader, limit int64, read func(io.Reader) error) error {
	r := &budgetReader{Reader: io.LimitReader(body, limit), budget: b}
	defer func() { b.held.Add(-r.held) }()
	return read(r)
}

// budgetReader counts what is read of one answer.
type budgetReader struct {
	io.Reader
	budget *Budget
	// read is the number of bytes read. held is how many of them count: those beyond minAnswerShare.
	read, held int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += int64(n)
	more := r.read - minAnswerShare - r.held
	if more <= 0 {
		return n, err
	}
	r.held += more
	if r.budget.held.Add(more) > r.budget.max {
		return 0, ErrOverBudget
	}
	return n, err
}
