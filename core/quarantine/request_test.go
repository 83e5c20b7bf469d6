package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

// settle lets all crashes settle.
func (t *table) settle() {
	t.now += settleTime
	t.Evaluate(t.now)
}

// TestRequestIsHeldBackAfterTwoCrashes guards against one request that ends all servers of a
// service in turn, and against requests that are held back because they shared a server with
// it.
func TestRequestIsHeldBackAfterTwoCrashes(t *testing.T) {
	tab := newTable()
	tab.attempt("s1", "request:sound", InterruptedWaiting)
	tab.attempt("s1", "request:bad", InterruptedWaiting)
	tab.settle()
	assert.Assert(t, !tab.held("request:bad"), "one crash is too little")
	tab.attempt("s2", "request:other", InterruptedWaiting)
	tab.attempt("s2", "request:bad", InterruptedWaiting)
	assert.Assert(t, tab.Check(tab.now, []string{"request:bad"}).Unsettled > 0, "held until more is known")
	tab.settle()
	assert.Equal(t, tab.Check(tab.now, []string{"request:bad"}).Unsettled, time.Duration(0))
	assert.Assert(t, tab.held("request:bad"))
	assert.Assert(t, !tab.held("request:sound") && !tab.held("request:other"))
	assert.Equal(t, len(tab.patterns), 1)
}

// TestRequestOfLivingServersIsNotHeldBack guards against a request that is held back because
// servers broke off answers to it, although they served others afterwards.
func TestRequestOfLivingServersIsNotHeldBack(t *testing.T) {
	tab := newTable()
	for _, server := range []string{"s1", "s2", "s3"} {
		tab.attempt(server, "request:x", InterruptedWaiting)
		tab.attempt(server, "request:"+server, Completed)
	}
	tab.settle()
	assert.Assert(t, !tab.held("request:x"))
	assert.Equal(t, len(tab.crashes), 0)

	// Responses may come only after the request was held.
	tab.attempt("s4", "request:x", InterruptedWaiting)
	tab.attempt("s5", "request:x", InterruptedWaiting)
	assert.Assert(t, tab.held("request:x"))
	tab.attempt("s5", "request:y", Completed)
	assert.Assert(t, !tab.held("request:x"))
	changes := tab.TakeChanges()
	assert.Assert(t, changes[len(changes)-1].Released)
}

// TestSoundRequestThatSharesCrashesIsReleased guards against a popular request that is blamed
// for crashes which it did not cause: it completed before, or completes elsewhere.
func TestSoundRequestThatSharesCrashesIsReleased(t *testing.T) {
	tab := newTable()
	tab.attempt("s9", "request:popular", Completed)
	for i := range 2 {
		server := fmt.Sprint("s", i)
		tab.attempt(server, "request:popular", InterruptedWaiting)
		tab.attempt(server, "request:bad", InterruptedWaiting)
	}
	tab.settle()
	assert.Assert(t, tab.held("request:bad") && !tab.held("request:popular"))

	// An instance that saw only the crashes blames the wrong one, until it hears better.
	other := newTable()
	for i := range 2 {
		server := fmt.Sprint("s", i)
		other.attempt(server, "request:a-popular", InterruptedWaiting)
		other.attempt(server, "request:bad", InterruptedWaiting)
	}
	other.settle()
	assert.Assert(t, other.held("request:a-popular"))
	news := other.Report(other.now, Attempt{Server: notice.Server{ID: "s9"}, Elements: []string{"request:a-popular"}, Ending: Completed})
	assert.Assert(t, news)
	other.settle()
	assert.Assert(t, other.held("request:bad") && !other.held("request:a-popular"))
}

// TestOtherInstancesRefute guards against a sound request that is held back because the
// connections of one instance to several servers were reset, while the servers went on to
// answer others.
func TestOtherInstancesRefute(t *testing.T) {
	tab, other := newTable(), newTable()
	tab.attempt("s1", "request:x", InterruptedWaiting)
	tab.attempt("s2", "request:x", InterruptedWaiting)
	found := tab.TakeChanges()[0].Pattern
	other.now = tab.now
	assert.Assert(t, other.Learn(other.now, found) && other.held("request:x"))

	other.now += 10 * ms
	answered := Attempt{Server: notice.Server{ID: "s2"}, Elements: []string{"request:y"}, BeganAt: other.now, EndedAt: other.now + ms, Ending: Completed}
	assert.Assert(t, other.Report(answered.EndedAt, answered), "others must hear it")
	assert.Assert(t, !other.held("request:x"))
	assert.Assert(t, tab.Report(answered.EndedAt, answered))
	assert.Assert(t, !tab.held("request:x"))
}

// TestReleasedRequestStaysReleased guards against instances that blame and release a request in
// turn: one has the evidence, another one knows that the request is sound.
func TestReleasedRequestStaysReleased(t *testing.T) {
	tab := newTable()
	tab.attempt("s1", "request:x", InterruptedWaiting)
	tab.attempt("s2", "request:x", InterruptedWaiting)
	tab.settle()
	assert.Assert(t, tab.held("request:x"))
	assert.Assert(t, tab.Forget(tab.now, []string{"request:x"}))
	tab.attempt("s3", "request:x", InterruptedWaiting)
	tab.settle()
	assert.Assert(t, !tab.held("request:x"))
	tab.attempt("s4", "request:x", InterruptedWaiting)
	assert.Assert(t, tab.held("request:x"), "new evidence counts")
}

// TestSoundPatternIsNotPassedOn guards against instances that tell each other the same pattern
// without end: those that know it as sound release it, and each pass it on as news.
func TestSoundPatternIsNotPassedOn(t *testing.T) {
	finder := newTable()
	finder.attempt("s1", "request:popular", InterruptedWaiting)
	finder.attempt("s2", "request:popular", InterruptedWaiting)
	found := finder.TakeChanges()[0].Pattern

	knowing, other := newTable(), newTable()
	knowing.now, other.now = finder.now, finder.now
	knowing.attempt("s9", "request:popular", Completed)
	assert.Assert(t, !knowing.Learn(knowing.now, found), "it must not be passed on")
	assert.Assert(t, knowing.TakeChanges()[0].Released)
	assert.Assert(t, !knowing.Learn(knowing.now, found))
	assert.Equal(t, len(knowing.TakeChanges()), 0, "it is released once")

	// The release may overtake the pattern.
	assert.Assert(t, !other.Forget(other.now, found.Elements))
	assert.Assert(t, !other.Learn(other.now, found) && !other.held("request:popular"))
	other.now += releaseMemory
	assert.Assert(t, other.Learn(other.now, found) && other.held("request:popular"))
}

// TestRestartedServerRefutesNothing guards against evidence that is lost because a server
// which crashed has started again under its ID, and serves other requests before its new start
// is known.
func TestRestartedServerRefutesNothing(t *testing.T) {
	tab := newTable()
	for _, server := range []string{"s1", "s2"} {
		tab.attempt(server, "request:bad", InterruptedWaiting)
		tab.now += minRestartTime
		tab.attempt(server, "request:"+server, Completed)
	}
	tab.settle()
	assert.Assert(t, tab.held("request:bad"))

	// Later its new start would be known: it never crashed.
	tab.now += startKnownTime
	tab.attempt("s1", "request:s1", Completed)
	assert.Equal(t, len(tab.patterns), 0)
}

// TestTrialOfRequestProves checks that a request is tried once, and not again for long if
// another server ends.
func TestTrialOfRequestProves(t *testing.T) {
	tab := newTable()
	tab.attempt("s1", "request:bad", InterruptedWaiting)
	tab.attempt("s2", "request:bad", InterruptedWaiting)
	tab.settle()
	assert.Assert(t, tab.held("request:bad"))
	tab.now += requestTrialDelay
	assert.Assert(t, tab.Check(tab.now, []string{"request:bad"}).TrialDue, "others must ask")
	assert.Assert(t, tab.Decide(tab.now, []string{"request:bad"}).Trial)
	assert.Assert(t, tab.held("request:bad"), "one trial at a time")
	tab.attempt("s3", "request:bad", InterruptedWaiting)
	tab.now += retention - time.Second
	assert.Assert(t, tab.held("request:bad"))

	// What proved a request is told to the others.
	changes := tab.TakeChanges()
	learner := newTable()
	for _, c := range changes {
		learner.Learn(c.Until-retention, c.Pattern)
	}
	learner.now = tab.now
	assert.Assert(t, !learner.Check(learner.now, []string{"request:bad"}).TrialDue)
}

// TestPartsNeedDifferentRequests guards against sound parts that are blamed because one
// request crashed servers, and against a part that is never blamed because each request with
// it crashed only two.
func TestPartsNeedDifferentRequests(t *testing.T) {
	tab := newTable()
	for i := range 4 {
		tab.attempt(fmt.Sprint("s", i), "request:bad sys doc", InterruptedAnswering)
	}
	assert.Assert(t, tab.held("request:bad sys doc"))
	assert.Assert(t, !tab.held("request:other sys doc"))

	tab = newTable()
	crashes := 0
	for ; crashes < 8 && !tab.held("request:new bad"); crashes++ {
		tab.attempt(fmt.Sprint("s", crashes), fmt.Sprintf("request:%d bad d%d", crashes/2, crashes/2), InterruptedAnswering)
	}
	assert.Assert(t, crashes <= provenCrashes, "%d servers ended", crashes)
}

// TestEvidenceIsPassedOn checks that an instance which is told the evidence of another one,
// even twice, finds the same patterns with the next crash.
func TestEvidenceIsPassedOn(t *testing.T) {
	tab := newTable()
	tab.attempt("s1", "request:bad", InterruptedWaiting)
	successor := newTable()
	successor.now = tab.now
	for range 2 {
		for _, a := range tab.Evidence(tab.now) {
			successor.Report(successor.now, a)
		}
	}
	successor.attempt("s2", "request:bad", InterruptedWaiting)
	successor.settle()
	assert.Assert(t, successor.held("request:bad"))
	assert.Equal(t, successor.patterns[0].Crashes, minRequestCrashes)
}

// TestInventedRequestsAreBounded plays callers that send a new body with each request, while
// servers crash and break off answers.
func TestInventedRequestsAreBounded(t *testing.T) {
	tab := newTable()
	for i := range 20 * soundGeneration {
		ending := Completed
		if i%50 == 0 {
			ending = InterruptedWaiting
		}
		tab.attempt(fmt.Sprint("s", i/100), fmt.Sprint("request:", i), ending)
	}
	sound := len(tab.sound.identities.newer) + len(tab.sound.identities.older)
	assert.Assert(t, sound <= 2*soundGeneration, "%d sound requests", sound)
	assert.Assert(t, len(tab.crashes) <= maxCrashes && len(tab.patterns) == 0 && len(tab.placed) == 0)
}

// TestNewestPatternsAreKept guards against a caller that fills the table with requests which
// crash servers, so that the next one is not held back.
func TestNewestPatternsAreKept(t *testing.T) {
	tab := newTable()
	for i := range maxPatterns + 5 {
		bad := fmt.Sprint("request:", i)
		tab.attempt(fmt.Sprint("a", i), bad, InterruptedWaiting)
		tab.attempt(fmt.Sprint("b", i), bad, InterruptedWaiting)
		tab.settle()
		assert.Assert(t, tab.held(bad), "request %d", i)
		assert.Assert(t, len(tab.patterns) <= maxPatterns)
	}
	assert.Assert(t, !tab.held("request:0"))
}

// TestIdentityTellsRequestsApart checks that each field of a request counts, and where one
// ends.
func TestIdentityTellsRequestsApart(t *testing.T) {
	base := Request{Method: "POST", Host: "h", Target: "/p", Customer: "c", SharedParts: []string{"a", "b"}, Body: []byte("body")}
	identity := base.Identity()
	changes := []func(r *Request){
		func(r *Request) { r.Method = "PUT" },
		func(r *Request) { r.Host = "i" },
		func(r *Request) { r.Target = "/p?x" },
		func(r *Request) { r.Customer = "d" },
		func(r *Request) { r.Body = []byte("bodx") },
		func(r *Request) { r.Host, r.Target = "h/", "p" },
		func(r *Request) { r.Customer, r.SharedParts = "ca", []string{"b"} },
		func(r *Request) { r.SharedParts = []string{"ab"} },
		func(r *Request) { r.SharedParts, r.Body = []string{"a"}, []byte("bbody") },
	}
	for i, change := range changes {
		other := base
		change(&other)
		assert.Assert(t, other.Identity() != identity, "change %d", i)
	}
	same := base
	assert.Equal(t, same.Identity(), identity)
	assert.DeepEqual(t, Elements(identity, []string{"p", "request:forged"}), []string{identity, "p"})
}
