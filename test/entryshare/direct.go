package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

// measureDirect sends the requests to the engines in turn, bypassing the entry and the
// agents.
func measureDirect(ctx context.Context, d *harness.Deployment, requests []load.Request, rate float64) measurement {
	m := measurement{path: "direct", rate: rate}
	outcomes := make([]load.Outcome, len(requests))
	start := time.Now()
	var wg sync.WaitGroup
	for i, req := range requests {
		time.Sleep(time.Until(start.Add(req.ScheduledAt)))
		wg.Go(func() {
			outcomes[i] = readStream(ctx, d.StandinAddrs[engineName(i%engineCount)], req.Nonce, req.Body)
		})
	}
	wg.Wait()
	m.summarize(outcomes)
	return m
}

// readStream generates one response on an engine and measures its latencies.
func readStream(ctx context.Context, addr, id string, input []byte) load.Outcome {
	var outcome load.Outcome
	body, err := json.Marshal(map[string]any{"id": id, "model": "m", "input": string(input), "max_tokens": tokensPerResponse})
	if err != nil {
		return outcome
	}
	sentAt := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return outcome
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return outcome
	}
	defer func() { _ = resp.Body.Close() }()
	lastEvent := time.Time{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		switch {
		case strings.HasPrefix(lines.Text(), "event: done"):
			outcome.Class = load.Complete
		case strings.HasPrefix(lines.Text(), "data: ") && outcome.Class != load.Complete:
			now := time.Now()
			if lastEvent.IsZero() {
				outcome.FirstTextLatency = now.Sub(sentAt)
			} else {
				outcome.ChunkGaps = append(outcome.ChunkGaps, now.Sub(lastEvent))
			}
			lastEvent = now
		}
	}
	return outcome
}

// quantile returns a quantile in milliseconds, or 0 for an empty list. It sorts the
// list.
func quantile(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[int(q*float64(len(durations)-1))].Microseconds()) / 1000
}
