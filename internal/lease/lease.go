// Package lease holds a lease as one object of the platform, taken and renewed by conditional updates alone.
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
	// Holder names the box that holds the lease; empty means it was given up.
	Holder string `json:"holder"`
	// Address is the holder's peer address.
	Address string `json:"address"`
	// Epoch grows with each change of holder. Its high bits are the store's era, so that none is given out again after the store has lost the last ones.
	Epoch uint64 `json:"epoch"`
	// Token tells one write from another, to settle a lost answer.
	Token string `json:"token"`
}

// epochShift is where the era begins in an epoch.
const epochShift = 32

// FirstEpoch returns the number below the first epoch of an era.
func FirstEpoch(era int64) uint64 { return uint64(era) << epochShift }

// EraOf returns the era of the store in which an epoch was taken.
func EraOf(epoch uint64) int64 { return int64(epoch >> epochShift) }

// Config configures a Lease.
type Config struct {
	API objects.API
	// Name is the name of the lease object.
	Name string
	// Holder and Address describe this box.
	Holder  string
	Address string
	// TTL is how long the lease is valid after a renewal was sent, and how long it must be seen unchanged before another box takes it.
	TTL time.Duration
	// Reclaim lets a box take the lease of its own former process at once.
	Reclaim bool
	// NewToken returns a token that no other write carries.
	NewToken func() string
}

// Lease is one box's view of a lease. One goroutine uses it.
type Lease struct {
	cfg     Config
	record  Record
	version objects.Position
	// changedAt is when the present version was first seen.
	changedAt time.Time
	// token is that of our own last write that took effect.
	token string
	// unsettled holds the tokens of the last own writes of which it is not known whether they took effect. Reading one of them back shows
	// that it did; without that a holder whose store was slow would take its own write for another box's, and give up what it holds.
	unsettled []string
	// validUntil is when our own tenure ends unless renewed; zero when not held.
	validUntil time.Time
}

// New returns a Lease that has not been read yet.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

// maxUnsettled bounds the writes that may still take effect late: at two or three tries a second, those of the last five seconds and more.
const maxUnsettled = 16

// Record returns the last state read or written.
func (l *Lease) Record() Record { return l.record }

// Held reports whether this box holds the lease at now.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.validUntil) }

// ValidUntil returns when the tenure of this box ends unless it is renewed.
func (l *Lease) ValidUntil() time.Time { return l.validUntil }

// Refresh reads the lease.
func (l *Lease) Refresh(ctx context.Context) error {
	o, err := l.cfg.API.Get(ctx, Kind, l.cfg.Name)
	if errors.Is(err, objects.ErrNotFound) {
		l.saw(o, Record{})
		return nil
	}
	if err != nil {
		return err
	}
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return eris.Wrapf(err, "lease: %s", l.cfg.Name)
	}
	l.saw(o, r)
	return nil
}

func (l *Lease) saw(o objects.Object, r Record) {
	if o.Version != l.version || l.changedAt.IsZero() {
		l.changedAt = clock.Now()
	}
	l.version, l.record = o.Version, r
	if slices.Contains(l.unsettled, r.Token) {
		l.token = r.Token
	}
}

// Version returns the version of the lease object as last read or written.
func (l *Lease) Version() objects.Position { return l.version }

// Observe notes at now that the holder of an epoch itself named version as the newest. That is as good as having read the lease, as long
// as it is the holder of the record; without it the wait for a free lease would only begin at the first heartbeat that is not answered.
func (l *Lease) Observe(now time.Time, epoch uint64, version objects.Position) {
	if epoch == l.record.Epoch && version >= l.version {
		l.version, l.changedAt = version, now
	}
}

// Told takes in what another box has read of the lease. What is not newer changes nothing, nor does a holder before the one known here.
func (l *Lease) Told(r Record, version objects.Position) {
	if version > l.version && r.Epoch >= l.record.Epoch {
		l.saw(objects.Object{Version: version}, r)
	}
}

// Named takes in that the holder of a later epoch has published something under it, whose record has not been read. The version that is
// known stays the older one, so that nothing can be written before the holder has told its own or the lease has been read.
func (l *Lease) Named(holder, address string, epoch uint64) {
	if epoch > l.record.Epoch {
		l.record, l.changedAt = Record{Holder: holder, Address: address, Epoch: epoch}, clock.Now()
	}
}

// Free reports whether the lease may be taken: it was given up, never existed, or stood unchanged for TTL and grace.
func (l *Lease) Free(now time.Time, grace time.Duration) bool {
	at, known := l.FreeAt(grace)
	return known && !now.Before(at)
}

// FreeAt returns from when on the lease may be taken if nobody writes it; it is not known before the lease has been read.
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

// Take writes this box as the holder with the next epoch. Only call it when Free or when this box is the recorded holder.
func (l *Lease) Take(ctx context.Context) error {
	return l.write(ctx, Record{Holder: l.cfg.Holder, Address: l.cfg.Address, Epoch: max(l.record.Epoch, FirstEpoch(l.version.Era())) + 1})
}

// Ours reports whether the lease, as last read or written, is as this box wrote it. One that stands in a copy of the store does not count: another box may
// have held it since the copy was made.
func (l *Lease) Ours() bool {
	return l.token != "" && l.record.Token == l.token && EraOf(l.record.Epoch) == l.version.Era()
}

// Renew extends the tenure of this box. It is a conflict if another box has written since, even if this box has read that.
func (l *Lease) Renew(ctx context.Context) error {
	if !l.Ours() {
		l.validUntil = time.Time{}
		return objects.ErrConflict
	}
	return l.write(ctx, Record{Holder: l.cfg.Holder, Address: l.cfg.Address, Epoch: l.record.Epoch})
}

// GiveUp ends the tenure so that another box need not wait.
func (l *Lease) GiveUp(ctx context.Context) error {
	l.validUntil = time.Time{}
	return l.write(ctx, Record{Epoch: l.record.Epoch})
}

// write puts r if nobody wrote since, also if the lease is seen to stand as an earlier write of this box left it.
func (l *Lease) write(ctx context.Context, r Record) error {
	was := l.token
	err := l.put(ctx, r)
	if errors.Is(err, objects.ErrConflict) && l.token != was && l.Ours() {
		return l.put(ctx, r)
	}
	return err
}

// put makes one conditional write and settles a lost answer by reading back.
func (l *Lease) put(ctx context.Context, r Record) error {
	r.Token = l.cfg.NewToken()
	value, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "lease: encode")
	}
	sentAt := clock.Now()
	version, err := l.cfg.API.Put(ctx, Kind, l.cfg.Name, l.version, value)
	if errors.Is(err, objects.ErrAnswerLost) {
		version, err = l.settle(ctx, r.Token)
	}
	if errors.Is(err, objects.ErrConflict) {
		return l.conflict(ctx, err)
	}
	if err != nil {
		l.unsettled = append(l.unsettled, r.Token)
		l.unsettled = l.unsettled[max(0, len(l.unsettled)-maxUnsettled):]
		return err
	}
	l.unsettled = nil
	l.record, l.version, l.changedAt, l.token = r, version, clock.Now(), r.Token
	if r.Holder != "" {
		l.validUntil = sentAt.Add(l.cfg.TTL)
	}
	return nil
}

// conflict reads who wrote instead. While that cannot be read, and it may have been an earlier write of this box, nothing is lost yet: the
// tenure ends by itself in time, as it is counted from the last write that was answered.
func (l *Lease) conflict(ctx context.Context, err error) error {
	rerr := l.Refresh(ctx)
	if rerr != nil && len(l.unsettled) > 0 {
		return rerr
	}
	l.validUntil = time.Time{}
	return errors.Join(err, rerr)
}

// settle reads the lease back and says whether the write with token took effect.
func (l *Lease) settle(ctx context.Context, token string) (objects.Position, error) {
	o, err := l.cfg.API.Get(ctx, Kind, l.cfg.Name)
	if err != nil {
		return 0, err
	}
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return 0, eris.Wrapf(err, "lease: %s", l.cfg.Name)
	}
	if r.Token != token || o.Version.Era() != l.version.Era() {
		return 0, objects.ErrConflict
	}
	return o.Version, nil
}
