package entry

// connect builds the parts that keep the process in touch with the platform and
// with its peers.
func (p *Process) connect() error {
	if p.source != nil && p.view != nil {
		return nil
	}
	return errNotWired
}
