package entry

// reservedBytes returns the length of the body that has to be reserved at the current owner,
// in bytes; zero if none has to be. At this node's own owner no body is transferred.
func (c *Call) reservedBytes() int64 {
	if c.to.ID == c.engine.cfg.Self.ID {
		return 0
	}
	return c.req.BodyBytes
}
