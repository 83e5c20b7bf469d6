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

// direct sends the requests to the engines in turn, without entry or agents.
func direct(ctx context.Context, d *harness.Deployment, list []load.Request, rate float64) row {
	r := row{path: "direct", rate: rate}
	outcomes := make([]load.Outcome, len(list))
	started := time.Now()
	var wg sync.WaitGroup
	for i, req := range list {
		time.Sleep(time.Until(started.Add(req.At)))
		wg.Go(func() {
			outcomes[i] = generate(ctx, d.StandinAddrs[engineName(i%engines)], req.Nonce, req.Body)
		})
	}
	wg.Wait()
	r.take(outcomes)
	return r
}

// generate reads one stream of an engine.
func generate(ctx context.Context, addr, id string, input []byte) load.Outcome {
	var o load.Outcome
	body, err := json.Marshal(map[string]any{"id": id, "model": "m", "input": string(input), "max_tokens": tokens})
	if err != nil {
		return o
	}
	due := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return o
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	last := time.Time{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		switch {
		case strings.HasPrefix(lines.Text(), "event: done"):
			o.Class = load.Complete
		case strings.HasPrefix(lines.Text(), "data: ") && o.Class != load.Complete:
			now := time.Now()
			if last.IsZero() {
				o.FirstText = now.Sub(due)
			} else {
				o.Gaps = append(o.Gaps, now.Sub(last))
			}
			last = now
		}
	}
	return o
}

// quantile returns a quantile in milliseconds; 0 for an empty list.
func quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[int(q*float64(len(list)-1))].Microseconds()) / 1000
}
