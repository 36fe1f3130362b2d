// Package engineload holds what the owners of engines report of their load, so that each box can choose among all engines.
package engineload

import "time"

// Report is the load of one engine as its owner sees it.
type Report struct {
	Engine string `json:"engine"`
	// Started is when the engine started, in Unix milliseconds, zero if unknown. A report of an earlier start is void.
	Started int64 `json:"started,omitempty"`
	// Epoch is the epoch of the owner's grant, Sequence numbers the owner's reports within it. The pair orders all reports of an engine.
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"seq"`
	// PrefillRate is the observed number of prompt tokens that the engine processes per second, zero if nothing has been observed.
	PrefillRate float64 `json:"rate,omitempty"`
	// UndisturbedRate is the prefill rate of the engine while it generates no tokens of other requests, zero if unknown. It is a property
	// of the engine, whereas PrefillRate falls with its load.
	UndisturbedRate float64 `json:"full_rate,omitempty"`
	// Backlog is the number of prompt tokens that were sent to the engine and are not processed yet.
	Backlog int `json:"backlog,omitempty"`
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	// FreeSlots is the number of adapter slots that are empty or hold an adapter that may be unloaded now.
	FreeSlots int `json:"free,omitempty"`
	// SlotWait is the expected time until a slot is free, zero if FreeSlots is positive.
	SlotWait time.Duration `json:"slot_wait,omitempty"`
	// LoadTime is the expected time to load one more adapter, including the loads that wait ahead of it.
	LoadTime time.Duration `json:"load_time,omitempty"`
	// EventGap is the recent longest pause between two events of the engine's streams, zero if nothing has been observed.
	EventGap time.Duration `json:"gap,omitempty"`
}

// Sent is a report in a message between boxes.
type Sent struct {
	Report
	// Age is the time since the report was made, as of when the message was sent.
	Age time.Duration `json:"age,omitempty"`
}
