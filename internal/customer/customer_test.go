package customer_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/customer"
)

func TestCost(t *testing.T) {
	tokens := customer.Quota{Unit: customer.UnitTokens, DefaultTokens: 200, Rate: 1}
	for _, tt := range []struct {
		name          string
		quota         customer.Quota
		tokens        int
		hasTokenCount bool
		want          float64
	}{
		{"requests", customer.Quota{Unit: customer.UnitRequests, Rate: 1}, 1500, true, 1},
		{"no unit, requests are counted", customer.Quota{Rate: 1}, 1500, true, 1},
		{"token count given", tokens, 1500, true, 1500},
		{"no token count", tokens, 0, false, 200},
		{"zero token count", tokens, 0, true, 0},
		{"negative token count", tokens, -5, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.Check(t, tt.quota.Cost(tt.tokens, tt.hasTokenCount), qt.Equals, tt.want)
		})
	}
}

func TestTable(t *testing.T) {
	c := qt.New(t)
	urgent := 0
	table := customer.NewTable([]customer.Customer{
		{Name: "mill", Keys: []customer.Digest{customer.NewDigest("k1"), customer.NewDigest("k2")}, Priority: &urgent},
		{Name: "yard", Keys: []customer.Digest{customer.NewDigest("k2"), customer.NewDigest("k3")}},
	})
	for _, tt := range []struct{ key, want string }{{"k1", "mill"}, {"k2", "mill"}, {"k3", "yard"}, {"k4", ""}, {"", ""}, {"K1", ""}} {
		found, ok := table.ByDigest(customer.NewDigest(tt.key))
		c.Assert(ok, qt.Equals, tt.want != "", qt.Commentf("%q", tt.key))
		if ok {
			c.Check(found.Name, qt.Equals, tt.want, qt.Commentf("%q", tt.key))
		}
	}
	_, ok := table.ByDigest(customer.Digest{})
	c.Check(ok, qt.IsFalse, qt.Commentf("zero digest of a request without a key"))
	mill, _ := table.ByName("mill")
	yard, _ := table.ByName("yard")
	c.Check([]int{mill.Rank(2), yard.Rank(2), (*customer.Customer)(nil).Rank(2)}, qt.DeepEquals, []int{0, 2, 2})
}

func TestCheck(t *testing.T) {
	rank := 10
	for _, tt := range []struct {
		name      string
		customers []customer.Customer
		want      string
	}{
		{"none", nil, ""},
		{"without keys", []customer.Customer{{Name: "mill"}}, ""},
		{"without a name", []customer.Customer{{}}, `.*name must have.*`},
		{"rank above the maximum", []customer.Customer{{Name: "mill", Priority: &rank}}, `.*priority is 10.*`},
		{"negative rate", []customer.Customer{{Name: "mill", Quota: customer.Quota{Rate: -1}}}, `.*rate is -1.*`},
		{"unknown unit", []customer.Customer{{Name: "mill", Quota: customer.Quota{Unit: "litres"}}}, `.*unit "litres".*`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := customer.Check(tt.customers)
			if tt.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// TestKeysAreNotEncoded checks that the JSON form of customers, which boxes send to each other, contains digests and no keys.
func TestKeysAreNotEncoded(t *testing.T) {
	c := qt.New(t)
	const key = "asnmgkcuyj8pjbvk9m68"
	b, err := json.Marshal([]customer.Customer{{Name: "mill", Keys: []customer.Digest{customer.NewDigest(key)}}})
	c.Assert(err, qt.IsNil)
	c.Check(strings.Contains(string(b), key), qt.IsFalse)
	var decoded []customer.Customer
	c.Assert(json.Unmarshal(b, &decoded), qt.IsNil)
	c.Check(decoded[0].Keys[0].Matches(key), qt.IsTrue)
	c.Check(decoded[0].Keys[0].Matches(key+" "), qt.IsFalse)
}

func FuzzDigestText(f *testing.F) {
	f.Add("")
	f.Add(strings.Repeat("0", 64))
	f.Add(strings.Repeat("g", 64))
	f.Add("asnmgkcuyj8pjbvk9m68")
	f.Fuzz(func(t *testing.T, text string) {
		var d customer.Digest
		if err := d.UnmarshalText([]byte(text)); err != nil {
			return
		}
		out, err := d.MarshalText()
		if err != nil || (!d.IsZero() && !strings.EqualFold(string(out), text)) {
			t.Fatalf("text %q was encoded again as %q, error %v", text, out, err)
		}
	})
}

// TestHasComparableRates guards against weights from rates in different units.
func TestHasComparableRates(t *testing.T) {
	declared := func(unit customer.Unit, rate float64) customer.Customer {
		return customer.Customer{Quota: customer.Quota{Unit: unit, Rate: rate}}
	}
	for _, test := range []struct {
		name      string
		customers []customer.Customer
		want      bool
	}{
		{"all in tokens", []customer.Customer{declared(customer.UnitTokens, 10), declared(customer.UnitTokens, 20)}, true},
		{"requests by default", []customer.Customer{declared("", 10), declared(customer.UnitRequests, 20)}, true},
		{"two units", []customer.Customer{declared(customer.UnitTokens, 10), declared(customer.UnitRequests, 20)}, false},
		{"one without a rate", []customer.Customer{declared(customer.UnitTokens, 10), declared(customer.UnitTokens, 0)}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, customer.NewTable(test.customers).HasComparableRates(), qt.Equals, test.want)
		})
	}
}
