package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// TestPartOfEarlyAnswerIsNotServed guards against a part of an answer being served as a whole one: a
// server answers a long upload at once without a length, and resets the connection while the upload
// is still being written.
func TestPartOfEarlyAnswerIsNotServed(t *testing.T) {
	signature := http.Header{}
	standin.SetSignature(signature, "s")
	var head strings.Builder
	assert.NilError(t, signature.Write(&head))
	for _, path := range []string{standin.PathSafe, standin.PathUnsafe, standin.PathStream, standin.PathResumable} {
		for _, size := range []int{200 << 10, 3 << 20} {
			for _, buffer := range []int{0, 4 << 10} {
				for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s, %d KiB, buffer %d, %s", path, size>>10, buffer, pause), func(t *testing.T) {
						t.Parallel()
						early := cutserver.Early{
							Answer:        cutserver.Answer{Bytes: "HTTP/1.1 200 OK\r\n" + head.String() + "\r\n" + firstEvent, Pause: pause, End: cutserver.Reset},
							ReceiveBuffer: buffer,
						}
						f := newFleet(t)
						f.store.Put(platform.ConfigTopic, platform.ConfigKey, standin.LimitedConfigRecord(1, f.apiKeys, 16<<10, 4<<20))
						for n := range 3 {
							for _, service := range []string{"plain", "model"} {
								f.putServerRecord(service, fmt.Sprint(service, n), cutserver.StartEarly(t, early), false)
							}
						}
						call := keyedCall(path, "r", "key-1")
						call.body = strings.Repeat("x", size)
						got := f.startEntry("e1", 0).waitReady().waitRegistered().do(call)
						assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
					})
				}
			}
		}
	}
}
