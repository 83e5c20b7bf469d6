package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// maxFreeResponseBytes bounds the response to a request that frees results.
const maxFreeResponseBytes = 64 << 10

// StageClient calls stage servers. It implements planner.StageCaller.
type StageClient struct {
	Client *upstream.Client
	// Bodies bounds the responses that are read at the same time.
	Bodies *bounded.Budget
	// AcceptsRequests reports whether a server accepts new requests.
	AcceptsRequests func(id string) bool
	// Evacuated, if set, reports whether the zone of a server is evacuated.
	Evacuated func(id string) bool
	// OnNotice, if set, receives what servers say about themselves in response to calls that
	// were sent at sentAt; see Gateway.ObserveNotice.
	OnNotice func(sentAt time.Duration, n notice.Notice, mayEndLimit bool)
	// OnLoad, if set, receives what servers say about their load in responses to anything but
	// calls.
	OnLoad func(server staging.Server, load loadreport.Report)
	// Scope, if set, receives the metrics of the servers' load reports.
	Scope tally.Scope
}

var errSecondCopy = errors.New("second copy of the response to an earlier call")

var stagingOutcomes = map[platform.PieceOutcome]staging.Outcome{
	platform.PieceCompleted: staging.Succeeded, platform.PieceTimedOut: staging.DeadlinePassed, platform.PieceInputMissing: staging.InputMissing,
	platform.PieceOutOfMemory: staging.OutOfMemory, platform.PieceFailed: staging.Failed,
}

// Run implements planner.StageCaller.
func (s *StageClient) Run(ctx context.Context, c staging.Call) (staging.CallResult, error) {
	if !s.AcceptsRequests(c.Server.ID) {
		return staging.CallResult{Status: staging.ServerGone}, errors.New("server is leaving")
	}
	pieces := make([]platform.Piece, len(c.Items))
	for i, it := range c.Items {
		pieces[i] = platform.Piece{RequestID: it.JobID, Stage: it.Stage, Index: it.Piece, RemainingTime: it.RemainingTime, PieceKey: it.Key, Inputs: it.Inputs}
	}
	body, err := platform.EncodeStageRun(pieces)
	if err != nil {
		return staging.CallResult{Status: staging.Incomplete}, err
	}
	sentAt := clock.Now()
	resp, err := s.post(ctx, c.Server, platform.StageRunPath, body)
	if errors.Is(err, upstream.ErrNotSent) {
		return staging.CallResult{Status: staging.ServerGone}, err
	}
	if err != nil {
		return staging.CallResult{Status: failedStatus(err)}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return staging.CallResult{Status: staging.ServerGone}, errors.New("address belongs to another server")
	}
	return s.readResult(resp, c, sentAt)
}

// failedStatus returns the status of a call that may have reached its server and failed.
func failedStatus(err error) staging.CallStatus {
	if connectionEnded(err) {
		return staging.Interrupted
	}
	return staging.Incomplete
}

// readResult reads the response to a call.
func (s *StageClient) readResult(resp *upstream.Response, c staging.Call, sentAt time.Duration) (staging.CallResult, error) {
	info := s.decodeResponse(resp, c.Server, sentAt, resp.StatusCode == http.StatusOK)
	s.countLoad(c, info.Load)
	result := staging.CallResult{Status: staging.Incomplete, RetryAfter: info.RetryAfter, Load: info.Load}
	data, release, err := s.Bodies.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		result.Status = failedStatus(err)
		return result, err
	}
	defer release()
	reuse := false
	defer func() {
		if !reuse {
			resp.Discard()
		}
	}()
	if info.NotExecuted {
		result.Status = staging.ServerFull
		return result, errors.New(causeServerFull)
	}
	if resp.StatusCode != http.StatusOK {
		return result, errors.Newf("status %d", resp.StatusCode)
	}
	outcomes, err := platform.DecodeStageRun(data, len(c.Items))
	if err != nil {
		return result, err
	}
	// A late second copy is recognized only by its handles, which no other response has. So a
	// connection on which the server answered without any is not used again.
	reuse = slices.ContainsFunc(outcomes, func(m platform.PieceResult) bool { return m.Handle != "" })
	if reuse && resp.Repeats() {
		reuse = false
		return result, errSecondCopy
	}
	result.Status = staging.Answered
	for _, m := range outcomes {
		result.Results = append(result.Results, staging.Result{Outcome: stagingOutcomes[m.Outcome], Handle: m.Handle})
	}
	return result, nil
}

// decodeResponse decodes the head of a response and reports what the server says about
// itself.
func (s *StageClient) decodeResponse(resp *upstream.Response, srv staging.Server, sentAt time.Duration, mayEndLimit bool) platform.ServerResponse {
	info := platform.DecodeServerResponse(resp.StatusCode, resp.Header)
	if s.OnNotice != nil {
		n := notice.Notice{Server: notice.Server{ID: srv.ID, StartTime: srv.StartTime}, Leaving: info.Leaving, Limit: info.Limit}
		s.OnNotice(sentAt, n, mayEndLimit)
	}
	return info
}

// Free implements planner.StageCaller.
func (s *StageClient) Free(ctx context.Context, f staging.FreeRequest) (time.Duration, error) {
	if s.Evacuated != nil && s.Evacuated(f.Server.ID) {
		return 0, errors.New(causeZoneEvacuated)
	}
	body, err := platform.EncodeStageFree(f.Handles)
	if err != nil {
		return 0, err
	}
	sentAt := clock.Now()
	resp, err := s.post(ctx, f.Server, platform.StageFreePath, body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	info := s.decodeResponse(resp, f.Server, sentAt, false)
	if info.Load != nil && s.OnLoad != nil {
		s.OnLoad(f.Server, *info.Load)
	}
	data, err := bounded.ReadAll(resp.Body, maxFreeResponseBytes)
	// A second copy of a refusal would be taken for the response to the next call.
	if resp.StatusCode != http.StatusOK || platform.IsStageRunResponse(data) {
		resp.Discard()
	}
	if err == nil && info.RetryAfter > 0 {
		err = errors.New(causeServerFull)
	}
	return info.RetryAfter, err
}

func (s *StageClient) post(ctx context.Context, srv staging.Server, path string, body []byte) (*upstream.Response, error) {
	return s.Client.Do(ctx, &upstream.Request{
		Address: srv.Address, Method: http.MethodPost, Target: path, Host: srv.Address,
		Header: platform.StageCallHeader(srv.ID), Body: body, ReuseConnection: true,
	})
}
