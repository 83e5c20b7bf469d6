package callerapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
)

// writeError writes an error response. id is empty if there is no request id yet.
func (h *Handler) writeError(w http.ResponseWriter, id string, e *result.Error) {
	writeErrorBody(w, e.Code, e.RetryAfter, answer.NewErrorData(id, e))
}

func writeErrorBody(w http.ResponseWriter, code result.Code, retryAfter time.Duration, body any) {
	w.Header().Set("Content-Type", "application/json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((retryAfter+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(code.HTTP())
	_ = json.NewEncoder(w).Encode(body)
}

// writeAnswer writes the answer as an event stream if the caller asked for one, and
// otherwise as one JSON body once the answer is complete. lastSeq is the sequence
// number of the last event that the caller already has.
func (h *Handler) writeAnswer(w http.ResponseWriter, r *http.Request, rec *answer.Record, lastSeq uint64) {
	closeReader := rec.OpenReader()
	delivered := false
	defer func() { closeReader(delivered) }()
	w.Header().Set(HeaderRequestID, rec.ID())
	if wantsStream(r) {
		delivered = h.writeStream(w, r, rec, lastSeq)
		return
	}
	// Early hints send the request id to the caller before the work is done.
	w.WriteHeader(http.StatusEarlyHints)
	delivered = h.writeWhenComplete(w, r, rec)
}

// writeWhenComplete waits until the answer is complete and writes it as one JSON body.
// It reports whether the answer was written.
func (h *Handler) writeWhenComplete(w http.ResponseWriter, r *http.Request, rec *answer.Record) bool {
	for {
		events, changed, complete := rec.EventsAfter(0)
		if complete {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.opts.WriteTimeout))
			return writeCompleteAnswer(w, rec.ID(), events)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func writeCompleteAnswer(w http.ResponseWriter, id string, events []answer.Event) bool {
	last := events[len(events)-1]
	if last.Kind == answer.KindError {
		var body answer.ErrorData
		if json.Unmarshal(last.Data, &body) != nil {
			return false
		}
		writeErrorBody(w, result.Code(body.Code), body.ResultError().RetryAfter, body)
		return true
	}
	body, err := encodeAnswer(id, events)
	if err != nil {
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(body)
	return err == nil
}

// encodeAnswer encodes the JSON body of a complete answer. The chunks of each stage are
// concatenated; stages are listed in the order of their first chunks.
func encodeAnswer(id string, events []answer.Event) ([]byte, error) {
	var stages []string
	texts := map[string]*bytes.Buffer{}
	var done answer.DoneData
	for _, ev := range events {
		switch ev.Kind {
		case answer.KindChunk:
			var c answer.ChunkData
			if err := json.Unmarshal(ev.Data, &c); err != nil {
				return nil, err
			}
			if texts[c.Stage] == nil {
				texts[c.Stage] = &bytes.Buffer{}
				stages = append(stages, c.Stage)
			}
			texts[c.Stage].WriteString(c.Text)
		case answer.KindDone:
			if err := json.Unmarshal(ev.Data, &done); err != nil {
				return nil, err
			}
		}
	}
	var b bytes.Buffer
	b.WriteString(`{"request_id":`)
	b.Write(quoteJSON(id))
	b.WriteString(`,"answer":{`)
	for i, stage := range stages {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(quoteJSON(stage))
		b.WriteByte(':')
		b.Write(quoteJSON(texts[stage].String()))
	}
	b.WriteString(`},"checksum":`)
	b.Write(quoteJSON(done.Checksum))
	b.WriteString("}\n")
	return b.Bytes(), nil
}

func quoteJSON(s string) []byte {
	b, _ := json.Marshal(s)
	return b
}

// writeStream writes events as they are recorded. It reports whether the last event
// was written.
func (h *Handler) writeStream(w http.ResponseWriter, r *http.Request, rec *answer.Record, lastSeq uint64) bool {
	w.Header().Set("Content-Type", ContentTypeEventStream)
	w.Header().Set("Cache-Control", "no-store")
	out := &streamWriter{w: w, rc: http.NewResponseController(w), timeout: h.opts.WriteTimeout}
	keepAlive := time.NewTicker(KeepAliveInterval)
	defer keepAlive.Stop()
	seq := lastSeq
	for {
		events, changed, complete := rec.EventsAfter(seq)
		for _, ev := range events {
			seq++
			out.addEvent(seq, ev)
		}
		if out.flush() != nil {
			return false
		}
		if complete {
			return true
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			out.addKeepAlive()
		case <-r.Context().Done():
			return false
		}
	}
}

// streamWriter buffers server-sent events until flush writes them.
type streamWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	buf     []byte
}

func (s *streamWriter) addEvent(seq uint64, ev answer.Event) {
	s.buf = append(s.buf, "id: "...)
	s.buf = strconv.AppendUint(s.buf, seq, 10)
	s.buf = append(s.buf, "\nevent: "...)
	s.buf = append(s.buf, ev.Kind...)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, ev.Data...)
	s.buf = append(s.buf, "\n\n"...)
}

func (s *streamWriter) addKeepAlive() { s.buf = append(s.buf, ": keep-alive\n\n"...) }

// flush sends the buffered events. The write deadline ends the stream of a caller that
// does not read.
func (s *streamWriter) flush() error {
	if len(s.buf) == 0 {
		return s.rc.Flush()
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.timeout))
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return err
	}
	return s.rc.Flush()
}
