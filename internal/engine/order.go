package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Order asks an engine to change what it has loaded, or its role.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64 `json:"fence"`
}

// maxReasonBytes bounds the reason that is read of a refused order.
const maxReasonBytes = 256

// Order sends an order once. Begin is called immediately before the first byte
// is sent; with another code than OK nothing is sent.
func (m *Model) Order(ctx context.Context, o Order, begin func() result.Code) Outcome {
	body, err := json.Marshal(o)
	if err != nil {
		return Outcome{Code: result.Internal, Message: err.Error(), Ran: result.RanNo}
	}
	g := &gate{begin: begin}
	req, err := http.NewRequestWithContext(withGate(ctx, g), http.MethodPost, m.base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return Outcome{Code: result.Internal, Message: err.Error(), Ran: result.RanNo}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.client.Do(req)
	if err != nil {
		return lost(ctx, g, err)
	}
	defer func() { _ = resp.Body.Close() }()
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	switch resp.StatusCode {
	case http.StatusOK:
		return ok()
	case http.StatusConflict:
		return Outcome{Code: result.OrderFenced, Message: "the server knows a newer fencing number", Ran: result.RanNo}
	}
	out := refusedOrFailed(resp)
	out.Message += ": " + string(bytes.TrimSpace(reason))
	return out
}
