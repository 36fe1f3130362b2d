package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"math"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/objects"
)

const (
	// maxSegmentRecords limits the records of one object, which are some 2 KB.
	maxSegmentRecords = 170
	// hashBytes is the length of the hash of an attempt's id, packedBytes that of a record: the hash and the sequence.
	hashBytes   = 8
	packedBytes = hashBytes + 1
)

// attemptHash is a hash of the id of an attempt. Two of 60,000 attempts share one with a probability of 1e-10.
type attemptHash uint64

func hashAttempt(attempt string) attemptHash {
	sum := sha256.Sum256([]byte(attempt))
	return attemptHash(binary.BigEndian.Uint64(sum[:hashBytes]))
}

// segment is the value of an object of the archive.
type segment struct {
	// Era is the era of the store for which the object was written.
	Era    int64   `json:"era"`
	Groups []group `json:"groups"`
	count  int
}

// group holds the records of one version of a service.
type group struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Attempts holds for each record the hash of its attempt and its sequence, limited to a byte.
	Attempts []byte `json:"attempts"`
}

func newSegment() *segment { return &segment{} }

func (s *segment) isFull() bool { return s.count >= maxSegmentRecords }

func (s *segment) add(r Record) {
	packed := binary.BigEndian.AppendUint64(nil, uint64(hashAttempt(r.Attempt)))
	packed = append(packed, byte(min(max(r.Sequence, 0), math.MaxUint8)))
	s.count++
	for i := range s.Groups {
		if g := &s.Groups[i]; g.Service == r.Service && g.Version == r.Version {
			g.Attempts = append(g.Attempts, packed...)
			return
		}
	}
	s.Groups = append(s.Groups, group{r.Service, r.Version, packed})
}

// archivedRecord is a record in a snapshot. The attempt is the key.
type archivedRecord struct {
	service, version string
	sequence         byte
	// isAmbiguous is set if two records of the same sequence name different versions.
	isAmbiguous bool
}

// snapshot is the content of the archive at one time.
type snapshot struct {
	// era is the era of the store.
	era     int64
	records map[attemptHash]archivedRecord
	// versions holds the versions of the objects by name.
	versions map[string]objects.Position
}

func newSnapshot(era int64) *snapshot {
	return &snapshot{era: era, records: map[attemptHash]archivedRecord{}, versions: map[string]objects.Position{}}
}

// addObject adds the records of an object. It ignores those that were written in an earlier era of the store: a later record of the same
// attempt may have been lost.
func (s *snapshot) addObject(o objects.Object) {
	s.versions[o.Name] = o.Version
	var seg segment
	if err := json.Unmarshal(o.Value, &seg); err != nil {
		klog.ErrorS(err, "object of the stream archive is malformed", "object", o.Name)
		return
	}
	if seg.Era != s.era {
		return
	}
	for _, g := range seg.Groups {
		for packed := g.Attempts; len(packed) >= packedBytes; packed = packed[packedBytes:] {
			s.addRecord(attemptHash(binary.BigEndian.Uint64(packed)), archivedRecord{service: g.Service, version: g.Version, sequence: packed[hashBytes]})
		}
	}
}

func (s *snapshot) addRecord(attempt attemptHash, r archivedRecord) {
	known, ok := s.records[attempt]
	switch {
	case !ok || r.sequence > known.sequence:
		s.records[attempt] = r
	case r.sequence == known.sequence && (r.service != known.service || r.version != known.version):
		known.isAmbiguous = true
		s.records[attempt] = known
	}
}

func (s *snapshot) find(attempt string) (Record, bool) {
	r, ok := s.records[hashAttempt(attempt)]
	return Record{Attempt: attempt, Service: r.service, Version: r.version, Sequence: int(r.sequence)}, ok && !r.isAmbiguous
}
