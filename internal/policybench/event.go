package policybench

import (
	"time"
)

// virtualStart is the start of virtual time.
var virtualStart = time.Unix(1_000_000, 0)

// event is an action at a virtual time. Events at the same time run in the sequence of their order fields.
type event struct {
	at     time.Time
	order  int
	action func()
}

// eventQueue is a heap of events, with the next event first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) {
	if ev, ok := x.(event); ok {
		*e = append(*e, ev)
	}
}

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	ev := (*e)[last]
	*e = (*e)[:last]
	return ev
}
