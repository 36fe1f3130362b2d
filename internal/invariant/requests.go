package invariant

import "fmt"

// Outcome is what a caller was told about one request.
type Outcome struct {
	// Request names the request; back ends count their runs by it.
	Request string
	// Answer is the whole answer if the request was served.
	Served bool
	Answer string
	// Ran is "no", "yes" or "unknown", as the caller was told; empty if the connection broke before any word.
	Ran string
	// Model is the adapter version that was asked for.
	Model string
}

// AtMostOnce returns an error if a request that may not be repeated ran more than once.
func AtMostOnce(outcomes []Outcome, runs map[string]int) error {
	for _, o := range outcomes {
		if runs[o.Request] > 1 {
			return fmt.Errorf("invariant: %s ran %d times", o.Request, runs[o.Request])
		}
	}
	return nil
}

// NotRunIsTrue returns an error if a request that was said not to have run did run, or a served one did not.
func NotRunIsTrue(outcomes []Outcome, runs map[string]int) error {
	for _, o := range outcomes {
		if o.Ran == "no" && runs[o.Request] > 0 {
			return fmt.Errorf("invariant: %s was said not to have run, and ran %d times", o.Request, runs[o.Request])
		}
		if o.Served && runs[o.Request] == 0 {
			return fmt.Errorf("invariant: %s was served, and never ran", o.Request)
		}
	}
	return nil
}

// OwnAnswers returns an error if a served request got anything but the whole answer to itself; whole tells that.
func OwnAnswers(outcomes []Outcome, whole func(o Outcome) bool) error {
	for _, o := range outcomes {
		if o.Served && !whole(o) {
			return fmt.Errorf("invariant: %s for %s got %q", o.Request, o.Model, o.Answer)
		}
	}
	return nil
}

// NeverUnloadedInUse returns an error if an engine unloaded an adapter that was serving.
func NeverUnloadedInUse(violations []string) error {
	if len(violations) > 0 {
		return fmt.Errorf("invariant: unloaded while serving: %v", violations)
	}
	return nil
}
