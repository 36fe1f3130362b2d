package customer_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/customer"
)

func TestCost(t *testing.T) {
	tokens := customer.Quota{Unit: customer.UnitTokens, PlainTokens: 200, Rate: 1}
	for _, tt := range []struct {
		name   string
		quota  customer.Quota
		tokens int
		named  bool
		want   float64
	}{
		{"requests", customer.Quota{Unit: customer.UnitRequests, Rate: 1}, 1500, true, 1},
		{"no unit counts requests", customer.Quota{Rate: 1}, 1500, true, 1},
		{"tokens named", tokens, 1500, true, 1500},
		{"none named", tokens, 0, false, 200},
		{"zero named", tokens, 0, true, 0},
		{"fewer than none", tokens, -5, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.Check(t, tt.quota.Cost(tt.tokens, tt.named), qt.Equals, tt.want)
		})
	}
}

func TestTable(t *testing.T) {
	c := qt.New(t)
	urgent := 0
	table := customer.NewTable([]customer.Customer{
		{Name: "mill", Keys: []customer.Digest{customer.DigestOf("k1"), customer.DigestOf("k2")}, Priority: &urgent},
		{Name: "yard", Keys: []customer.Digest{customer.DigestOf("k2"), customer.DigestOf("k3")}},
	})
	for _, tt := range []struct{ key, want string }{{"k1", "mill"}, {"k2", "mill"}, {"k3", "yard"}, {"k4", ""}, {"", ""}, {"K1", ""}} {
		who, ok := table.ByDigest(customer.DigestOf(tt.key))
		c.Assert(ok, qt.Equals, tt.want != "", qt.Commentf("%q", tt.key))
		if ok {
			c.Check(who.Name, qt.Equals, tt.want, qt.Commentf("%q", tt.key))
		}
	}
	_, ok := table.ByDigest(customer.Digest{})
	c.Check(ok, qt.IsFalse, qt.Commentf("a request without a key"))
	mill, _ := table.ByName("mill")
	yard, _ := table.ByName("yard")
	c.Check([]int{mill.Rank(2), yard.Rank(2), (*customer.Customer)(nil).Rank(2)}, qt.DeepEquals, []int{0, 2, 2})
}

func TestCheck(t *testing.T) {
	rank := 10
	for _, tt := range []struct {
		name string
		all  []customer.Customer
		want string
	}{
		{"none", nil, ""},
		{"without keys", []customer.Customer{{Name: "mill"}}, ""},
		{"without a name", []customer.Customer{{}}, `.*name must have.*`},
		{"a rank beyond the last", []customer.Customer{{Name: "mill", Priority: &rank}}, `.*priority is 10.*`},
		{"a negative rate", []customer.Customer{{Name: "mill", Quota: customer.Quota{Rate: -1}}}, `.*rate is -1.*`},
		{"an unknown unit", []customer.Customer{{Name: "mill", Quota: customer.Quota{Unit: "litres"}}}, `.*unit "litres".*`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := customer.Check(tt.all)
			if tt.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// TestKeysStayOut looks for a key in the form in which customers go from box to box.
func TestKeysStayOut(t *testing.T) {
	c := qt.New(t)
	const key = "asnmgkcuyj8pjbvk9m68"
	b, err := json.Marshal([]customer.Customer{{Name: "mill", Keys: []customer.Digest{customer.DigestOf(key)}}})
	c.Assert(err, qt.IsNil)
	c.Check(strings.Contains(string(b), key), qt.IsFalse)
	var back []customer.Customer
	c.Assert(json.Unmarshal(b, &back), qt.IsNil)
	c.Check(back[0].Keys[0].Matches(key), qt.IsTrue)
	c.Check(back[0].Keys[0].Matches(key+" "), qt.IsFalse)
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
			t.Fatalf("%q came back as %q, %v", text, out, err)
		}
	})
}
