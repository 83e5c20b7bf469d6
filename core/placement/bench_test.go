package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// BenchmarkChoose chooses servers for prompts with shared parts in pools of the sizes of the
// smallest deployments and of the target.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{9, 300, 2700} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			t := New(nil)
			var defs []Server
			for i := range servers {
				defs = append(defs, Server{ID: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%16), Slots: 64, CacheTokens: 500_000})
			}
			t.SetServers("p", defs)
			now, i := time.Duration(0), 0
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				i++
				id := fmt.Sprint("r", i)
				parts := []PromptPart{{fmt.Sprint("shared", i%40), 2500}, {fmt.Sprint("session", i%400), 3800}, {id, 2900}}
				t.Choose(now, Request{ID: id, Pool: "p", Zone: "z1", Parts: parts, MaxTokens: 100, Residency: residency.Unrestricted(), TimeToObjective: time.Second})
				t.Finish(now, id, Complete)
			}
		})
	}
}
