package quota

import (
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/turn"
)

const (
	// maxWait is the longest retry delay that a refused request gets.
	maxWait = 5 * time.Second
	// maxAccounts limits the accounts of a ledger. When it is reached, the accounts that have not been used for maxWait are
	// dropped.
	maxAccounts = 8192
)

// TakeRequest requests units from the accountable box.
type TakeRequest struct {
	Customer string `json:"customer"`
	// Need is the number of units that one request takes. Ahead is the number of units that the sender will probably need soon in
	// addition.
	Need  float64 `json:"need"`
	Ahead float64 `json:"ahead,omitempty"`
	// Owed is the number of units that the sender has used without a grant, less the units that it was granted and did not use.
	Owed float64 `json:"owed,omitempty"`
}

// TakeReply is the reply to a TakeRequest. Granted is zero, Need, or the sum of Need and Ahead.
type TakeReply struct {
	Granted float64 `json:"granted"`
	// Wait is the time after which to retry if nothing was granted.
	Wait time.Duration `json:"wait,omitempty"`
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Bounds Bounds
}

// Ledger contains the buckets of the customers for which this box is accountable.
type Ledger struct {
	cfg      LedgerConfig
	mu       sync.Mutex
	accounts map[string]*account
}

// account contains a customer's bucket, and the retry times that refused requests were given.
type account struct {
	bucket
	turns turn.RetrySchedule
}

// NewLedger returns an empty Ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{cfg: cfg, accounts: map[string]*account{}}
}

// Take grants or refuses the units of a request under the customer's quota.
func (l *Ledger) Take(now time.Time, q customer.Quota, req TakeRequest) TakeReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, initialUnits := l.cfg.Bounds.bucketFor(q)
	acct := l.account(now, req.Customer, initialUnits)
	acct.refill(now, q)
	acct.level = min(acct.level-req.Owed, capacity(q))
	wait, ok := acct.take(now, q, req.Need)
	if !ok {
		ownTime := time.Duration(req.Need / q.Rate * float64(time.Second))
		return TakeReply{Wait: min(wait+acct.turns.NextDelay(now, ownTime, maxWait), maxWait)}
	}
	if req.Ahead > 0 && acct.level >= req.Ahead {
		acct.level -= req.Ahead
		return TakeReply{Granted: req.Need + req.Ahead}
	}
	return TakeReply{Granted: req.Need}
}

// account returns the account of a customer, and creates it with the initial units if it is missing.
func (l *Ledger) account(now time.Time, name string, initialUnits float64) *account {
	acct := l.accounts[name]
	if acct == nil {
		if len(l.accounts) >= maxAccounts {
			l.dropIdleAccounts(now)
		}
		acct = &account{bucket: bucket{level: initialUnits, updatedAt: now}}
		l.accounts[name] = acct
	}
	return acct
}

// dropIdleAccounts drops the accounts that have not been used for maxWait. By then, their earlier use no longer affects replies.
func (l *Ledger) dropIdleAccounts(now time.Time) {
	for name, acct := range l.accounts {
		if now.Sub(acct.updatedAt) > maxWait {
			delete(l.accounts, name)
		}
	}
}
