// Package fairqueue implements the queue of an agent. It serves customers by start-time
// fair queueing over the expected cost of their calls, and returns the calls that can
// no longer be served so that they are refused at once. It has no clock and does no
// I/O.
package fairqueue

import "time"

// Policy names the order of service.
type Policy string

// Queueing policies.
const (
	// Fair shares the server among customers by weight.
	Fair Policy = "fair"
	// FIFO serves calls in order of arrival; it is the baseline in comparisons.
	FIFO Policy = "fifo"
)

// Item is a waiting call.
type Item struct {
	// Key identifies the item; it must be comparable.
	Key      any
	Customer string
	// Weight sets the customer's share relative to the others; values below 1 count as 1.
	Weight int
	// Cost is the expected cost of the call, in any unit common to all items.
	Cost float64
	// Deadline is when the item expires; the zero time means never.
	Deadline time.Time
	// Priority orders the items of one customer; higher values are served first.
	Priority int
}

// Reason is the reason why an item was dropped.
type Reason uint8

// Reasons for dropping an item.
const (
	// Expired items waited beyond their deadline.
	Expired Reason = iota + 1
	// Displaced items were removed from a full queue to accept an item of a customer
	// with a smaller backlog.
	Displaced
)

// Dropped is an item that left the queue without being served.
type Dropped struct {
	Item
	Reason Reason
}

// Queue holds the waiting calls of one server. It is not safe for concurrent use.
type Queue struct {
	policy  Policy
	limit   int
	length  int
	lastSeq uint64
	// virtualTime is the start tag of the item served last.
	virtualTime float64
	// flows holds the customers in order of arrival.
	flows   []*flow
	dropped []Dropped
	// busyCustomers holds the customers whose calls recently had to wait.
	busyCustomers []busyCustomer
}

// flow is the backlog of one customer.
type flow struct {
	customer string
	weight   float64
	// startTag is the start tag of the flow's first item: the virtual time at which its
	// service begins.
	startTag float64
	items    []queuedItem
}

// queuedItem is an item together with its arrival.
type queuedItem struct {
	Item
	seq      uint64
	pushedAt time.Time
}

// New returns an empty queue that holds at most limit items.
func New(policy Policy, limit int) *Queue {
	return &Queue{policy: policy, limit: limit}
}

// SetLimit changes the maximum length. Items beyond a lower limit stay queued.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Push adds an item; it returns false if the queue is full. With policy Fair, a full
// queue displaces an item of the customer with the largest backlog if the new item's
// customer has a smaller one. TakeDropped returns the displaced item.
func (q *Queue) Push(now time.Time, it Item) bool {
	it.Weight = max(it.Weight, 1)
	it.Cost = max(it.Cost, 0)
	if q.length >= q.limit {
		q.dropExpired(now)
	}
	if q.length >= q.limit && !q.displace(&it) {
		return false
	}
	f := q.customerFlow(it.Customer)
	f.weight = float64(it.Weight)
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	q.lastSeq++
	q.length++
	f.insert(queuedItem{it, q.lastSeq, now})
	return true
}

// Pop removes and returns the item to serve next; ok is false if none waits. It never
// returns an expired item.
func (q *Queue) Pop(now time.Time) (it Item, ok bool) {
	q.dropExpired(now)
	f := q.nextFlow()
	if f == nil {
		return Item{}, false
	}
	it = f.items[0].Item
	if now.After(f.items[0].pushedAt) {
		q.recordWait(now, f)
	}
	f.items = f.items[1:]
	q.length--
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += it.Cost / f.weight
	q.removeIdleFlows()
	return it, true
}

// Remove removes the item with the key; it returns false if there is none.
func (q *Queue) Remove(key any) bool {
	for _, f := range q.flows {
		for i := range f.items {
			if f.items[i].Key == key {
				f.remove(i)
				q.length--
				q.removeIdleFlows()
				return true
			}
		}
	}
	return false
}

// TakeDropped appends to dst the items that expired or were displaced since the last
// call. They are no longer in the queue; the caller must refuse them.
func (q *Queue) TakeDropped(now time.Time, dst []Dropped) []Dropped {
	q.dropExpired(now)
	dst = append(dst, q.dropped...)
	clear(q.dropped)
	q.dropped = q.dropped[:0]
	return dst
}

// NextDeadline returns the earliest deadline of a waiting item; ok is false if no item
// has one.
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

// CostAhead returns the cost that would be served before a new item of the customer if
// nothing else arrived.
func (q *Queue) CostAhead(customer string, weight int) float64 {
	if q.policy == FIFO {
		return q.totalCost()
	}
	startTag, ownCost := q.virtualTime, 0.0
	for _, f := range q.flows {
		if f.customer == customer {
			ownCost = f.cost()
			startTag = f.endTag(max(f.startTag, q.virtualTime), float64(max(weight, 1)))
		}
	}
	ahead := ownCost
	for _, f := range q.flows {
		if f.customer != customer {
			ahead += f.costUpTo(startTag)
		}
	}
	return ahead
}

// CostAheadIfBusy returns the cost that would be served before a new item of the
// customer if the customers that wait now, or recently did, always had calls waiting,
// so that each used its whole share. It is at least CostAhead.
func (q *Queue) CostAheadIfBusy(now time.Time, customer string, weight int) float64 {
	ahead := q.CostAhead(customer, weight)
	if q.policy == FIFO {
		return ahead
	}
	tagDistance, ownCost, busyWeight := 0.0, 0.0, 0.0
	for _, f := range q.flows {
		if f.customer == customer {
			ownCost = f.cost()
			tagDistance = max(f.startTag-q.virtualTime, 0) + ownCost/float64(max(weight, 1))
		}
	}
	for _, b := range q.busyCustomers {
		if b.customer != customer && now.Sub(b.waitedAt) <= busyDuration {
			busyWeight += b.weight
		}
	}
	return max(ahead, ownCost+tagDistance*busyWeight)
}

// busyDuration is how long a customer counts as busy after one of its calls had to
// wait.
const busyDuration = 2 * time.Second

// busyCustomer is a customer whose calls recently had to wait.
type busyCustomer struct {
	customer string
	weight   float64
	waitedAt time.Time
}

// recordWait records that a call of the customer had to wait, and removes customers
// that are no longer busy.
func (q *Queue) recordWait(now time.Time, f *flow) {
	kept := q.busyCustomers[:0]
	for _, b := range q.busyCustomers {
		if b.customer != f.customer && now.Sub(b.waitedAt) <= busyDuration {
			kept = append(kept, b)
		}
	}
	q.busyCustomers = append(kept, busyCustomer{f.customer, f.weight, now})
}

// totalCost returns the cost of all waiting items.
func (q *Queue) totalCost() float64 {
	sum := 0.0
	for _, f := range q.flows {
		sum += f.cost()
	}
	return sum
}

// nextFlow returns the flow to serve next, or nil.
func (q *Queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.items) > 0 && (best == nil || q.servedBefore(f, best)) {
			best = f
		}
	}
	return best
}

// servedBefore reports whether a is served before b. Both must have items.
func (q *Queue) servedBefore(a, b *flow) bool {
	if q.policy != FIFO && a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.items[0].seq < b.items[0].seq
}

// customerFlow returns the flow of the customer, adding one if needed.
func (q *Queue) customerFlow(customer string) *flow {
	for _, f := range q.flows {
		if f.customer == customer {
			return f
		}
	}
	f := &flow{customer: customer, startTag: q.virtualTime}
	q.flows = append(q.flows, f)
	return f
}

// displace drops the last item of the customer with the largest backlog if the
// backlog of the new item's customer would stay smaller. It returns false if no item
// was dropped.
func (q *Queue) displace(it *Item) bool {
	if q.policy == FIFO {
		return false
	}
	var largest *flow
	ownBacklog := it.Cost / float64(it.Weight)
	for _, f := range q.flows {
		if f.customer == it.Customer {
			ownBacklog += f.backlog()
		}
		if len(f.items) > 0 && (largest == nil || f.backlog() > largest.backlog()) {
			largest = f
		}
	}
	if largest == nil || largest.customer == it.Customer || largest.backlog() <= ownBacklog {
		return false
	}
	last := len(largest.items) - 1
	q.drop(largest, last, Displaced)
	return true
}

// dropExpired drops all items whose deadline has passed.
func (q *Queue) dropExpired(now time.Time) {
	for _, f := range q.flows {
		for i := len(f.items) - 1; i >= 0; i-- {
			d := f.items[i].Deadline
			if !d.IsZero() && !now.Before(d) {
				q.drop(f, i, Expired)
			}
		}
	}
	q.removeIdleFlows()
}

// drop removes an item and records it for TakeDropped.
func (q *Queue) drop(f *flow, i int, reason Reason) {
	q.dropped = append(q.dropped, Dropped{f.items[i].Item, reason})
	f.remove(i)
	q.length--
}

// removeIdleFlows removes the customers that have no items and whose start tag is not
// ahead of the virtual time.
func (q *Queue) removeIdleFlows() {
	kept := q.flows[:0]
	for _, f := range q.flows {
		if len(f.items) > 0 || f.startTag > q.virtualTime {
			kept = append(kept, f)
		}
	}
	clear(q.flows[len(kept):])
	q.flows = kept
	if q.length == 0 {
		q.flows = q.flows[:0]
	}
}

// insert adds an item, ordered by priority and then by arrival.
func (f *flow) insert(it queuedItem) {
	i := len(f.items)
	for i > 0 && f.items[i-1].Priority < it.Priority {
		i--
	}
	f.items = append(f.items, queuedItem{})
	copy(f.items[i+1:], f.items[i:])
	f.items[i] = it
}

func (f *flow) remove(i int) {
	f.items = append(f.items[:i], f.items[i+1:]...)
}

// cost returns the cost of all items.
func (f *flow) cost() float64 {
	sum := 0.0
	for i := range f.items {
		sum += f.items[i].Cost
	}
	return sum
}

// backlog returns the waiting cost divided by the weight.
func (f *flow) backlog() float64 { return f.cost() / f.weight }

// endTag returns the start tag of an item after the last one if the first has the given
// start tag. It adds up the costs as Pop does, so that it is rounded in the same way and
// tags that are equal compare as equal.
func (f *flow) endTag(startTag, weight float64) float64 {
	for i := range f.items {
		startTag += f.items[i].Cost / weight
	}
	return startTag
}

// costUpTo returns the cost of the items whose start tag is at most limit.
func (f *flow) costUpTo(limit float64) float64 {
	tag, sum := f.startTag, 0.0
	for i := range f.items {
		if tag > limit {
			break
		}
		sum += f.items[i].Cost
		tag += f.items[i].Cost / f.weight
	}
	return sum
}
