package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// StageClient calls stage servers. It implements planner.StageCaller.
type StageClient struct {
	Client *upstream.Client
	// AcceptsRequests reports whether a server accepts new requests.
	AcceptsRequests func(id string) bool
}

var stagingOutcomes = map[platform.PieceOutcome]staging.Outcome{
	platform.PieceCompleted: staging.Succeeded, platform.PieceTimedOut: staging.DeadlinePassed, platform.PieceInputMissing: staging.InputMissing,
	platform.PieceOutOfMemory: staging.OutOfMemory, platform.PieceFailed: staging.Failed,
}

// Run implements planner.StageCaller.
func (s *StageClient) Run(ctx context.Context, c staging.Call) (staging.CallStatus, []staging.Result, error) {
	if !s.AcceptsRequests(c.Server.ID) {
		return staging.ServerGone, nil, errors.New("server is leaving")
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
		return staging.ServerGone, nil, errors.New("address belongs to another server")
	}
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return staging.Incomplete, nil, err
	}
	if platform.DecodeServerResponse(resp.StatusCode, resp.Header).NotExecuted {
		return staging.ServerFull, nil, errors.New(causeServerFull)
	}
	if resp.StatusCode != http.StatusOK {
		return staging.Incomplete, nil, errors.Newf("status %d", resp.StatusCode)
	}
	return decodeResults(data, len(c.Items))
}

func decodeResults(data []byte, n int) (staging.CallStatus, []staging.Result, error) {
	pieces, err := platform.DecodeStageRun(data, n)
	if err != nil {
		return staging.Incomplete, nil, err
	}
	results := make([]staging.Result, n)
	for i, m := range pieces {
		results[i] = staging.Result{Outcome: stagingOutcomes[m.Outcome], Handle: m.Handle}
	}
	return staging.Answered, results, nil
}

// Free implements planner.StageCaller.
func (s *StageClient) Free(ctx context.Context, f staging.FreeRequest) error {
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

func (s *StageClient) post(ctx context.Context, srv staging.Server, path string, body []byte) (*upstream.Response, error) {
	return s.Client.Do(ctx, &upstream.Request{
		Address: srv.Address, Method: http.MethodPost, Target: path, Host: srv.Address,
		Header: platform.StageCallHeader(srv.ID), Body: body, ReuseConnection: true,
	})
}
