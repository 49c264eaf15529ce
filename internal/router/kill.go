package router

// Kill ends the loop at once, as the death of its process would: what it holds gets no answer.
func (r *Router) Kill() {
	r.post(func() { r.killed = true })
	<-r.ended
}
