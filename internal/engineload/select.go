package engineload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReports is the maximum number of reports in a reply.
	maxReports = 32
	// bytesPerHeartbeat limits the reports in a reply to one heartbeat. At 2.6 heartbeats per second this is 1.4 KB/s, which leaves 0.6
	// of the 2 KB/s for the reports that a box sends itself and for its share of the batches.
	bytesPerHeartbeat = 520
	// maxSendAge is the age up to which a report is sent to other boxes. An older one would lose its weight soon after its arrival.
	maxSendAge = 2 * time.Second
	// otherShare is one of how many places in a reply goes to engines without free slots. Without these places the reports of full
	// engines would age out at the receivers of a large cell, which would then count as unknown instead of full.
	otherShare = 4
	// maxReceivers is the maximum number of receivers that a Table remembers. The coordinator of 400 boxes has 20 aggregators, and an
	// aggregator has up to 27 boxes. Each receiver takes 8 KB with 1,024 engines.
	maxReceivers = 64
)

// receivers holds what was sent to each receiver.
type receivers struct {
	byName map[string]*receiver
}

// receiver holds, by the position of the entry in the table, the times at which the reports that were last sent to a box were true, in
// Unix nanoseconds. A reply may be lost; the box then lacks its reports until the owners' next ones, a second later.
type receiver struct {
	sent   []int64
	usedAt time.Time
}

// get returns the receiver with a name. If there are too many, it forgets the one that was not used for the longest time.
func (r *receivers) get(now time.Time, name string) *receiver {
	known, ok := r.byName[name]
	if !ok {
		if len(r.byName) >= maxReceivers {
			r.forgetOldest()
		}
		known = &receiver{}
		r.byName[name] = known
	}
	known.usedAt = now
	return known
}

func (r *receivers) forgetOldest() {
	oldest := ""
	for name, candidate := range r.byName {
		if oldest == "" || candidate.usedAt.Before(r.byName[oldest].usedAt) {
			oldest = name
		}
	}
	delete(r.byName, oldest)
}

// candidate is an entry that a receiver lacks.
type candidate struct {
	position int
	free     bool
	// sent is the time of the report that the receiver has, trueAt that of the report that it lacks.
	sent, trueAt int64
}

// Select returns the reports that the box named receiver lacks, for a reply that answers a number of heartbeats: engines with free slots
// first, then those whose reports at the receiver are oldest. A quarter of the places goes to engines without free slots. It records
// them as sent. The table remembers for each receiver the times of the reports that it has sent to it, so that a receiver need not
// describe what it has.
func (t *Table) Select(now time.Time, receiver string, heartbeats int) []Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.receivers.get(now, receiver)
	to.sent = append(to.sent, make([]int64, len(t.entries)-len(to.sent))...)
	var free, other []candidate
	for i := range t.entries {
		e := &t.entries[i]
		c := candidate{i, e.report.FreeSlots > 0, to.sent[i], e.trueAt.UnixNano()}
		switch {
		case c.trueAt <= c.sent || now.Sub(e.trueAt) >= maxSendAge:
		case c.free:
			free = append(free, c)
		default:
			other = append(other, c)
		}
	}
	return t.fill(now, to, rank(free, other), max(1, heartbeats)*bytesPerHeartbeat)
}

// rank merges the candidates: of four places, three are for engines with free slots and one for the others. Each group is ordered by
// the age of the report at the receiver.
func rank(free, other []candidate) []candidate {
	for _, group := range [][]candidate{free, other} {
		slices.SortFunc(group, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.trueAt, a.trueAt))
		})
	}
	ranked := make([]candidate, 0, len(free)+len(other))
	for len(free)+len(other) > 0 {
		takesOther := len(ranked)%otherShare == otherShare-1
		if len(other) > 0 && (takesOther || len(free) == 0) {
			ranked, other = append(ranked, other[0]), other[1:]
			continue
		}
		if len(free) == 0 {
			break
		}
		ranked, free = append(ranked, free[0]), free[1:]
	}
	return ranked
}

// fill returns the reports of the first candidates, up to the limits of number and bytes. The caller holds the lock.
func (t *Table) fill(now time.Time, to *receiver, ranked []candidate, maxBytes int) []Sent {
	var out []Sent
	size := 0
	for _, c := range ranked {
		s := t.entries[c.position].sent(now)
		size += s.size()
		if len(out) == maxReports || size > maxBytes {
			break
		}
		to.sent[c.position] = c.trueAt
		out = append(out, s)
	}
	return out
}

// size returns the number of bytes of the encoded report, with a comma.
func (s Sent) size() int {
	b, err := s.MarshalJSON()
	if err != nil {
		return bytesPerHeartbeat
	}
	return len(b) + 1
}
