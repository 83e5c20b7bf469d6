package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/magnoliawheel/magnoliawheel/core/result"
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

// maxReasonBytes is the maximum length of the reason that is read from the response to
// a refused order.
const maxReasonBytes = 256

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
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	switch resp.StatusCode {
	case http.StatusOK:
		return successOutcome()
	case http.StatusConflict:
		return Outcome{Code: result.OrderFenced, Message: "the server has seen a newer fencing number", Ran: result.RanNo}
	}
	out := errorStatusOutcome(resp)
	out.Message += ": " + string(bytes.TrimSpace(reason))
	return out
}
