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

const (
	// maxLineBytes bounds a line of an event. The longest one holds a chunk as JSON.
	maxLineBytes = 16 << 20
	// maxAnswerBytes bounds the texts of an answer and the names of its stages. A schema allows
	// texts of half of that.
	maxAnswerBytes = 128 << 20
)

// ErrCorrupt means that an answer has missing events or no end, or that its number of chunks
// or its checksum does not match.
var ErrCorrupt = errors.New("client: the answer is corrupt")

// answerReader assembles an answer from the events of one or more connections.
type answerReader struct {
	onChunk func(stage, text string)
	// lastSeq is the sequence number of the last event that was handled.
	lastSeq uint64
	// delivered is set once a chunk was passed to onChunk.
	delivered  bool
	chunkCount uint64
	// bytes is the size of the texts and the names of the stages.
	bytes  int
	stages []stageBuilder
	hash   *xxhash.Digest
	done   *doneData
}

// stageBuilder collects the text of one stage.
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
	seq       uint64
	eventType string
	data      string
}

// readEvents handles events up to the last one of the answer. It returns
// errConnectionLost if the stream ends before it, and an *Error if the last event
// reports an error.
func (a *answerReader) readEvents(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for {
		ev, err := nextEvent(lines)
		if err != nil {
			return wrapConnectionLost(err)
		}
		last, err := a.handleEvent(ev)
		if last || err != nil {
			return err
		}
	}
}

// nextEvent reads the next server-sent event.
func nextEvent(lines *bufio.Scanner) (event, error) {
	var ev event
	for lines.Scan() {
		line := lines.Text()
		if line == "" && ev.eventType != "" {
			return ev, nil
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			seq, err := strconv.ParseUint(value, 10, 64)
			if err != nil {
				return ev, errors.Wrap(err, "parse event id")
			}
			ev.seq = seq
		case "event":
			ev.eventType = value
		case "data":
			ev.data = value
		}
	}
	if err := lines.Err(); err != nil {
		return ev, errors.Wrap(err, "read event")
	}
	return ev, io.ErrUnexpectedEOF
}

// handleEvent handles one event. Events that were already handled are skipped, since a
// resumed stream may repeat them.
func (a *answerReader) handleEvent(ev event) (last bool, err error) {
	if ev.seq <= a.lastSeq {
		return false, nil
	}
	if ev.seq != a.lastSeq+1 {
		return false, errors.Wrapf(ErrCorrupt, "event %d received after event %d", ev.seq, a.lastSeq)
	}
	a.lastSeq = ev.seq
	switch ev.eventType {
	case "chunk":
		return false, a.handleChunk(ev.data)
	case "done":
		a.done = &doneData{}
		return true, errors.Wrap(json.Unmarshal([]byte(ev.data), a.done), "decode done event")
	case "error":
		entryErr := &Error{}
		if err := json.Unmarshal([]byte(ev.data), entryErr); err != nil {
			return false, errors.Wrap(err, "decode error event")
		}
		return true, entryErr
	}
	return false, nil
}

// handleChunk adds a chunk to the answer and passes it to onChunk.
func (a *answerReader) handleChunk(data string) error {
	var c chunkData
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "decode chunk event")
	}
	if a.hash == nil {
		a.hash = xxhash.New()
	}
	_, _ = a.hash.WriteString(c.Text)
	a.chunkCount++
	if n := len(a.stages); n == 0 || a.stages[n-1].stage != c.Stage {
		a.stages = append(a.stages, stageBuilder{stage: c.Stage, text: &strings.Builder{}})
		a.bytes += len(c.Stage)
	}
	if a.bytes += len(c.Text); a.bytes > maxAnswerBytes {
		return errors.Wrapf(ErrCorrupt, "more than %d bytes", maxAnswerBytes)
	}
	a.stages[len(a.stages)-1].text.WriteString(c.Text)
	if a.onChunk != nil {
		a.delivered = true
		a.onChunk(c.Stage, c.Text)
	}
	return nil
}

// verify checks the number of chunks and the checksum and returns the answer.
func (a *answerReader) verify() (*Answer, error) {
	if a.hash == nil {
		a.hash = xxhash.New()
	}
	sum := fmt.Sprintf("%016x", a.hash.Sum64())
	if a.chunkCount != a.done.Chunks || sum != a.done.Checksum {
		return nil, errors.Wrapf(ErrCorrupt, "received %d chunks with checksum %s, the entry announced %d with checksum %s", a.chunkCount, sum, a.done.Chunks, a.done.Checksum)
	}
	answer := &Answer{Checksum: sum}
	for _, b := range a.stages {
		answer.Stages = append(answer.Stages, StageText{Stage: b.stage, Text: b.text.String()})
	}
	return answer, nil
}
