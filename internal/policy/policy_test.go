package policy_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/policy"
)

func TestNewSwitchesMechanismsOff(t *testing.T) {
	c := qt.New(t)
	p, err := policy.New([]policy.Mechanism{policy.CrowdDetection})
	c.Assert(err, qt.IsNil)
	for _, m := range policy.Mechanisms() {
		c.Check(p.IsEnabled(m), qt.Equals, m != policy.CrowdDetection)
		c.Check(policy.Policy{}.IsEnabled(m), qt.IsTrue)
	}
	_, err = policy.New([]policy.Mechanism{"crowd"})
	c.Check(err, qt.ErrorMatches, `policy: unknown mechanism "crowd"; known mechanisms: copies, .*`)
}
