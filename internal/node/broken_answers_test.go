package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
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

// withLine returns a function that puts a line behind the fields of a head.
func withLine(line string) func(string) string {
	return func(sound string) string { return strings.Replace(sound, "\r\n\r\n", "\r\n"+line+"\r\n\r\n", 1) }
}

// inChunks returns a function that puts the body of a response into a chunk, with a trailer.
func inChunks(trailer string) func(string) string {
	return func(sound string) string {
		head, body, _ := strings.Cut(sound, "\r\n\r\n")
		head = strings.Replace(head, fmt.Sprint("Content-Length: ", len(body)), "Transfer-Encoding: chunked", 1)
		return fmt.Sprintf("%s\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n", head, len(body), body, trailer)
	}
}

var brokenAnswers = []brokenAnswer{
	{"blank in a name", withLine("Other Field: a")},
	{"tab in a name", withLine("Other\tField: a")},
	{"blank behind a name", withLine("Other-Field : a")},
	{"blank before a name", withLine(" Other-Field: a")},
	{"tab before a name", withLine("\tOther-Field: a")},
	{"control byte in a name", withLine("Other\x02Field: a")},
	{"field without a name", withLine(": a")},
	{"blank in the name of the length", func(sound string) string { return strings.Replace(sound, "Content-Length", "Content Length", 1) }},
	{"blank before the name of the length", func(sound string) string { return strings.Replace(sound, "Content-Length", " Content-Length", 1) }},
	{"blank in a name of an interim answer", before("HTTP/1.1 103 Early Hints\r\nOther Field: a\r\n\r\n")},
	{"blank before a name of an interim answer", before("HTTP/1.1 103 Early Hints\r\nOther: a\r\n Field: a\r\n\r\n")},
	{"blank in a name of the trailer", inChunks("Other Field: a")},
	{"blank before a name of the trailer", inChunks("Other: a\r\n Field: a")},
	{"status 000", withStatus("000")},
	{"status 099", withStatus("099")},
	{"status 000 before a sound answer", before("HTTP/1.1 000 None\r\n\r\n")},
	{"status 000 with a body before a sound answer", before("HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nother")},
	{"status 101 before a sound answer", before("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n")},
}

// breaking makes servers answer the first attempt of a request with bytes that are no answer.
type breaking struct {
	t        *testing.T
	body     string
	turn     func(sound string) string
	attempts atomic.Int32
}

// answer answers a request in place of a server.
func (b *breaking) answer(w http.ResponseWriter, r *http.Request) bool {
	text := responseBytes(b.t, http.StatusOK, standin.RequestID(r.Header), b.body, func(h http.Header) {
		standin.SetSignature(h, "s")
		h.Set("Content-Type", "text/event-stream")
	})
	if b.attempts.Add(1) == 1 {
		text = b.turn(text)
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
		for _, broken := range brokenAnswers {
			t.Run(tt.name+", "+broken.name, func(t *testing.T) {
				t.Parallel()
				b := &breaking{t: t, body: tt.body, turn: broken.turn}
				got := startAnsweredBy(t, b.answer).do(keyedCall(tt.path, "r", "key-1"))
				assert.NilError(t, got.err)
				if tt.repeated {
					assert.Check(t, got.status == http.StatusOK && got.body == tt.body, "%d %q", got.status, got.body)
					assert.Equal(t, b.attempts.Load(), int32(2))
					return
				}
				assert.Check(t, got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
				assert.Equal(t, b.attempts.Load(), int32(1))
			})
		}
	}
}

// startAnsweredBy starts an entry and servers that answer as given.
func startAnsweredBy(t *testing.T, answer func(w http.ResponseWriter, r *http.Request) bool) *runningEntry {
	f := newFleet(t)
	f.putConfig()
	for _, service := range []string{"plain", "model"} {
		for n := range 3 {
			f.startServer(service, fmt.Sprint(service, n), 0).SetHandler(answer)
		}
	}
	return f.startEntry("e1", 0).waitReady().waitRegistered()
}

// TestBrokenStageAnswerIsNotUsed guards against results of a stage that stand in bytes that are no
// answer, on connections that are used again.
func TestBrokenStageAnswerIsNotUsed(t *testing.T) {
	for _, broken := range brokenAnswers {
		t.Run(broken.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetOfPairs(t)
			f.putConfig()
			var calls atomic.Int32
			for _, id := range []string{"a1", "a2"} {
				f.servers[id].SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
					if r.URL.Path != platform.StageRunPath || calls.Add(1) > 1 {
						return false
					}
					text := responseBytes(t, http.StatusOK, "", `{"items":[{"handle":"broken"}]}`, func(h http.Header) { h.Set("Content-Type", "application/json") })
					writeRaw(t, w, broken.turn(text))
					return true
				})
			}
			got := f.startEntry("e1", 0).waitReady().waitRegistered().do(stagedCall("r"))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Assert(t, calls.Load() > 1)
			for _, id := range []string{"model1", "model2"} {
				inputs := standin.Inputs(f.servers[id].LastHeader("r"))
				assert.Assert(t, !strings.Contains(inputs, "broken"), inputs)
			}
		})
	}
}

// TestBrokenCacheListIsNotUsed guards against parts of prompts being looked for at a server because of
// bytes that are no answer.
func TestBrokenCacheListIsNotUsed(t *testing.T) {
	sound := brokenAnswer{"sound answer", func(sound string) string { return sound }}
	for _, broken := range append(brokenAnswers, sound) {
		t.Run(broken.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.putServerRecord("model", "model1", cutserver.Start(t, func(r *http.Request, _ int) cutserver.Answer {
				if r.URL.Path != platform.CacheListPath {
					return cutserver.Answer{Bytes: responseBytes(t, http.StatusOK, "r", firstEvent, func(h http.Header) {
						standin.SetSignature(h, "s")
						h.Set("Content-Type", "text/event-stream")
					})}
				}
				list := responseBytes(t, http.StatusOK, "", `{"epoch":1,"next":0,"held":[["","doc",100,"m"]]}`, func(http.Header) {})
				return cutserver.Answer{Bytes: broken.turn(list)}
			}), false)
			f.putConfig()
			type outcome struct {
				Message string `json:"msg"`
				Read    int    `json:"servers"`
				Failed  int    `json:"failed"`
			}
			outcomes := make(chan outcome, 100)
			f.onLog = func(line string) {
				var o outcome
				if json.Unmarshal([]byte(line), &o) == nil && o.Message == "Prompt caches read." && o.Read+o.Failed > 0 {
					outcomes <- o
				}
			}
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			assert.Equal(t, e.do(keyedCall(standin.PathResumable, "r", "key-1")).status, http.StatusOK)
			o := <-outcomes
			assert.Assert(t, (o.Read > 0) == (broken.name == sound.name), "%+v", o)
		})
	}
}
