package ledger

// expiries is a heap of attempts, the one that expires first in front.
type expiries []*Attempt

func (e expiries) Len() int { return len(e) }

func (e expiries) Less(i, j int) bool { return e[i].expires.Before(e[j].expires) }

func (e expiries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

// Push implements heap.Interface.
func (e *expiries) Push(x any) {
	a := x.(*Attempt)
	a.index = len(*e)
	*e = append(*e, a)
}

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	old := *e
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return a
}
