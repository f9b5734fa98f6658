package ushertarget

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/samphireusher/samphireusher/pkg/usherorder"
)

const ordersPath = "/v1/orders"

type (
	orderWire struct {
		Fence  uint64 `json:"fence"`
		Action string `json:"action"`
		Name   string `json:"name"`
	}

	ordersWire struct {
		Fence    uint64   `json:"fence"`
		Model    string   `json:"model"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
	}
)

// Orders reads the state that an engine has been ordered into.
func (c *Client) Orders(ctx context.Context, target netip.AddrPort) (usherorder.Observed, error) {
	response, err := c.get(ctx, urlOf(target, ordersPath))
	if err != nil {
		return usherorder.Observed{}, err
	}
	defer response.Body.Close()
	var wire ordersWire
	if err := decode(response.Body, &wire); err != nil {
		return usherorder.Observed{}, err
	}
	return usherorder.Observed(wire), nil
}

// Order sends an order to an engine. ErrRefused means that the engine has accepted a newer fencing token.
func (c *Client) Order(ctx context.Context, target netip.AddrPort, order usherorder.Order) error {
	data, err := json.Marshal(orderWire{Fence: order.Fence, Action: string(order.Action), Name: order.Name})
	if err != nil {
		return ErrMalformed.Wrap(err, "encode order")
	}
	_, ctx = newWriteGuard(ctx, allowAll)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, urlOf(target, ordersPath), bytes.NewReader(data))
	if err != nil {
		return ErrMalformed.Wrap(err, "create request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ErrConnection.Wrap(err, "send order")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return ErrRefused.New("target responded with status %s", response.Status)
	}
	return nil
}
