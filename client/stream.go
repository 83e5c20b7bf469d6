package client

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrCorrupt means that an answer does not match its checksum or has a gap.
var ErrCorrupt = errors.New("client: the answer is corrupt")

// answerReader takes in the events of an answer over any number of streams.
type answerReader struct {
	onChunk func(stage, text string)
	// seq is the newest event taken in.
	seq    uint64
	given  bool
	chunks uint64
	stages []stageBuilder
	hash   *xxhash.Digest
	done   *doneData
}

// stageBuilder gathers the text of one stage.
type stageBuilder struct {
	stage string
	text  *strings.Builder
}

type chunkData struct {
	Stage string `json:"stage"`
	Text  string `json:"text"`
}

type doneData struct {
	Chunks   uint64 `json:"chunks"`
	Checksum string `json:"checksum"`
}

type event struct {
	seq  uint64
	kind string
	data string
}

// read takes in events until the last. It returns errCut if the stream ended
// before, and *Error if the last event was an error.
func (a *answerReader) read(r io.Reader) error {
	lines := bufio.NewReader(r)
	for {
		ev, err := nextEvent(lines)
		if err != nil {
			return cutBy(err)
		}
		last, err := a.take(ev)
		if last || err != nil {
			return err
		}
	}
}

func nextEvent(r *bufio.Reader) (event, error) {
	var ev event
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return ev, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" && ev.kind != "" {
			return ev, nil
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			if ev.seq, err = strconv.ParseUint(value, 10, 64); err != nil {
				return ev, errors.Wrap(err, "event id")
			}
		case "event":
			ev.kind = value
		case "data":
			ev.data = value
		}
	}
}

// take takes in one event; events that came before are passed over.
func (a *answerReader) take(ev event) (last bool, err error) {
	if ev.seq <= a.seq {
		return false, nil
	}
	if ev.seq != a.seq+1 {
		return false, errors.Wrapf(ErrCorrupt, "event %d after %d", ev.seq, a.seq)
	}
	a.seq = ev.seq
	switch ev.kind {
	case "chunk":
		return false, a.chunk(ev.data)
	case "done":
		a.done = &doneData{}
		return true, errors.Wrap(json.Unmarshal([]byte(ev.data), a.done), "last event")
	case "error":
		told := &Error{}
		if err := json.Unmarshal([]byte(ev.data), told); err != nil {
			return false, errors.Wrap(err, "error event")
		}
		return true, told
	}
	return false, nil
}

func (a *answerReader) chunk(data string) error {
	var c chunkData
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "chunk event")
	}
	if a.hash == nil {
		a.hash = xxhash.New()
	}
	_, _ = a.hash.WriteString(c.Text)
	a.chunks++
	if n := len(a.stages); n == 0 || a.stages[n-1].stage != c.Stage {
		a.stages = append(a.stages, stageBuilder{stage: c.Stage, text: &strings.Builder{}})
	}
	a.stages[len(a.stages)-1].text.WriteString(c.Text)
	if a.onChunk != nil {
		a.given = true
		a.onChunk(c.Stage, c.Text)
	}
	return nil
}

// complete verifies the answer.
func (a *answerReader) complete() (*Answer, error) {
	if a.hash == nil {
		a.hash = xxhash.New()
	}
	sum := fmt.Sprintf("%016x", a.hash.Sum64())
	if a.chunks != a.done.Chunks || sum != a.done.Checksum {
		return nil, errors.Wrapf(ErrCorrupt, "%d chunks with checksum %s, the entry sent %d with %s", a.chunks, sum, a.done.Chunks, a.done.Checksum)
	}
	answer := &Answer{Checksum: sum}
	for _, b := range a.stages {
		answer.Stages = append(answer.Stages, StageText{Stage: b.stage, Text: b.text.String()})
	}
	return answer, nil
}
