package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
)

// TestRecordsReportedByOtherBoxes receives records from other boxes in any order. The known holder never changes to one with a lower
// epoch, and a holder that is known only from a cell map counts until a newer record is received.
func TestRecordsReportedByOtherBoxes(t *testing.T) {
	c := qt.New(t)
	l := lease.New(lease.Config{Holder: "box-c", TTL: time.Second})
	l.UpdateFromReport(lease.Record{Holder: "box-a", Epoch: 5}, 10)
	c.Check(l.Record().Holder, qt.Equals, "box-a")
	l.SetLaterHolder("box-b", "10.0.0.2:1", 6)
	c.Check(l.Record(), qt.Equals, lease.Record{Holder: "box-b", Address: "10.0.0.2:1", Epoch: 6})
	for _, test := range []struct {
		name    string
		record  lease.Record
		version objects.Position
		holder  string
	}{
		{"a later write of the former holder", lease.Record{Holder: "box-a", Epoch: 5}, 12, "box-b"},
		{"an older version", lease.Record{Holder: "box-a", Epoch: 6}, 9, "box-b"},
		{"released by the holder", lease.Record{Epoch: 6}, 14, ""},
		{"the next holder", lease.Record{Holder: "box-d", Epoch: 7}, 15, "box-d"},
	} {
		l.UpdateFromReport(test.record, test.version)
		c.Check(l.Record().Holder, qt.Equals, test.holder, qt.Commentf("%s", test.name))
		c.Check(l.IsOwn(), qt.IsFalse)
	}
	_, known := l.FreeAt(0)
	c.Check(known, qt.IsTrue)
	l.SetLaterHolder("box-a", "10.0.0.1:1", 6)
	c.Check(l.Record().Holder, qt.Equals, "box-d")
}
