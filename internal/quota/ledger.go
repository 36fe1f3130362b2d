package quota

import (
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/turn"
)

const (
	// maxWait bounds when a refused request is told to come back.
	maxWait = 5 * time.Second
	// maxAccounts bounds the customers that a ledger remembers; beyond it those whose buckets are full are dropped.
	maxAccounts = 8192
)

// Ask asks the accountable box for units.
type Ask struct {
	Customer string `json:"customer"`
	// Need is what one request takes, Ahead what the asker will probably need soon beside that.
	Need  float64 `json:"need"`
	Ahead float64 `json:"ahead,omitempty"`
	// Owed is what the asker has used without a grant, less what it was granted and did not use.
	Owed float64 `json:"owed,omitempty"`
}

// Answer says what was granted: nothing, Need, or Need and Ahead.
type Answer struct {
	Granted float64 `json:"granted"`
	// Wait is how long to come back after, if nothing was granted.
	Wait time.Duration `json:"wait,omitempty"`
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Bounds Bounds
}

// Ledger holds the buckets of the customers for which this box is accountable.
type Ledger struct {
	cfg      LedgerConfig
	mu       sync.Mutex
	accounts map[string]*account
}

// account is a customer's bucket, and when refused requests have been told to come back.
type account struct {
	bucket
	turns turn.Turns
}

// NewLedger returns an empty Ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{cfg: cfg, accounts: map[string]*account{}}
}

// Take answers an ask under the customer's quota.
func (l *Ledger) Take(now time.Time, q customer.Quota, a Ask) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, opening := l.cfg.Bounds.bucketOf(q)
	acct := l.account(now, a.Customer, opening)
	acct.fill(now, q)
	acct.level = min(acct.level-a.Owed, most(q))
	wait, ok := acct.take(now, q, a.Need)
	if !ok {
		own := time.Duration(a.Need / q.Rate * float64(time.Second))
		return Answer{Wait: min(wait+acct.turns.Take(now, own, maxWait), maxWait)}
	}
	if a.Ahead > 0 && acct.level >= a.Ahead {
		acct.level -= a.Ahead
		return Answer{Granted: a.Need + a.Ahead}
	}
	return Answer{Granted: a.Need}
}

func (l *Ledger) account(now time.Time, name string, opening float64) *account {
	acct := l.accounts[name]
	if acct == nil {
		if len(l.accounts) >= maxAccounts {
			l.forget(now)
		}
		acct = &account{bucket: bucket{level: opening, at: now}}
		l.accounts[name] = acct
	}
	return acct
}

// forget drops the buckets that nobody has used for longer than they take to say anything.
func (l *Ledger) forget(now time.Time) {
	for name, acct := range l.accounts {
		if now.Sub(acct.at) > maxWait {
			delete(l.accounts, name)
		}
	}
}
