package engineload

import (
	"maps"
	"time"
)

const (
	// refreshAge is the time after which an unchanged report is sent again, so that it keeps its weight at other boxes.
	refreshAge = time.Second
	// MaxUpload is the maximum number of reports in a heartbeat.
	MaxUpload = 256
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

// Select returns those reports that have changed notably since the last answered heartbeat that contained them, or whose last one is a
// second old.
func (u *Upload) Select(now time.Time, own []Sent) []Sent {
	current := map[string]bool{}
	var out []Sent
	for _, s := range own {
		current[s.Engine] = true
		last, ok := u.confirmed[s.Engine]
		if len(out) == MaxUpload || ok && now.Sub(last.trueAt) < refreshAge && !hasChangedNotably(&last.report, &s.Report) {
			continue
		}
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
