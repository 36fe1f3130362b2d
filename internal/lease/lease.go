// Package lease implements a lease that is stored as one object of the platform. It is acquired and renewed only by conditional writes.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// Kind is the object kind of leases.
const Kind = "Lease"

// Record is the value of a lease object.
type Record struct {
	// Holder names the box that holds the lease. It is empty if the lease was released.
	Holder string `json:"holder"`
	// Address is the holder's peer address.
	Address string `json:"address"`
	// Epoch increases with each change of holder. Its high bits are the store's era, so that no epoch is used again after the store has
	// lost the latest epochs.
	Epoch uint64 `json:"epoch"`
	// Token identifies the write. If the answer to a write is lost, reading the token back shows whether the write took effect.
	Token string `json:"token"`
}

// epochShift is the position of the era's lowest bit in an epoch.
const epochShift = 32

// EpochBase returns the lower bound of the epochs of an era. The first epoch that is used is one above it.
func EpochBase(era int64) uint64 { return uint64(era) << epochShift }

// EraOf returns the era of the store in which an epoch was assigned.
func EraOf(epoch uint64) int64 { return int64(epoch >> epochShift) }

// Config configures a Lease.
type Config struct {
	API objects.API
	// Name is the name of the lease object.
	Name string
	// Holder and Address describe this box.
	Holder  string
	Address string
	// TTL is how long the lease is valid after a renewal was sent. It is also how long the lease must be seen unchanged before another box
	// may acquire it.
	TTL time.Duration
	// Reclaim lets a box acquire, without waiting, a lease that its last process held.
	Reclaim bool
	// NewToken returns a unique token for each write.
	NewToken func() string
}

// Lease is one box's view of a lease. It is for use by a single goroutine.
type Lease struct {
	cfg     Config
	record  Record
	version objects.Position
	// changedAt is when the current version was first seen, or last confirmed by the holder.
	changedAt time.Time
	// lastToken is the token of this box's last write that is known to have taken effect.
	lastToken string
	// unconfirmedTokens holds the tokens of this box's latest writes whose outcome is unknown. Reading one of these tokens back shows that
	// the write took effect. Without them, a holder with a slow store would mistake its own write for that of another box and count the
	// lease as lost.
	unconfirmedTokens []string
	// validUntil is when this box's tenure ends unless it is renewed. It is zero before the lease is acquired and after it is lost or
	// released.
	validUntil time.Time
}

// New returns a Lease whose object has not been read yet.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

// maxUnconfirmedTokens limits how many unconfirmed writes are remembered, as they may take effect late. At two or three attempts per
// second it covers more than the last five seconds.
const maxUnconfirmedTokens = 16

// Record returns the record as last read, written or reported by another box.
func (l *Lease) Record() Record { return l.record }

// IsHeld reports whether this box holds the lease at now.
func (l *Lease) IsHeld(now time.Time) bool { return now.Before(l.validUntil) }

// ValidUntil returns when this box's tenure ends unless it is renewed.
func (l *Lease) ValidUntil() time.Time { return l.validUntil }

// Refresh reads the lease from the store.
func (l *Lease) Refresh(ctx context.Context) error {
	o, err := l.cfg.API.Get(ctx, Kind, l.cfg.Name)
	if errors.Is(err, objects.ErrNotFound) {
		l.setRecord(o, Record{})
		return nil
	}
	if err != nil {
		return err
	}
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return eris.Wrapf(err, "lease: decode %s", l.cfg.Name)
	}
	l.setRecord(o, r)
	return nil
}

// setRecord records the state of the lease object. If it shows an unconfirmed write of this box, that write counts as successful.
func (l *Lease) setRecord(o objects.Object, r Record) {
	if o.Version != l.version || l.changedAt.IsZero() {
		l.changedAt = clock.Now()
	}
	l.version, l.record = o.Version, r
	if slices.Contains(l.unconfirmedTokens, r.Token) {
		l.lastToken = r.Token
	}
}

// Version returns the last known version of the lease object.
func (l *Lease) Version() objects.Position { return l.version }

// ConfirmVersion records that the holder with the given epoch reported version as the newest version and that its renewal was sent at
// renewedAt or earlier. If the epoch is that of the known record, this is equivalent to reading the lease. Without it, the wait until
// the lease is free would begin only at the first unanswered heartbeat. It does not begin with the report: a holder that can no longer
// renew the lease would prolong it by each report.
func (l *Lease) ConfirmVersion(renewedAt time.Time, epoch uint64, version objects.Position) {
	if epoch == l.record.Epoch && version >= l.version {
		l.version, l.changedAt = version, renewedAt
	}
}

// UpdateFromReport records the state of the lease that another box has read. It is ignored if its version is not newer, or if its
// epoch is lower than the known epoch.
func (l *Lease) UpdateFromReport(r Record, version objects.Position) {
	if version > l.version && r.Epoch >= l.record.Epoch {
		l.setRecord(objects.Object{Version: version}, r)
	}
}

// SetLaterHolder records the holder of a later epoch, which is known from an object that the holder has published. The lease record
// of that epoch has not been read, so the known version stays the older one: this box cannot write the lease before the holder has
// reported its version or the lease has been read.
func (l *Lease) SetLaterHolder(holder, address string, epoch uint64) {
	if epoch > l.record.Epoch {
		l.record, l.changedAt = Record{Holder: holder, Address: address, Epoch: epoch}, clock.Now()
	}
}

// IsFree reports whether this box may acquire the lease: it was released or never existed and grace has passed, it has been unchanged
// for TTL plus grace, or it belongs to this box's last process and Config.Reclaim is set.
func (l *Lease) IsFree(now time.Time, grace time.Duration) bool {
	at, known := l.FreeAt(grace)
	return known && !now.Before(at)
}

// FreeAt returns the time from which this box may acquire the lease if no other box writes it. It returns false if the state of the
// lease is not known yet.
func (l *Lease) FreeAt(grace time.Duration) (time.Time, bool) {
	switch {
	case l.changedAt.IsZero():
		return time.Time{}, false
	case l.cfg.Reclaim && l.record.Holder == l.cfg.Holder:
		return l.changedAt, true
	case l.record.Holder == "":
		return l.changedAt.Add(grace), true
	default:
		return l.changedAt.Add(l.cfg.TTL + grace), true
	}
}

// Acquire writes this box as the holder, with the next epoch. Call it only if IsFree returns true or this box is the recorded holder.
func (l *Lease) Acquire(ctx context.Context) error {
	return l.writeRecord(ctx, Record{Holder: l.cfg.Holder, Address: l.cfg.Address, Epoch: max(l.record.Epoch, EpochBase(l.version.Era())) + 1})
}

// IsOwn reports whether the last known record was written by this box in the current era of the store. After the store was restored
// from a copy it returns false, as another box may have held the lease since the copy was made.
func (l *Lease) IsOwn() bool {
	return l.lastToken != "" && l.record.Token == l.lastToken && EraOf(l.record.Epoch) == l.version.Era()
}

// Renew extends this box's tenure. It returns objects.ErrConflict if another box has written the lease since, even if this box has
// already read that write.
func (l *Lease) Renew(ctx context.Context) error {
	if !l.IsOwn() {
		l.validUntil = time.Time{}
		return objects.ErrConflict
	}
	return l.writeRecord(ctx, Record{Holder: l.cfg.Holder, Address: l.cfg.Address, Epoch: l.record.Epoch})
}

// Release releases the lease so that another box can acquire it without waiting for TTL.
func (l *Lease) Release(ctx context.Context) error {
	l.validUntil = time.Time{}
	return l.writeRecord(ctx, Record{Epoch: l.record.Epoch})
}

// writeRecord writes r unless another box has written the lease. If the conflict was caused by an earlier write of this box, it tries
// once more.
func (l *Lease) writeRecord(ctx context.Context, r Record) error {
	previousToken := l.lastToken
	err := l.putRecord(ctx, r)
	if errors.Is(err, objects.ErrConflict) && l.lastToken != previousToken && l.IsOwn() {
		return l.putRecord(ctx, r)
	}
	return err
}

// putRecord makes one conditional write. If the answer is lost, it reads the lease back to find out whether the write took effect.
func (l *Lease) putRecord(ctx context.Context, r Record) error {
	r.Token = l.cfg.NewToken()
	value, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "lease: encode")
	}
	sentAt := clock.Now()
	version, err := l.cfg.API.Put(ctx, Kind, l.cfg.Name, l.version, value)
	if errors.Is(err, objects.ErrOutcomeUnknown) {
		version, err = l.confirmWrite(ctx, r.Token)
	}
	if errors.Is(err, objects.ErrConflict) {
		return l.handleConflict(ctx, err)
	}
	if err != nil {
		l.unconfirmedTokens = append(l.unconfirmedTokens, r.Token)
		l.unconfirmedTokens = l.unconfirmedTokens[max(0, len(l.unconfirmedTokens)-maxUnconfirmedTokens):]
		return err
	}
	l.unconfirmedTokens = nil
	l.record, l.version, l.changedAt, l.lastToken = r, version, clock.Now(), r.Token
	if r.Holder != "" {
		l.validUntil = sentAt.Add(l.cfg.TTL)
	}
	return nil
}

// handleConflict reads the record of the write that caused the conflict and ends this box's tenure. If the record cannot be read and an
// earlier unconfirmed write of this box may have caused the conflict, the tenure is kept: it expires in time, as it is counted from the
// last write that was answered.
func (l *Lease) handleConflict(ctx context.Context, err error) error {
	refreshErr := l.Refresh(ctx)
	if refreshErr != nil && len(l.unconfirmedTokens) > 0 {
		return refreshErr
	}
	l.validUntil = time.Time{}
	return errors.Join(err, refreshErr)
}

// confirmWrite reads the lease back. It returns the version of the write with the given token, or objects.ErrConflict if that write did
// not take effect.
func (l *Lease) confirmWrite(ctx context.Context, token string) (objects.Position, error) {
	o, err := l.cfg.API.Get(ctx, Kind, l.cfg.Name)
	if err != nil {
		return 0, err
	}
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return 0, eris.Wrapf(err, "lease: decode %s", l.cfg.Name)
	}
	if r.Token != token || o.Version.Era() != l.version.Era() {
		return 0, objects.ErrConflict
	}
	return o.Version, nil
}
