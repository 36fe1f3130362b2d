package engineload

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// refreshAge is the time after which an unchanged report is sent again, so that it keeps its weight at other boxes.
	refreshAge = time.Second
	// MaxUpload is the maximum number of reports in a heartbeat.
	MaxUpload = 256
	// changeBytes limits the reports in a heartbeat that are sent before refreshAge because they have changed. During a surge the figures
	// of all engines change notably with every heartbeat.
	changeBytes = 120
)

// Upload selects which of a box's own reports its heartbeats carry. It is not safe for concurrent use.
type Upload struct {
	confirmed map[string]uploaded
	// unconfirmed holds the reports of the heartbeats that are not answered yet.
	unconfirmed map[string]uploaded
}

// uploaded is a report that was sent.
type uploaded struct {
	report Report
	trueAt time.Time
}

// NewUpload returns an Upload.
func NewUpload() *Upload {
	return &Upload{confirmed: map[string]uploaded{}, unconfirmed: map[string]uploaded{}}
}

// Select returns those reports whose last ones in an answered heartbeat are a second old, and as far as changeBytes allows those that
// have changed notably since, the oldest first.
func (u *Upload) Select(now time.Time, own []Sent) []Sent {
	slices.SortFunc(own, func(a, b Sent) int {
		return cmp.Or(u.confirmed[a.Engine].trueAt.Compare(u.confirmed[b.Engine].trueAt), strings.Compare(a.Engine, b.Engine))
	})
	current := map[string]bool{}
	var out []Sent
	size := 0
	for _, s := range own {
		current[s.Engine] = true
		last := u.confirmed[s.Engine]
		isDue := now.Sub(last.trueAt) >= refreshAge
		if len(out) == MaxUpload || !isDue && (size >= changeBytes || !hasChangedNotably(&last.report, &s.Report)) {
			continue
		}
		size += s.size()
		u.unconfirmed[s.Engine] = uploaded{s.Report, now.Add(-s.Age)}
		out = append(out, s)
	}
	isGone := func(engine string, _ uploaded) bool { return !current[engine] }
	maps.DeleteFunc(u.confirmed, isGone)
	maps.DeleteFunc(u.unconfirmed, isGone)
	return out
}

// Confirm records that the last heartbeat was answered.
func (u *Upload) Confirm() {
	maps.Copy(u.confirmed, u.unconfirmed)
	clear(u.unconfirmed)
}
