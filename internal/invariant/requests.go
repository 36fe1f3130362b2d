package invariant

import "fmt"

// Outcome is what a caller was told about one request.
type Outcome struct {
	// RequestID names the request; back ends count their runs by it.
	RequestID string
	// Answer is the whole answer if the request was served.
	Served   bool
	Response string
	// Ran is "no", "yes" or "unknown", as the caller was told; empty if the connection broke before any word.
	Ran string
	// Model is the adapter version that was asked for.
	Model string
}

// CheckAtMostOnce returns an error if a request that may not be repeated ran more than once.
func CheckAtMostOnce(outcomes []Outcome, runs map[string]int) error {
	for _, o := range outcomes {
		if runs[o.RequestID] > 1 {
			return fmt.Errorf("invariant: %s ran %d times", o.RequestID, runs[o.RequestID])
		}
	}
	return nil
}

// CheckNotRunReports returns an error if a request that was said not to have run did run, or a served one did not.
func CheckNotRunReports(outcomes []Outcome, runs map[string]int) error {
	for _, o := range outcomes {
		if o.Ran == "no" && runs[o.RequestID] > 0 {
			return fmt.Errorf("invariant: %s was said not to have run, and ran %d times", o.RequestID, runs[o.RequestID])
		}
		if o.Served && runs[o.RequestID] == 0 {
			return fmt.Errorf("invariant: %s was served, and never ran", o.RequestID)
		}
	}
	return nil
}

// OwnAnswers returns an error if a served request got anything but the whole answer to itself; whole tells that.
func OwnAnswers(outcomes []Outcome, whole func(o Outcome) bool) error {
	for _, o := range outcomes {
		if o.Served && !whole(o) {
			return fmt.Errorf("invariant: %s for %s got %q", o.RequestID, o.Model, o.Response)
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
