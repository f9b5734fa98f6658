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

	observedWire struct {
		Fence    uint64   `json:"fence"`
		Model    string   `json:"model"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
	}
)

// Orders reads what an engine has been ordered to be.
func (c *Client) Orders(ctx context.Context, target netip.AddrPort) (usherorder.Observed, error) {
	response, err := c.get(ctx, address(target, ordersPath))
	if err != nil {
		return usherorder.Observed{}, err
	}
	defer response.Body.Close()
	var wire observedWire
	if err := decode(response.Body, &wire); err != nil {
		return usherorder.Observed{}, err
	}
	return usherorder.Observed(wire), nil
}

// Order gives an engine an order. ErrRefused says that the engine knows a newer fencing number.
func (c *Client) Order(ctx context.Context, target netip.AddrPort, order usherorder.Order) error {
	data, err := json.Marshal(orderWire{Fence: order.Fence, Action: string(order.Action), Name: order.Name})
	if err != nil {
		return ErrMalformed.Wrap(err, "order")
	}
	_, ctx = newSending(ctx, noGuard)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address(target, ordersPath), bytes.NewReader(data))
	if err != nil {
		return ErrMalformed.Wrap(err, "order")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ErrConnection.Wrap(err, "order")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return ErrRefused.New("target answered %s", response.Status)
	}
	return nil
}
