package ledger

// expiryHeap is a min-heap of attempts ordered by expiry time.
type expiryHeap []*Attempt

func (e expiryHeap) Len() int { return len(e) }

func (e expiryHeap) Less(i, j int) bool { return e[i].expiresAt.Before(e[j].expiresAt) }

func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	a := x.(*Attempt)
	a.heapIndex = len(*e)
	*e = append(*e, a)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	old := *e
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return a
}
