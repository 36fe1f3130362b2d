package share_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// seeds is the number of simulations whose counts are summed, so that chance moves no share by more than about 0.01.
	seeds = 10
	// loadFrom is the second at which the load of a test rises.
	loadFrom = 6
	// maxLead is how much less often a class may be served than a less urgent one.
	maxLead = 0.05
	// minOfMean is the part of the mean share that every class must have.
	minOfMean = 0.25
	// minOfWork is the part of the work without shares that engines must do with shares.
	minOfWork = 0.99
	// greedyCustomer is the customer that exceeds its usual load.
	greedyCustomer = 3
)

// between returns a load that is factor times the usual for the selected requests, for a time from loadFrom on.
func between(length time.Duration, factor float64, selected func(class, customer int) bool) func(time.Duration, int, int) float64 {
	return func(at time.Duration, class, customer int) float64 {
		if at >= loadFrom*time.Second && at < loadFrom*time.Second+length && selected(class, customer) {
			return factor
		}
		return 1
	}
}

// simulate returns the summed counts of several simulations from one second to before another. change is called for each fleet before it runs.
func simulate(boxes, customers int, capacity float64, from, to int, change func(*fleet)) map[string]count {
	sums := map[string]count{}
	for seed := range uint64(seeds) {
		f := newFleet(seed, boxes, customers, capacity)
		change(f)
		f.run(time.Duration(to) * time.Second)
		for s := from; s < to; s++ {
			for key, c := range f.perSecond[s] {
				sum := sums[key]
				sums[key] = count{sum.asked + c.asked, sum.served + c.served, sum.over + c.over}
			}
		}
	}
	return sums
}

func shareOf(c count) float64 { return c.served / c.asked }

// checkClasses checks that no class is served notably less often than a less urgent one, and none much less often than the mean.
func checkClasses(c *qt.C, sums map[string]count) {
	shares := []float64{shareOf(sums["class0"]), shareOf(sums["class1"]), shareOf(sums["class2"])}
	asked := sums["class0"].asked + sums["class1"].asked + sums["class2"].asked
	mean := (sums["class0"].served + sums["class1"].served + sums["class2"].served) / asked
	c.Logf("shares %.3f, mean %.3f", shares, mean)
	for i, s := range shares {
		c.Check(s >= minOfMean*mean, qt.IsTrue, qt.Commentf("class %d: %.3f, mean %.3f", i, s, mean))
		for j := i + 1; j < len(shares); j++ {
			c.Check(shares[j]-s <= maxLead, qt.IsTrue, qt.Commentf("class %d is served %.3f, the less urgent class %d %.3f", i, s, j, shares[j]))
		}
	}
}

// namedLoad is an overload, and the seconds in which its counts are checked.
type namedLoad struct {
	name      string
	customers int
	capacity  float64
	load      func(time.Duration, int, int) float64
	from, to  int
}

// namedLoads returns the overloads for which the goals are checked.
func namedLoads() []namedLoad {
	every := func(int, int) bool { return true }
	least := func(class, _ int) bool { return class == 2 }
	greedy := func(_, customer int) bool { return customer == greedyCustomer }
	return []namedLoad{
		{"the least urgent class at three times its usual for 9 s", 0, 1.1, between(9*time.Second, 3, least), loadFrom, loadFrom + 15},
		{"the same of 16 customers", 16, 1.1, between(9*time.Second, 3, least), loadFrom, loadFrom + 15},
		{"all classes at 1.7 times what the fleet serves, for 20 s", 0, 1.1, between(20*time.Second, 1.7*1.1, every), loadFrom, loadFrom + 20},
		{"all classes at 1.7 times, of 16 customers", 16, 1.1, between(20*time.Second, 1.7*1.1, every), loadFrom, loadFrom + 20},
		{"one of 16 customers at seven times its usual for 8 s", 16, 1.1, between(8*time.Second, 7, greedy), loadFrom, loadFrom + 8},
	}
}

// TestClassesShareShortage checks the order of the classes from the start of an overload until the callers that it refused have returned.
func TestClassesShareShortage(t *testing.T) {
	for _, test := range namedLoads() {
		t.Run(test.name, func(t *testing.T) {
			checkClasses(qt.New(t), simulate(12, test.customers, test.capacity, test.from, test.to, func(f *fleet) { f.load = test.load }))
		})
	}
}

// TestGreedyCustomerPays checks that a customer's excess does not take the shares of others.
func TestGreedyCustomerPays(t *testing.T) {
	c := qt.New(t)
	load := between(8*time.Second, 7, func(_, customer int) bool { return customer == greedyCustomer })
	sums := simulate(12, 16, 1.1, loadFrom, loadFrom+8, func(f *fleet) { f.load = load })
	var others count
	for key, sum := range sums {
		if key[:2] == "c1" || key[:2] == "c2" {
			others.asked, others.served, others.over = others.asked+sum.asked, others.served+sum.served, others.over+sum.over
		}
	}
	greedy := sums["c13"]
	others.asked, others.served, others.over = others.asked-greedy.asked, others.served-greedy.served, others.over-greedy.over
	c.Logf("greedy served %.3f, others %.3f, of the others' requests over their share %.3f", shareOf(greedy), shareOf(others), others.over/others.asked)
	c.Check(shareOf(greedy) < 0.6, qt.IsTrue)
	c.Check(shareOf(others) > 0.85, qt.IsTrue)
	c.Check(others.over/others.asked < 0.1, qt.IsTrue)
}

// TestCalmServiceRefusesNothing checks that the usual noise makes no service short.
func TestCalmServiceRefusesNothing(t *testing.T) {
	c := qt.New(t)
	for _, customers := range []int{0, 16} {
		for key, sum := range simulate(12, customers, 1.25, 0, 20, func(*fleet) {}) {
			c.Check(sum.over, qt.Equals, 0.0, qt.Commentf("%s", key))
		}
	}
}

// TestFeedbackSettles checks that shares do not swing under a constant overload of 20 s: after 5 s, the share of each class in each 4 s stays near its mean.
// If a limited class counted as served worse because of its own limit, the limit would come and go.
func TestFeedbackSettles(t *testing.T) {
	c := qt.New(t)
	const settled, length, end = 5, 4, 21
	all := simulate(12, 0, 1, settled, end, func(f *fleet) { f.load = overload })
	for from := settled; from+length <= end; from += length {
		part := simulate(12, 0, 1, from, from+length, func(f *fleet) { f.load = overload })
		for _, key := range []string{"class0", "class1", "class2"} {
			got, mean := shareOf(part[key]), shareOf(all[key])
			c.Logf("%s %d s: %.3f of %.3f", key, from, got, mean)
			c.Check(got > mean-0.1 && got < mean+0.1, qt.IsTrue, qt.Commentf("%s from %d s: %.3f, mean %.3f", key, from, got, mean))
		}
	}
}

// TestSharesCostNoWork guards against requests that are refused while engines have room: over 20 s of each load, engines do as much work as without shares.
func TestSharesCostNoWork(t *testing.T) {
	for _, test := range namedLoads() {
		for _, failing := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%s, %v of the requests fail", test.name, failing), func(t *testing.T) {
				c := qt.New(t)
				work := map[bool]float64{}
				for _, off := range []bool{false, true} {
					for seed := range uint64(seeds) {
						f := newFleet(seed, 12, test.customers, test.capacity)
						f.load, f.failing, f.off = test.load, failing, off
						f.run((loadFrom + 20) * time.Second)
						for s := loadFrom; s < loadFrom+20; s++ {
							work[off] += f.work[s]
						}
					}
				}
				c.Logf("%.4f of the work without shares", work[false]/work[true])
				c.Check(work[false] >= minOfWork*work[true], qt.IsTrue)
			})
		}
	}
}
