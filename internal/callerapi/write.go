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

// fail writes an error as the whole response.
func (h *Handler) fail(w http.ResponseWriter, id string, e *result.Error) {
	writeError(w, e.Code, e.RetryAfter, answer.ErrorBody(id, e))
}

func writeError(w http.ResponseWriter, code result.Code, after time.Duration, body any) {
	w.Header().Set("Content-Type", "application/json")
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(code.HTTP())
	_ = json.NewEncoder(w).Encode(body)
}

// answer writes the record as a stream or, once it is complete, as one answer.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, rec *answer.Record, after uint64) {
	closeReader := rec.Open()
	delivered := false
	defer func() { closeReader(delivered) }()
	w.Header().Set(HeaderRequestID, rec.ID())
	if wantsStream(r) {
		delivered = h.stream(w, r, rec, after)
		return
	}
	// The id reaches the caller before the work is done.
	w.WriteHeader(http.StatusEarlyHints)
	delivered = h.whole(w, r, rec)
}

// whole waits for the end and writes one answer; true once it is written.
func (h *Handler) whole(w http.ResponseWriter, r *http.Request, rec *answer.Record) bool {
	for {
		events, changed, complete := rec.After(0)
		if complete {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.opts.WriteTimeout))
			return writeWhole(w, rec.ID(), events)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func writeWhole(w http.ResponseWriter, id string, events []answer.Event) bool {
	last := events[len(events)-1]
	if last.Kind == answer.KindError {
		var body answer.ErrorData
		if json.Unmarshal(last.Data, &body) != nil {
			return false
		}
		writeError(w, result.Code(body.Code), body.Err().RetryAfter, body)
		return true
	}
	body, err := wholeBody(id, events)
	if err != nil {
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(body)
	return err == nil
}

// wholeBody joins the texts of each stage, in the order of the stages.
func wholeBody(id string, events []answer.Event) ([]byte, error) {
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
	b.Write(quote(id))
	b.WriteString(`,"answer":{`)
	for i, st := range stages {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(quote(st))
		b.WriteByte(':')
		b.Write(quote(texts[st].String()))
	}
	b.WriteString(`},"checksum":`)
	b.Write(quote(done.Checksum))
	b.WriteString("}\n")
	return b.Bytes(), nil
}

func quote(s string) []byte {
	b, _ := json.Marshal(s)
	return b
}

// stream writes events as they come; true once the last one is written.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, rec *answer.Record, after uint64) bool {
	w.Header().Set("Content-Type", TypeStream)
	w.Header().Set("Cache-Control", "no-store")
	out := &streamWriter{w: w, rc: http.NewResponseController(w), timeout: h.opts.WriteTimeout}
	keepAlive := time.NewTicker(KeepAlive)
	defer keepAlive.Stop()
	seq := after
	for {
		events, changed, complete := rec.After(seq)
		for _, ev := range events {
			seq++
			out.event(seq, ev)
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
			out.comment()
		case <-r.Context().Done():
			return false
		}
	}
}

type streamWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	buf     []byte
}

func (s *streamWriter) event(seq uint64, ev answer.Event) {
	s.buf = append(s.buf, "id: "...)
	s.buf = strconv.AppendUint(s.buf, seq, 10)
	s.buf = append(s.buf, "\nevent: "...)
	s.buf = append(s.buf, ev.Kind...)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, ev.Data...)
	s.buf = append(s.buf, "\n\n"...)
}

func (s *streamWriter) comment() { s.buf = append(s.buf, ": keep-alive\n\n"...) }

// flush sends what was written; the deadline cuts callers that do not read.
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
