package admission

// SetLimits changes the load factor and the queue length. Running and waiting attempts are not
// affected; zero values keep the current limit.
func (h *Home) SetLimits(factor float64, queueLength int) {
	if factor > 0 {
		h.config.LoadFactor = factor
	}
	if queueLength > 0 {
		h.config.QueueLength = queueLength
	}
}
