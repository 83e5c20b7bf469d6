package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// brokenAnswer turns a sound response into bytes that are none.
type brokenAnswer struct {
	name string
	turn func(sound string) string
}

// withStatus returns a response with another status.
func withStatus(status string) func(string) string {
	return func(sound string) string { return strings.Replace(sound, " 200 ", " "+status+" ", 1) }
}

// before returns a function that puts bytes before a response.
func before(begin string) func(string) string {
	return func(sound string) string { return begin + sound }
}

var brokenAnswers = []brokenAnswer{
	{"status 000", withStatus("000")},
	{"status 099", withStatus("099")},
	{"status 000 before a sound answer", before("HTTP/1.1 000 None\r\n\r\n")},
	{"status 000 with a body before a sound answer", before("HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nother")},
	{"status 101 before a sound answer", before("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n")},
}

// breaking makes servers answer the first attempt of each request with bytes that are no answer.
type breaking struct {
	t    *testing.T
	body string

	mu       sync.Mutex
	broken   brokenAnswer
	attempts map[string]int
}

// setBroken sets what the next requests get.
func (b *breaking) setBroken(broken brokenAnswer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = broken
}

// attemptsOf returns the number of attempts of a request.
func (b *breaking) attemptsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempts[id]
}

// answer answers a request in place of a server.
func (b *breaking) answer(w http.ResponseWriter, r *http.Request) bool {
	id := standin.RequestID(r.Header)
	b.mu.Lock()
	b.attempts[id]++
	first, broken := b.attempts[id] == 1, b.broken
	b.mu.Unlock()
	text := responseBytes(b.t, http.StatusOK, id, b.body, func(h http.Header) {
		standin.SetSignature(h, "s")
		h.Set("Content-Type", "text/event-stream")
	})
	if first {
		text = broken.turn(text)
	}
	writeRaw(b.t, w, text)
	return true
}

// writeRaw writes the bytes of an answer and closes the connection.
func writeRaw(t *testing.T, w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if assert.Check(t, err) {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// TestBrokenAnswerIsNotServed guards against bytes that are no answer reaching a client as one, and
// against another attempt of a request that must not run twice.
func TestBrokenAnswerIsNotServed(t *testing.T) {
	for _, tt := range []struct {
		name, path, body string
		repeated         bool
	}{
		{"safe", standin.PathSafe, "own", true},
		{"unsafe", standin.PathUnsafe, "own", false},
		{"stream", standin.PathStream, firstEvent + lastEvents, false},
		{"resumable stream", standin.PathResumable, firstEvent + lastEvents, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := &breaking{t: t, body: tt.body, attempts: map[string]int{}}
			f := newFleet(t)
			f.putConfig()
			for _, service := range []string{"plain", "model"} {
				for n := range 3 {
					f.startServer(service, fmt.Sprint(service, n), 0).SetHandler(b.answer)
				}
			}
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			for i, broken := range brokenAnswers {
				b.setBroken(broken)
				id := fmt.Sprint("r", i)
				got := e.do(keyedCall(tt.path, id, "key-1"))
				assert.NilError(t, got.err, broken.name)
				attempts := b.attemptsOf(id)
				if tt.repeated {
					assert.Check(t, got.status == http.StatusOK && got.body == tt.body && attempts == 2, "%s: %d %q, %d attempts", broken.name, got.status, got.body, attempts)
					continue
				}
				assert.Check(t, got.status == http.StatusBadGateway && attempts == 1, "%s: %d %q, %d attempts", broken.name, got.status, got.body, attempts)
			}
		})
	}
}
