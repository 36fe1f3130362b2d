package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/gather"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/part"
)

// Paths of the protocol.
const (
	// pathReport receives cases on a box that keeps them. That box notifies all others if necessary. pathNotify receives cases on
	// any box.
	pathReport = "/peer/quarantine/report"
	pathNotify = "/peer/quarantine/tell"
)

const (
	// minCrashesToNotifyAll is the number of crashed endpoints from which a case is sent to every box. A case with a single crash
	// is sent only to the two boxes that keep it: when a sixth of all engines crash at once for another reason, thousands of
	// requests get a case, and hardly any of them gets a second crash.
	minCrashesToNotifyAll = 2
	// notifyTimeout limits a notification: a round trip between zones takes 3 ms, on a busy box about 50 ms. reportTimeout limits
	// a report including the notifications that it causes.
	notifyTimeout = 250 * time.Millisecond
	reportTimeout = 600 * time.Millisecond
	// maxConcurrentCalls limits the boxes that are called at the same time.
	maxConcurrentCalls = 32
	// repairInterval is the interval at which a box sends the coordinator the held requests that are missing from the cell map.
	repairInterval = time.Second
	// maxBatch limits the cases of a message, maxQueued those that wait for a receiver.
	maxBatch  = 64
	maxQueued = 512
	// minNotifyInterval and maxNotifyRate limit the messages and the bytes per second that a box sends to all others.
	minNotifyInterval = 100 * time.Millisecond
	maxNotifyRate     = 500 << 10
	// maxNotifyRounds limits how often cases are sent again because the replies to them contained more.
	maxNotifyRounds = 2
	// maxNotifyWait is how long a box that keeps a case waits for the other boxes to be notified before it replies to a report. The
	// sender would otherwise take it for lost and notify all boxes as well.
	maxNotifyWait   = 400 * time.Millisecond
	maxMessageBytes = 256 << 10
)

// allOtherBoxes is the receiver of batches that stands for all other boxes.
var allOtherBoxes netip.AddrPort

// Fleet provides the boxes of the fleet and the held requests that they publish. It separates this package from the membership.
type Fleet interface {
	// Keepers returns the other boxes that keep the case of a fingerprint, and whether this box also keeps it.
	Keepers(f Fingerprint) (others []netip.AddrPort, here bool)
	// OtherBoxes returns the addresses of all other boxes that can be called.
	OtherBoxes() []netip.AddrPort
	// Coordinator returns the address of the box that publishes the cell map. It returns false if this box publishes it or none
	// is known.
	Coordinator() (netip.AddrPort, bool)
	// PublishedHeld returns the held requests in the newest cell maps, and whether the maps have changed since the last call.
	PublishedHeld() (all []Held, changed bool)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP     *http.Client
	Register *Register
	Fleet    Fleet
	Scope    tally.Scope
	// IsDown reports whether nothing listens at the address of an endpoint; nil asks the endpoint itself. A refused connection alone does not show
	// it, as the box may be cut off from its endpoints.
	IsDown func(ctx context.Context, address netip.AddrPort) bool
	// Disabled disables the quarantine: no request is held and no crash is counted.
	Disabled bool
}

// Client counts, together with the other boxes, the endpoints that crash while they run a request. A hash selects two boxes that
// keep each case, so that all boxes share one count, which survives the loss of a box. From the second crash on, every box knows
// the case. Once the request is held, the cell map contains it, so that it stays held after a restart of all boxes.
type Client struct {
	cfg  ClientConfig
	done chan struct{}
	// batches sends the cases with the given fingerprints to boxes that keep them, and to all others.
	batches *gather.Combiner[netip.AddrPort, Fingerprint]
	// probes combines concurrent probes of the same endpoint.
	probes singleflight.Group
	// mapsMu is locked while the newest cell maps are applied.
	mapsMu sync.Mutex
}

// NewClient returns a Client. The caller must run its Serve method.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, done: make(chan struct{})}
	c.batches = gather.NewCombiner(gather.CombinerConfig[netip.AddrPort, Fingerprint]{MaxBatch: maxBatch, MaxQueued: maxQueued, Send: c.sendBatch})
	return c
}

// Done returns a channel that is closed when Serve has returned.
func (c *Client) Done() <-chan struct{} { return c.done }

// CheckHeld reports whether a request is held, and why.
func (c *Client) CheckHeld(f Fingerprint) (v Verdict, held bool) {
	if c.cfg.Disabled {
		return v, false
	}
	c.applyPublishedMaps()
	return c.cfg.Register.CheckHeld(clock.Now(), f)
}

// ToPublish returns the held requests for the next cell map. It is called on the box that publishes the map.
func (c *Client) ToPublish() []Held {
	c.applyPublishedMaps()
	return c.cfg.Register.ToPublish(clock.Now())
}

// Inherit merges the held requests of the cell map from which this box continues as the coordinator.
func (c *Client) Inherit(all []Held) {
	for _, h := range all {
		c.cfg.Register.Merge(clock.Now(), h.toCase())
	}
}

// Cases returns the cases of requests whose crashes count, most crashes first.
func (c *Client) Cases() []Case {
	c.applyPublishedMaps()
	return c.cfg.Register.Cases()
}

// applyPublishedMaps applies the held requests of the newest cell maps. It is called before each lookup, so that no request is
// admitted on the basis of an outdated map.
func (c *Client) applyPublishedMaps() {
	c.mapsMu.Lock()
	defer c.mapsMu.Unlock()
	if all, changed := c.cfg.Fleet.PublishedHeld(); changed {
		c.cfg.Register.ApplyPublished(clock.Now(), all)
	}
}

// RecordCrash records that an endpoint crashed while it ran a request. It returns after the boxes that keep the case have been
// notified. From the second crash on, it returns after all boxes have been notified, because the caller may retry at any box once
// it gets the error.
func (c *Client) RecordCrash(ctx context.Context, s Suspect, e Endpoint) {
	merged, grew := c.cfg.Register.RecordCrash(clock.Now(), s, e)
	if !grew || merged.CrashCount() == 0 {
		return
	}
	c.cfg.Scope.Counter("quarantine_endpoints_ended").Inc(1)
	klog.InfoS("endpoint crashed while it ran the request", "fingerprint", s.Fingerprint,
		"request", s.Description, "endpoint", e.Name, "ended", merged.CrashCount())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	c.report(ctx, s.Fingerprint, s.Fingerprint)
}

// recordPartCrashes does for the parts of a request's prompt what RecordCrash does for the request.
func (c *Client) recordPartCrashes(ctx context.Context, s Suspect, e Endpoint) {
	grown := c.cfg.Register.RecordPartCrashes(clock.Now(), s, e)
	if len(grown) == 0 {
		return
	}
	for _, merged := range grown {
		klog.V(1).InfoS("endpoint crashed while it ran a request with the prompt part", "part", merged.Part, "endpoint", e.Name, "ended", merged.CrashCount())
	}
	byKey := map[Fingerprint][]Fingerprint{}
	for _, merged := range grown {
		key := partKeeperKey(merged.Fingerprint)
		byKey[key] = append(byKey[key], merged.Fingerprint)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	var group errgroup.Group
	for key, parts := range byKey {
		group.Go(func() error {
			c.report(ctx, key, parts...)
			return nil
		})
	}
	// The functions of the group return no errors.
	_ = group.Wait()
}

// partKeeperGroups is the number of groups of parts whose cases the same boxes keep.
const partKeeperGroups = 8

// partKeeperKey returns the fingerprint that selects the boxes that keep the case of a part.
func partKeeperKey(part Fingerprint) Fingerprint {
	return Identity{Method: partMethod, Query: strconv.Itoa(int(part[0] % partKeeperGroups))}.Fingerprint()
}

// report sends cases to the boxes that keep them, which notify all others if necessary. If this box keeps them or no keeper answers, it notifies them
// itself.
func (c *Client) report(ctx context.Context, keeperKey Fingerprint, cases ...Fingerprint) {
	others, here := c.cfg.Fleet.Keepers(keeperKey)
	var lost atomic.Int64
	var group errgroup.Group
	for _, address := range others {
		group.Go(func() error {
			if err := c.batches.Send(ctx, address, cases...); errors.Is(err, gather.ErrNotDelivered) {
				lost.Add(1)
			}
			return nil
		})
	}
	// The functions of the group return no errors.
	_ = group.Wait()
	if here || int(lost.Load()) == len(others) {
		c.notifyAll(ctx, cases)
	}
}

// RecordSuccess records that an endpoint sent a complete answer to a request, and so did not crash while it ran the request.
func (c *Client) RecordSuccess(f Fingerprint) {
	if c.cfg.Disabled {
		return
	}
	c.recordSuccess(f, f)
}

// recordSuccess records a complete answer to a request or to one with a part. keeperKey selects the boxes that keep the case.
func (c *Client) recordSuccess(f, keeperKey Fingerprint) {
	if _, cleared := c.cfg.Register.RecordSuccess(clock.Now(), f); !cleared {
		return
	}
	others, here := c.cfg.Fleet.Keepers(keeperKey)
	if here {
		others = append(others, allOtherBoxes)
	}
	for _, address := range others {
		if c.batches.Add(address, f) != nil {
			// The crashes count on until they expire.
			c.cfg.Scope.Counter("quarantine_clears_dropped").Inc(1)
		}
	}
}

// RanSuccessfully reports whether a request recently ran successfully through this box, and so is not suspected of crashing
// endpoints. It returns true if the quarantine is off.
func (c *Client) RanSuccessfully(f Fingerprint) bool {
	return c.cfg.Disabled || c.cfg.Register.RanSuccessfully(clock.Now(), f)
}

// Release clears the crashes of a request on all boxes, so that it is no longer held. It returns false if no crash counted
// against the request.
func (c *Client) Release(ctx context.Context, f Fingerprint) bool {
	c.applyPublishedMaps()
	cleared, ok := c.cfg.Register.Clear(clock.Now(), f)
	if !ok {
		return false
	}
	klog.InfoS("quarantined request released by an operator", "fingerprint", f, "request", cleared.Description)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	c.send(ctx, c.cfg.Fleet.OtherBoxes(), pathNotify, []Case{cleared})
	return true
}

// mergeAndNotify merges cases that another box reported to this box, which keeps them. It notifies all boxes of the changed cases
// and returns the merged cases.
func (c *Client) mergeAndNotify(ctx context.Context, received []Case) []Case {
	merged := c.merge(received)
	fingerprints := make([]Fingerprint, len(merged))
	for i := range merged {
		fingerprints[i] = merged[i].Fingerprint
	}
	ctx, cancel := context.WithTimeout(ctx, maxNotifyWait)
	defer cancel()
	c.notifyAll(ctx, fingerprints)
	return c.cfg.Register.Lookup(clock.Now(), fingerprints)
}

// merge merges received cases into the register and returns the merged cases.
func (c *Client) merge(received []Case) (merged []Case) {
	for _, update := range received {
		current, _ := c.cfg.Register.Merge(clock.Now(), update)
		merged = append(merged, current)
	}
	return merged
}

// notifyAll returns after all other boxes have been notified of the cases with at least minCrashesToNotifyAll crashes.
func (c *Client) notifyAll(ctx context.Context, cases []Fingerprint) {
	due := c.cfg.Register.Untold(clock.Now(), cases)
	if len(due) == 0 {
		return
	}
	fingerprints := make([]Fingerprint, len(due))
	for i := range due {
		fingerprints[i] = due[i].Fingerprint
	}
	if err := c.batches.Send(ctx, allOtherBoxes, fingerprints...); err != nil {
		c.cfg.Scope.Counter("quarantine_untold").Inc(1)
		klog.V(1).InfoS("quarantine cases not delivered in time", "cases", len(due), "err", err)
	}
}

// sendBatch sends the cases with some fingerprints, as they are now, to a box that keeps them or to all other boxes.
func (c *Client) sendBatch(ctx context.Context, to netip.AddrPort, fingerprints []Fingerprint) (delivered bool, pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if to == allOtherBoxes {
		return true, c.sendToAll(ctx, fingerprints)
	}
	return c.send(ctx, []netip.AddrPort{to}, pathReport, c.cfg.Register.Lookup(clock.Now(), fingerprints)) == 1, 0
}

// sendToAll sends all other boxes those cases of which they have not been notified, and returns the time until the next such message. A box
// at which a request recently ran successfully clears its case in the reply. sendToAll then sends the cleared case to all boxes.
func (c *Client) sendToAll(ctx context.Context, fingerprints []Fingerprint) (pause time.Duration) {
	start := clock.Now()
	for range maxNotifyRounds {
		due := c.cfg.Register.Untold(clock.Now(), fingerprints)
		if len(due) == 0 {
			break
		}
		others := c.cfg.Fleet.OtherBoxes()
		c.send(ctx, others, pathNotify, due)
		c.cfg.Register.MarkTold(due)
		pause += max(minNotifyInterval, time.Duration(len(others)*sizeOf(due))*time.Second/maxNotifyRate)
	}
	return pause - clock.Now().Sub(start)
}

// sizeOf returns the number of bytes of a message with cases.
func sizeOf(cases []Case) int {
	encoded, err := json.Marshal(cases)
	if err != nil {
		return 0
	}
	return len(encoded)
}

// send sends cases to boxes and merges the cases of their replies. It returns the number of boxes that replied.
func (c *Client) send(ctx context.Context, addresses []netip.AddrPort, path string, cases []Case) (answered int) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	var mu sync.Mutex
	for _, address := range addresses {
		group.Go(func() error {
			reply, err := c.call(ctx, address, path, cases)
			if err != nil {
				c.cfg.Scope.Counter("quarantine_untold").Inc(1)
				klog.V(1).InfoS("quarantine cases not delivered to box", "box", address, "path", path, "cases", len(cases), "err", err)
				return nil
			}
			c.merge(reply)
			mu.Lock()
			defer mu.Unlock()
			answered++
			return nil
		})
	}
	// The functions of the group always return nil.
	_ = group.Wait()
	return answered
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, path string, cases []Case) ([]Case, error) {
	timeout := notifyTimeout
	if path == pathReport {
		timeout = reportTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply []Case
	err := httpx.CallOnce(ctx, c.cfg.HTTP, "http://"+address.String()+path, cases, &reply)
	return reply, eris.Wrap(err, "quarantine: call to another box failed")
}

// Serve sends cases to other boxes, reports held requests that are missing from the cell map, and removes expired cases until ctx is
// done.
func (c *Client) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, c.done)
	var group errgroup.Group
	group.Go(func() error { return c.batches.Serve(ctx) })
	for part.Sleep(ctx, repairInterval) {
		c.reportUnpublished(ctx)
	}
	return group.Wait()
}

// reportUnpublished sends the coordinator the held requests that are missing from its map. They are missing if the coordinator
// was unreachable when the requests became held, or if it is new.
func (c *Client) reportUnpublished(ctx context.Context) {
	c.applyPublishedMaps()
	c.cfg.Register.Expire(clock.Now())
	missing := c.cfg.Register.UnpublishedCases()
	if address, ok := c.cfg.Fleet.Coordinator(); ok && len(missing) > 0 {
		// The rest follows with the next reports.
		c.send(ctx, []netip.AddrPort{address}, pathNotify, missing[:min(len(missing), maxBatch)])
	}
}
