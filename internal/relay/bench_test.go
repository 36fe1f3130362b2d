package relay

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/quota"
	"github.com/bellgap/bellgap/internal/route"
)

// soleBoxCell is a cell with a single box, which is accountable for all customers.
type soleBoxCell struct{}

func (soleBoxCell) BoxFor(string) (netip.AddrPort, bool, bool) { return netip.AddrPort{}, true, true }
func (soleBoxCell) Boxes() int                                 { return 1 }

// BenchmarkCustomer measures the cost per request of customer identification and quotas, without the call to the
// accountable box. The cost consists of the key's digest, its lookups when the request arrives and before it is sent,
// and the units. A route without keys serves as the baseline.
func BenchmarkCustomer(b *testing.B) {
	routing := keyedRouting(nil)
	for i := range 16 {
		routing.Customers = append(routing.Customers, customer.Customer{
			Name: fmt.Sprint("customer-", i), Keys: []customer.Digest{customer.NewDigest(fmt.Sprint("key-", i))},
			Quota: customer.Quota{Unit: customer.UnitTokens, Rate: 1e12, Burst: 1e12},
		})
	}
	table := route.New(routing)
	for _, open := range []bool{true, false} {
		b.Run(fmt.Sprint("open=", open), func(b *testing.B) {
			rt, _ := table.Lookup("h", "/x")
			rt.Open = open
			now := time.Now()
			r := New(Config{
				AgeLimits: ConfigAgeLimits{MaxForKeys: time.Hour, ConfirmedAt: func() time.Time { return now }},
				Quotas:    quota.NewClient(quota.ClientConfig{Accountable: soleBoxCell{}, Ledger: quota.NewLedger(quota.LedgerConfig{}), Scope: tally.NoopScope}),
			})
			in, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://h/x", nil)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				q := &request{receivedAt: now, incoming: in, route: rt, head: Head{Key: "key-7", Prompt: 1460, Output: 80, HasTokenCounts: true}}
				if rerr := r.identifyCustomer(q, confirmedRouting{table: table, confirmedAt: now}); rerr != nil {
					b.Fatal(rerr)
				}
				if rerr := r.chargeUnits(q); rerr != nil {
					b.Fatal(rerr)
				}
				if !open {
					if rerr := r.checkKey(q, confirmedRouting{table: table, confirmedAt: now}); rerr != nil {
						b.Fatal(rerr)
					}
				}
			}
		})
	}
}
