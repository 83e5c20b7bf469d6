package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// unreliable are servers that answer some requests with bytes that are no answer.
type unreliable struct {
	t *testing.T

	mu       sync.Mutex
	random   *rand.Rand
	attempts map[string]int
}

// bodyFor returns the body of the answer to a request, which no other request has.
func bodyFor(id string) string {
	return fmt.Sprintf("id: 1\ndata: first of %s\n\nid: 2\ndata: last of %s\n\n", id, id)
}

// answer answers one request in four with bytes that are none.
func (u *unreliable) answer(r *http.Request, _ int) cutserver.Answer {
	id := standin.RequestID(r.Header)
	text := responseBytes(u.t, http.StatusOK, id, bodyFor(id), func(h http.Header) {
		standin.SetSignature(h, "s")
		h.Set("Content-Type", "text/event-stream")
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts[id]++
	if u.random.IntN(4) == 0 {
		text = brokenAnswers[u.random.IntN(len(brokenAnswers))].turn(text)
	}
	return cutserver.Answer{Bytes: text, End: cutserver.End(u.random.IntN(3))}
}

// checkReply checks what the client of a request got, and reports whether that is the whole answer.
func (u *unreliable) checkReply(path, id string, got reply) bool {
	u.mu.Lock()
	attempts := u.attempts[id]
	u.mu.Unlock()
	mayRepeat := path == standin.PathSafe || path == standin.PathResumable
	assert.Check(u.t, mayRepeat || attempts <= 1, "%s: %d attempts", id, attempts)
	if got.err == nil && got.status == http.StatusOK {
		assert.Check(u.t, got.body == bodyFor(id), "%s: %q", id, got.body)
		return true
	}
	if got.err != nil {
		assert.Check(u.t, strings.HasPrefix(bodyFor(id), got.body), "%s: %q", id, got.body)
		return false
	}
	assert.Check(u.t, got.status >= http.StatusInternalServerError, "%s: %d %q", id, got.status, got.body)
	assert.Check(u.t, got.status == http.StatusBadGateway || attempts == 0, "%s: %d after %d attempts", id, got.status, attempts)
	return false
}

// TestBrokenAnswersNowAndThen guards against an answer that is none, or that belongs to another
// request, reaching a client while sound and broken answers follow each other, through two entries.
func TestBrokenAnswersNowAndThen(t *testing.T) {
	const clients, requests = 16, 40
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			u := &unreliable{t: t, random: rand.New(rand.NewPCG(seed, seed)), attempts: map[string]int{}}
			f := newFleet(t)
			f.putConfig()
			for _, service := range []string{"plain", "model"} {
				for n := range 3 {
					f.putServerRecord(service, fmt.Sprint(service, n), cutserver.Start(t, u.answer), false)
				}
			}
			entries := []*runningEntry{f.startEntry("e1", 0).waitReady().waitRegistered(), f.startEntry("e2", 0).waitReady().waitRegistered()}
			paths := []string{standin.PathSafe, standin.PathUnsafe, standin.PathStream, standin.PathResumable}
			var mu sync.Mutex
			served := map[string]int{}
			var all sync.WaitGroup
			for c := range clients {
				all.Go(func() {
					for n := range requests {
						path, id := paths[(c+n)%len(paths)], fmt.Sprintf("r-%d-%d", c, n)
						if !u.checkReply(path, id, entries[n%2].do(keyedCall(path, id, "key-1"))) {
							continue
						}
						mu.Lock()
						served[path]++
						mu.Unlock()
					}
				})
			}
			all.Wait()
			t.Log(served)
			for _, path := range paths {
				assert.Check(t, served[path] >= clients*requests/len(paths)/4, "%s: %v", path, served)
			}
		})
	}
}
