package table

// SetVerdictLimit sets the number of verdicts that a machine keeps.
func (m *Machine) SetVerdictLimit(n int) { m.verdictLimit = n }
