package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// Stages calls the servers of stages. It implements planner.Stages.
type Stages struct {
	Client *upstream.Client
	// Takes tells whether a server still takes new work.
	Takes func(id string) bool
}

var stageOutcomes = map[platform.PieceOutcome]staging.Outcome{
	platform.PieceCompleted: staging.Succeeded, platform.PieceTimedOut: staging.DeadlinePassed, platform.PieceInputMissing: staging.InputMissing,
	platform.PieceOutOfMemory: staging.OutOfMemory, platform.PieceFailed: staging.Failed,
}

// Make implements planner.Stages.
func (s *Stages) Make(ctx context.Context, c staging.Call) (staging.CallStatus, []staging.Result, error) {
	if !s.Takes(c.Server.ID) {
		return staging.ServerGone, nil, errors.New("server leaves")
	}
	pieces := make([]platform.Piece, len(c.Items))
	for i, it := range c.Items {
		pieces[i] = platform.Piece{RequestID: it.JobID, Stage: it.Stage, Index: it.Piece, RemainingTime: it.RemainingTime, PieceKey: it.Key, Inputs: it.Inputs}
	}
	body, err := platform.EncodeStageRun(pieces)
	if err != nil {
		return staging.Incomplete, nil, err
	}
	resp, err := s.post(ctx, c.Server, platform.StageRunPath, body)
	if errors.Is(err, upstream.ErrNotSent) {
		return staging.ServerGone, nil, err
	}
	if err != nil {
		return staging.Incomplete, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return staging.ServerGone, nil, errors.New("another server has the address")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return staging.Incomplete, nil, err
	}
	if platform.DecodeServerResponse(resp.StatusCode, resp.Header).NotExecuted {
		return staging.ServerFull, nil, errors.New(causeFull)
	}
	if resp.StatusCode != http.StatusOK {
		return staging.Incomplete, nil, errors.Newf("status %d", resp.StatusCode)
	}
	return decodePieces(data, len(c.Items))
}

func decodePieces(data []byte, n int) (staging.CallStatus, []staging.Result, error) {
	made, err := platform.DecodeStageRun(data, n)
	if err != nil {
		return staging.Incomplete, nil, err
	}
	results := make([]staging.Result, n)
	for i, m := range made {
		results[i] = staging.Result{Outcome: stageOutcomes[m.Outcome], Handle: m.Handle}
	}
	return staging.Answered, results, nil
}

// Free implements planner.Stages.
func (s *Stages) Free(ctx context.Context, f staging.FreeRequest) error {
	body, err := platform.EncodeStageFree(f.Handles)
	if err != nil {
		return err
	}
	resp, err := s.post(ctx, f.Server, platform.StageFreePath, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (s *Stages) post(ctx context.Context, srv staging.Server, path string, body []byte) (*upstream.Response, error) {
	return s.Client.Do(ctx, &upstream.Request{
		Address: srv.Address, Method: http.MethodPost, Target: path, Host: srv.Address,
		Header: platform.StageCallHeader(srv.ID), Body: body, Reuse: true,
	})
}
