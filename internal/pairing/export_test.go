package pairing

// Received returns how many bytes have been received on the connection to address whose own address is local, and whether it is open.
func (p *Pairing) Received(address, local string) (n int64, isOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.contacts[address]
	if known == nil {
		return 0, false
	}
	for c := range known.open {
		if c.LocalAddr().String() == local {
			return c.received.Load(), true
		}
	}
	return 0, false
}

// SendTwice records that an id is sent twice over one connection, which the transport prevents.
func (p *Pairing) SendTwice(id string) {
	c := newConn(p, nil, "", nil)
	for range 2 {
		c.begin(exchange{id: id, endpoint: "p-1"})
	}
}
