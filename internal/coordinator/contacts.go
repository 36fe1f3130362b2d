package coordinator

// Contacts holds the names of the boxes that have recently sent a heartbeat to a box that does not coordinate. Boxes do so while their
// coordinator does not answer or cannot renew its lease, so that the next coordinator knows which boxes are present.
type Contacts map[string]bool

// FindMissing returns the boxes that a map shows and that have not contacted this box. It returns none if fewer than half of the boxes
// have contacted it: then most boxes have had no time or no reason to do so, and the lack of a contact proves nothing. The box itself and
// the coordinator that is to be replaced are left out.
func (c Contacts) FindMissing(m Map, self, replaced string) []string {
	var missing []string
	present := 0
	for _, b := range m.Members {
		switch {
		case b.Silent || b.Box == self || b.Box == replaced:
		case c[b.Box]:
			present++
		default:
			missing = append(missing, b.Box)
		}
	}
	if present == 0 || present < len(missing) {
		return nil
	}
	return missing
}
