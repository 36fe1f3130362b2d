package engineload

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

const (
	// separator separates the fields of an encoded Sent.
	separator = " "
	// fieldBase is the base of the encoded numbers.
	fieldBase = 36
	// fieldCount is the number of fields. A later build may append more.
	fieldCount = 13
)

// MarshalJSON encodes the report as one string of numbers in base 36, with durations in milliseconds. This takes 40 to 60 B; a JSON
// object takes 200 B, of which most are field names, and would leave room for a quarter of the reports in a heartbeat reply.
func (s Sent) MarshalJSON() ([]byte, error) {
	fields := append(make([]string, 0, fieldCount), s.Engine)
	for _, n := range []int64{
		s.Started, int64(s.Epoch), int64(s.Sequence), int64(s.PrefillRate), int64(s.Backlog), int64(s.Running), int64(s.Waiting), int64(s.FreeSlots),
		s.SlotWait.Milliseconds(), s.LoadTime.Milliseconds(), s.EventGap.Milliseconds(), s.Age.Milliseconds(),
	} {
		field := ""
		if n != 0 {
			field = strconv.FormatInt(n, fieldBase)
		}
		fields = append(fields, field)
	}
	return json.Marshal(strings.Join(fields, separator))
}

// UnmarshalJSON decodes a report. A malformed one becomes a report without an engine, which Table.Record counts as invalid: one box
// with malformed reports must not make the other boxes reject its heartbeats.
func (s *Sent) UnmarshalJSON(b []byte) error {
	*s = Sent{}
	var encoded string
	if json.Unmarshal(b, &encoded) != nil {
		return nil
	}
	fields := strings.Split(encoded, separator)
	if len(fields) < fieldCount {
		return nil
	}
	var numbers [fieldCount]int64
	for i := 1; i < fieldCount; i++ {
		if fields[i] == "" {
			continue
		}
		n, err := strconv.ParseInt(fields[i], fieldBase, 64)
		if err != nil {
			return nil
		}
		numbers[i] = n
	}
	*s = Sent{Report: Report{
		Engine: fields[0], Started: numbers[1], Epoch: uint64(numbers[2]), Sequence: uint64(numbers[3]), PrefillRate: float64(numbers[4]),
		Backlog: int(numbers[5]), Running: int(numbers[6]), Waiting: int(numbers[7]), FreeSlots: int(numbers[8]),
		SlotWait: milliseconds(numbers[9]), LoadTime: milliseconds(numbers[10]), EventGap: milliseconds(numbers[11]),
	}, Age: milliseconds(numbers[12])}
	return nil
}

// milliseconds converts a number of milliseconds to a duration. Numbers outside of the possible range become an invalid duration
// instead of overflowing to a valid one.
func milliseconds(n int64) time.Duration {
	if n < 0 || n > maxDuration.Milliseconds() {
		return -1
	}
	return time.Duration(n) * time.Millisecond
}
