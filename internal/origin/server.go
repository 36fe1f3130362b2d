package origin

import (
	"net/http"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// Limits of received messages.
const (
	maxRecordsPerMessage = 128
	maxRecordBytes       = 128 << 10
	maxFindBytes         = 4 << 10
)

// recordMessage carries records to a box that keeps them.
type recordMessage struct {
	Records []Record `json:"records"`
}

// findQuestion asks for the record of an attempt.
type findQuestion struct {
	Attempt string `json:"attempt"`
	// Archive asks the receiver to read the stream archive if it knows no record.
	Archive bool `json:"archive,omitempty"`
}

// findAnswer answers a findQuestion.
type findAnswer struct {
	Known  bool   `json:"known"`
	Record Record `json:"record"`
}

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	Register *Register
	// Archive receives the records that other boxes want to be archived, and is read for them; nil archives none.
	Archive *Archive
}

// Server handles the messages of other boxes.
type Server struct{ cfg ServerConfig }

// NewServer returns a Server. Its handlers are added by Register.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Register adds the HTTP handlers to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathRecord, s.handleRecord)
	mux.HandleFunc("POST "+pathFind, s.handleFind)
}

func (s *Server) handleRecord(w http.ResponseWriter, r *http.Request) {
	var m recordMessage
	if !result.ReadJSON(w, r, maxRecordBytes, &m) {
		return
	}
	now := clock.Now()
	for _, record := range m.Records[:min(len(m.Records), maxRecordsPerMessage)] {
		s.cfg.Register.Put(now, record, false)
		if record.Archive && s.cfg.Archive != nil {
			s.cfg.Archive.Add(record)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleFind(w http.ResponseWriter, r *http.Request) {
	var q findQuestion
	if !result.ReadJSON(w, r, maxFindBytes, &q) {
		return
	}
	record, _, ok := s.cfg.Register.Find(clock.Now(), q.Attempt)
	if !ok && q.Archive && s.cfg.Archive != nil {
		var err error
		if record, ok, err = s.cfg.Archive.Find(r.Context(), q.Attempt); err != nil {
			result.New(result.PlatformUnavailable, "%v", err).Write(w, "")
			return
		}
	}
	httpx.WriteJSON(w, http.StatusOK, findAnswer{Known: ok, Record: record})
}
