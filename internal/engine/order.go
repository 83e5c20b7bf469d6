package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
)

// Order tells an engine to load or unload a model or adapter, or to change its role.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing number of the lease under which the order is given. The
	// engine rejects an order whose number is older than one it has seen.
	Fence uint64 `json:"fence"`
}

const (
	// maxOrderReplyBytes bounds the body of a response to an order.
	maxOrderReplyBytes = 1 << 20
	// maxReasonBytes is the maximum length of the reason that is reported from the response to a
	// refused order.
	maxReasonBytes = 256
)

// SendOrder sends an order once. The function begin is called immediately before the
// first byte is sent; if it returns a code other than OK, nothing is sent.
func (m *ModelClient) SendOrder(ctx context.Context, o Order, begin func() result.Code) Outcome {
	body, err := json.Marshal(o)
	if err != nil {
		return Outcome{Code: result.Internal, Message: err.Error(), Ran: result.RanNo}
	}
	g := &sendGate{beforeSend: begin}
	req, err := http.NewRequestWithContext(withSendGate(ctx, g), http.MethodPost, m.baseURL+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return Outcome{Code: result.Internal, Message: err.Error(), Ran: result.RanNo}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.httpClient.Do(req)
	if err != nil {
		return requestErrorOutcome(ctx, g, err)
	}
	defer func() { _ = resp.Body.Close() }()
	reason, err := bounded.ReadAll(resp.Body, maxOrderReplyBytes)
	if err != nil {
		return requestErrorOutcome(ctx, g, errors.Wrap(err, "read the response to the order"))
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return successOutcome()
	case http.StatusConflict:
		return Outcome{Code: result.OrderFenced, Message: "the server has seen a newer fencing number", Ran: result.RanNo}
	}
	out := errorStatusOutcome(resp)
	out.Message += ": " + string(bytes.TrimSpace(reason[:min(len(reason), maxReasonBytes)]))
	return out
}
