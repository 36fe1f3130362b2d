package policybench

import (
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	if ev, ok := x.(event); ok {
		*e = append(*e, ev)
	}
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	ev := (*e)[last]
	*e = (*e)[:last]
	return ev
}
