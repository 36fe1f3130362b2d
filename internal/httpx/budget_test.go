package httpx_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/httpx"
)

// TestBudget guards against answers that are read beyond their limit in sum, short answers that suffer from long ones, and bytes that count on
// after an answer has been read.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	const share, half = 32 << 10, 512 << 10
	budget := httpx.NewBudget(2 * half)
	readAll := func(size int, then func()) error {
		return budget.Read(strings.NewReader(strings.Repeat("x", size)), 10*half, func(r io.Reader) error {
			b, err := io.ReadAll(r)
			if err == nil {
				c.Check(len(b), qt.Equals, size)
			}
			then()
			return err
		})
	}
	nothing := func() {}
	for range 3 {
		c.Check(readAll(share+half, func() {
			c.Check(readAll(share+half, func() {
				c.Check(readAll(share, nothing), qt.IsNil)
				c.Check(errors.Is(readAll(share+1, nothing), httpx.ErrOverBudget), qt.IsTrue)
			}), qt.IsNil)
		}), qt.IsNil)
	}
}
