// Package fairqueue is the queue of an agent. It serves customers by start-time
// fair queueing over the expected cost of their calls, and hands back the calls
// that can no longer be served so that they are refused at once. It has no clock
// and no I/O.
package fairqueue

import "time"

// Policy names the order of service.
type Policy string

// The policies.
const (
	// Fair shares the server among customers by weight.
	Fair Policy = "fair"
	// FIFO serves in order of arrival; the baseline.
	FIFO Policy = "fifo"
)

// Item is a call that waits.
type Item struct {
	// Key identifies the item; it must be comparable.
	Key      any
	Customer string
	// Weight is the customer's share relative to the others; less than 1 counts as 1.
	Weight int
	// Cost is the expected cost of the call, in any unit common to all items.
	Cost float64
	// Deadline is when the item stops being worth serving; zero is never.
	Deadline time.Time
	// Priority orders the items of one customer; greater goes first.
	Priority int
}

// Reason tells why an item was dropped.
type Reason uint8

// The reasons.
const (
	// Expired items waited beyond their deadline.
	Expired Reason = iota + 1
	// Displaced items made room for a customer with a smaller backlog.
	Displaced
)

// Dropped is an item that left the queue without being served.
type Dropped struct {
	Item
	Reason Reason
}

// Queue holds the waiting calls of one server. It is not safe for concurrent use.
type Queue struct {
	policy Policy
	limit  int
	length int
	seq    uint64
	// virtual is the start tag of the item served last.
	virtual float64
	// flows holds the customers in order of their first arrival.
	flows   []*flow
	dropped []Dropped
	// busy holds the customers whose calls had to wait lately.
	busy []busy
}

// flow is the backlog of one customer.
type flow struct {
	customer string
	weight   float64
	// tag is the start tag of the next item.
	tag   float64
	items []waiting
}

type waiting struct {
	Item
	seq    uint64
	pushed time.Time
}

// New returns an empty queue that holds at most limit items.
func New(policy Policy, limit int) *Queue {
	return &Queue{policy: policy, limit: limit}
}

// SetLimit changes the bound; items over a lower bound stay.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Push adds an item; it returns false if the queue is full. A full queue of
// policy Fair makes room for a customer whose backlog is smaller than the
// largest; the displaced item is returned by Drop.
func (q *Queue) Push(now time.Time, it Item) bool {
	it.Weight = max(it.Weight, 1)
	it.Cost = max(it.Cost, 0)
	if q.length >= q.limit {
		q.expire(now)
	}
	if q.length >= q.limit && !q.displace(&it) {
		return false
	}
	f := q.flow(it.Customer)
	f.weight = float64(it.Weight)
	if len(f.items) == 0 {
		f.tag = max(f.tag, q.virtual)
	}
	q.seq++
	q.length++
	f.insert(waiting{it, q.seq, now})
	return true
}

// Pop removes the item to serve next; ok is false if none waits. Items beyond
// their deadline are never returned.
func (q *Queue) Pop(now time.Time) (it Item, ok bool) {
	q.expire(now)
	f := q.next()
	if f == nil {
		return Item{}, false
	}
	it = f.items[0].Item
	if now.After(f.items[0].pushed) {
		q.waited(now, f)
	}
	f.items = f.items[1:]
	q.length--
	q.virtual = max(q.virtual, f.tag)
	f.tag += it.Cost / f.weight
	q.sweep()
	return it, true
}

// Remove takes out the item with the key; it returns false if there is none.
func (q *Queue) Remove(key any) bool {
	for _, f := range q.flows {
		for i := range f.items {
			if f.items[i].Key == key {
				f.remove(i)
				q.length--
				q.sweep()
				return true
			}
		}
	}
	return false
}

// Drop appends to dst the items that expired or were displaced since the last
// call; they are no longer in the queue and must be refused.
func (q *Queue) Drop(now time.Time, dst []Dropped) []Dropped {
	q.expire(now)
	dst = append(dst, q.dropped...)
	clear(q.dropped)
	q.dropped = q.dropped[:0]
	return dst
}

// NextDeadline returns the earliest deadline of a waiting item; ok is false if
// none has one.
func (q *Queue) NextDeadline() (at time.Time, ok bool) {
	for _, f := range q.flows {
		for i := range f.items {
			d := f.items[i].Deadline
			if !d.IsZero() && (!ok || d.Before(at)) {
				at, ok = d, true
			}
		}
	}
	return at, ok
}

// Ahead returns the cost that would be served before a new item of the customer,
// if nothing arrived after it.
func (q *Queue) Ahead(customer string, weight int, cost float64) float64 {
	if q.policy == FIFO {
		return q.total()
	}
	start, own := q.virtual, 0.0
	for _, f := range q.flows {
		if f.customer == customer {
			own = f.cost()
			start = max(f.tag, q.virtual) + own/float64(max(weight, 1))
		}
	}
	ahead := own
	for _, f := range q.flows {
		if f.customer != customer {
			ahead += f.costBefore(start)
		}
	}
	return ahead
}

// AheadIfBusy returns the cost that would be served before a new item of the
// customer if the customers that wait now, or did lately, went on waiting, so
// that each takes its share meanwhile. It is at least Ahead.
func (q *Queue) AheadIfBusy(now time.Time, customer string, weight int, cost float64) float64 {
	ahead := q.Ahead(customer, weight, cost)
	if q.policy == FIFO {
		return ahead
	}
	start, own, weights := 0.0, 0.0, 0.0
	for _, f := range q.flows {
		if f.customer == customer {
			own = f.cost()
			start = max(f.tag-q.virtual, 0) + own/float64(max(weight, 1))
		}
	}
	for _, b := range q.busy {
		if b.customer != customer && now.Sub(b.at) <= busyFor {
			weights += b.weight
		}
	}
	return max(ahead, own+start*weights)
}

// busyFor is the time after which a customer whose calls waited no longer counts
// as busy.
const busyFor = 2 * time.Second

// busy is a customer whose calls had to wait.
type busy struct {
	customer string
	weight   float64
	at       time.Time
}

// waited notes that a call of the customer had to wait, and forgets customers
// that are no longer busy.
func (q *Queue) waited(now time.Time, f *flow) {
	kept := q.busy[:0]
	for _, b := range q.busy {
		if b.customer != f.customer && now.Sub(b.at) <= busyFor {
			kept = append(kept, b)
		}
	}
	q.busy = append(kept, busy{f.customer, f.weight, now})
}

func (q *Queue) total() float64 {
	sum := 0.0
	for _, f := range q.flows {
		sum += f.cost()
	}
	return sum
}

// next returns the customer to serve, or nil.
func (q *Queue) next() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.items) > 0 && (best == nil || q.before(f, best)) {
			best = f
		}
	}
	return best
}

func (q *Queue) before(a, b *flow) bool {
	if q.policy != FIFO && a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.items[0].seq < b.items[0].seq
}

func (q *Queue) flow(customer string) *flow {
	for _, f := range q.flows {
		if f.customer == customer {
			return f
		}
	}
	f := &flow{customer: customer, tag: q.virtual}
	q.flows = append(q.flows, f)
	return f
}

// displace drops the last item of the largest backlog if the backlog of the new
// item's customer would stay smaller.
func (q *Queue) displace(it *Item) bool {
	if q.policy == FIFO {
		return false
	}
	var worst *flow
	own := it.Cost / float64(it.Weight)
	for _, f := range q.flows {
		if f.customer == it.Customer {
			own += f.backlog()
		}
		if len(f.items) > 0 && (worst == nil || f.backlog() > worst.backlog()) {
			worst = f
		}
	}
	if worst == nil || worst.customer == it.Customer || worst.backlog() <= own {
		return false
	}
	last := len(worst.items) - 1
	q.drop(worst, last, Displaced)
	return true
}

func (q *Queue) expire(now time.Time) {
	for _, f := range q.flows {
		for i := len(f.items) - 1; i >= 0; i-- {
			d := f.items[i].Deadline
			if !d.IsZero() && !now.Before(d) {
				q.drop(f, i, Expired)
			}
		}
	}
	q.sweep()
}

func (q *Queue) drop(f *flow, i int, why Reason) {
	q.dropped = append(q.dropped, Dropped{f.items[i].Item, why})
	f.remove(i)
	q.length--
}

// sweep forgets the customers without a backlog and without a debt.
func (q *Queue) sweep() {
	kept := q.flows[:0]
	for _, f := range q.flows {
		if len(f.items) > 0 || f.tag > q.virtual {
			kept = append(kept, f)
		}
	}
	clear(q.flows[len(kept):])
	q.flows = kept
	if q.length == 0 {
		q.flows = q.flows[:0]
	}
}

// insert keeps the items by priority, then by arrival.
func (f *flow) insert(w waiting) {
	i := len(f.items)
	for i > 0 && f.items[i-1].Priority < w.Priority {
		i--
	}
	f.items = append(f.items, waiting{})
	copy(f.items[i+1:], f.items[i:])
	f.items[i] = w
}

func (f *flow) remove(i int) {
	f.items = append(f.items[:i], f.items[i+1:]...)
}

func (f *flow) cost() float64 {
	sum := 0.0
	for i := range f.items {
		sum += f.items[i].Cost
	}
	return sum
}

// backlog is the waiting cost relative to the weight.
func (f *flow) backlog() float64 { return f.cost() / f.weight }

// costBefore returns the cost of the items whose start tag is at most limit.
func (f *flow) costBefore(limit float64) float64 {
	tag, sum := f.tag, 0.0
	for i := range f.items {
		if tag > limit {
			break
		}
		sum += f.items[i].Cost
		tag += f.items[i].Cost / f.weight
	}
	return sum
}
