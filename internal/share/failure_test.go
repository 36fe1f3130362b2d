package share_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/demand"
)

// overload is 1.7 times what the fleet serves.
func overload(time.Duration, int, int) float64 { return 1.7 }

// TestClassesShareDuringFailures checks the order of the classes while the exchange of rows and shares is broken.
func TestClassesShareDuringFailures(t *testing.T) {
	const lostAt, replacedAt, end = 8 * time.Second, 14 * time.Second, 22
	for _, test := range []struct {
		name   string
		change func(f *fleet)
	}{
		{"the coordinator is lost for 6 s; another one takes over", func(f *fleet) {
			f.coordinator = func(at time.Duration, _ *box) *box {
				switch {
				case at < lostAt:
					return f.boxes[0]
				case at < replacedAt:
					return nil
				default:
					return f.boxes[1]
				}
			}
		}},
		{"half of the boxes are cut off for good", func(f *fleet) {
			cutOff := map[*box]bool{}
			for _, b := range f.boxes[:len(f.boxes)/2] {
				cutOff[b] = true
			}
			f.coordinator = func(at time.Duration, b *box) *box {
				if at >= lostAt && cutOff[b] {
					return nil
				}
				return f.boxes[len(f.boxes)-1]
			}
		}},
		{"a box joins", func(f *fleet) { f.after(lostAt, func() { f.addBox() }) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkClasses(qt.New(t), simulate(6, 0, 1, 6, end, func(f *fleet) {
				f.load = overload
				test.change(f)
			}))
		})
	}
}

// TestWrongRowsOfOneBox checks what a box can do that reports a flood of requests that nobody sent, in the name of a customer.
func TestWrongRowsOfOneBox(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		boxes, customers int
		least            float64
	}{{12, 0, 0.5}, {12, 16, 0.6}, {63, 0, 0.75}, {63, 16, 0.9}} {
		sums := simulate(test.boxes, test.customers, 1.25, 6, 20, func(f *fleet) {
			f.report = func(b *box, rows []demand.Row) []demand.Row {
				if b != f.boxes[3] {
					return rows
				}
				flood := demand.Row{Service: service, Urgency: 10, Asked: 1e9, AskedTokens: 1e11}
				if test.customers > 0 {
					flood.Customer = "c12"
				}
				return append(rows, flood, demand.Row{Service: service, Urgency: 9, Asked: 1, Served: 50})
			}
		})
		for _, key := range []string{"class0", "class1", "class2"} {
			c.Logf("%d boxes, %d customers, %s: %.3f", test.boxes, test.customers, key, shareOf(sums[key]))
			c.Check(shareOf(sums[key]) > test.least, qt.IsTrue, qt.Commentf("%d boxes, %d customers, %s", test.boxes, test.customers, key))
		}
	}
}

// TestMessageSizes checks how much the exchange adds to heartbeats and replies, with 16 customers during a shortage.
func TestMessageSizes(t *testing.T) {
	c := qt.New(t)
	for _, boxes := range []int{63, 400} {
		f := newFleet(1, boxes, 16, 1.0/3)
		for i := range f.classes {
			f.classes[i].rate *= 3
		}
		f.run(10 * time.Second)
		c.Logf("%d boxes: at most %d bytes of rows in a heartbeat, %d bytes of shares in a reply", boxes, f.largestBeat, f.largestReply)
		c.Check(f.largestBeat < 2500, qt.IsTrue)
		c.Check(f.largestReply < 2500, qt.IsTrue)
	}
}
