package engineload

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// separator separates the fields of an encoded Sent: engine, start, both halves of the epoch, sequence and quantities. A later build
	// may append more. The halves of an epoch are small numbers, its upper one is the era of the store.
	separator  = " "
	fieldCount = 6
	halfBits   = 32
	// numberBase is the base of encoded numbers.
	numberBase = 36
	// quantityStep is the ratio of two successive encoded quantities. They are off by less than 1%, and numbers up to 60 are exact. Two
	// digits reach 2e8.
	quantityStep   = 1.015
	quantityDigits = 2
	quantities     = 10
	// minQuantities is the number of quantities that every build sends. The later ones are zero if they are missing.
	minQuantities = 9
	// impossible is the encoded form of a quantity that cannot be encoded, such as a negative one.
	impossible = "--"
)

// MarshalJSON encodes the report as one string of about 50 B. A JSON object takes 200 B, of which most are field names, and would leave
// room for a quarter of the reports in a heartbeat reply.
func (s Sent) MarshalJSON() ([]byte, error) {
	var b strings.Builder
	b.WriteString(s.Engine + separator)
	for _, n := range []uint64{uint64(s.Started), s.Epoch >> halfBits, s.Epoch & math.MaxUint32, s.Sequence} {
		b.WriteString(strconv.FormatUint(n, numberBase) + separator)
	}
	for _, q := range [quantities]float64{
		s.PrefillRate, float64(s.Backlog), float64(s.Running), float64(s.Waiting), float64(s.FreeSlots),
		toMilliseconds(s.SlotWait), toMilliseconds(s.LoadTime), toMilliseconds(s.EventGap), toMilliseconds(s.Age), s.UndisturbedRate,
	} {
		b.WriteString(encodeQuantity(q))
	}
	return json.Marshal(b.String())
}

// UnmarshalJSON decodes a report. A malformed one becomes a report without an engine, which Table.Record counts as invalid: one box
// with malformed reports must not make the other boxes reject its heartbeats.
func (s *Sent) UnmarshalJSON(b []byte) error {
	*s = Sent{}
	var encoded string
	if err := json.Unmarshal(b, &encoded); err != nil {
		return nil //nolint:nilerr // A malformed report is counted by the table.
	}
	fields := strings.Split(encoded, separator)
	if len(fields) < fieldCount || len(fields[fieldCount-1]) < minQuantities*quantityDigits {
		return nil
	}
	var numbers [fieldCount - 2]uint64
	for i := range numbers {
		n, err := strconv.ParseUint(fields[i+1], numberBase, 64)
		if err != nil {
			return nil //nolint:nilerr // See above.
		}
		numbers[i] = n
	}
	var q [quantities]float64
	for i := range min(quantities, len(fields[fieldCount-1])/quantityDigits) {
		var ok bool
		if q[i], ok = decodeQuantity(fields[fieldCount-1][i*quantityDigits:][:quantityDigits]); !ok {
			return nil
		}
	}
	*s = Sent{Report: Report{
		Engine: fields[0], Started: int64(numbers[0]), Epoch: numbers[1]<<halfBits | numbers[2]&math.MaxUint32, Sequence: numbers[3],
		PrefillRate: q[0], Backlog: int(q[1]), Running: int(q[2]), Waiting: int(q[3]), FreeSlots: int(q[4]),
		SlotWait: fromMilliseconds(q[5]), LoadTime: fromMilliseconds(q[6]), EventGap: fromMilliseconds(q[7]), UndisturbedRate: q[9],
	}, Age: fromMilliseconds(q[8])}
	return nil
}

// encodeQuantity encodes a quantity on a logarithmic scale. Zero is 0, and 1 is 1.
func encodeQuantity(q float64) string {
	code := 0.0
	if q >= 0.5 {
		code = 1 + math.Round(math.Log(max(1, q))/math.Log(quantityStep))
	}
	if !(q >= 0) || code >= numberBase*numberBase {
		return impossible
	}
	s := strconv.FormatInt(int64(code), numberBase)
	return strings.Repeat("0", quantityDigits-len(s)) + s
}

func decodeQuantity(s string) (float64, bool) {
	code, err := strconv.ParseUint(s, numberBase, 32)
	if err != nil || code == 0 {
		return 0, err == nil
	}
	return math.Round(math.Pow(quantityStep, float64(code-1))), true
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMilliseconds converts milliseconds to a duration. The largest encoded quantity is 2e8, so the result does not overflow.
func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms) * time.Millisecond }
