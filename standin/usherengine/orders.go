package usherengine

import (
	"net/http"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
)

// Actions of an order.
const (
	actionLoadModel   = "load_model"
	actionLoadAdapter = "load_adapter"
	actionSetRole     = "set_role"
)

type (
	orderBody struct {
		Fence  int64  `json:"fence"`
		Action string `json:"action"`
		Name   string `json:"name"`
	}

	orderRecord struct {
		orderBody
		AtMS    int64 `json:"at_ms"`
		Obeyed  bool  `json:"obeyed"`
		Changed bool  `json:"changed"`
	}

	orderState struct {
		Fence    int64         `json:"fence"`
		Model    string        `json:"model"`
		Adapters []string      `json:"adapters"`
		Role     string        `json:"role"`
		Orders   []orderRecord `json:"orders"`
	}
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if err := usherhttp.Decode(w, r, &body); err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !slices.Contains([]string{actionLoadModel, actionLoadAdapter, actionSetRole}, body.Action) || body.Name == "" {
		usherhttp.Refuse(w, http.StatusBadRequest, "order needs a name and a known action")
		return
	}
	var (
		obeyed bool
		answer orderState
	)
	e.locked(r, func(s *state) {
		obeyed = e.obey(s, body)
		answer = s.orders.clone()
	})
	if !obeyed {
		usherhttp.Refuse(w, http.StatusConflict, "old_fence")
		return
	}
	usherhttp.Reply(w, http.StatusOK, answer)
}

func (e *Engine) serveOrders(w http.ResponseWriter, r *http.Request) {
	var answer orderState
	e.locked(r, func(s *state) { answer = s.orders.clone() })
	usherhttp.Reply(w, http.StatusOK, answer)
}

// obey does what an order says, unless its fencing number is old and the engine checks it.
func (e *Engine) obey(s *state, body orderBody) bool {
	now := time.Now()
	noted := orderRecord{orderBody: body, AtMS: now.UnixMilli()}
	noted.Obeyed = !e.config.ChecksFences || body.Fence >= s.orders.Fence
	if noted.Obeyed {
		noted.Changed = s.orders.apply(body)
		s.orders.Fence = max(s.orders.Fence, body.Fence)
	}
	if noted.Changed && body.Action == actionLoadModel {
		s.model.MarkCold()
		s.loadedAt = now.Add(e.config.LoadTime)
		e.noteReport(s, now)
	}
	s.orders.Orders = append(s.orders.Orders, noted)
	return noted.Obeyed
}

// apply changes the state and reports whether it was different before.
func (o *orderState) apply(body orderBody) bool {
	switch body.Action {
	case actionLoadModel:
		changed := o.Model != body.Name
		o.Model = body.Name
		return changed
	case actionLoadAdapter:
		if slices.Contains(o.Adapters, body.Name) {
			return false
		}
		o.Adapters = append(o.Adapters, body.Name)
		return true
	default:
		changed := o.Role != body.Name
		o.Role = body.Name
		return changed
	}
}

func (o orderState) clone() orderState {
	o.Adapters = slices.Clone(o.Adapters)
	o.Orders = slices.Clone(o.Orders)
	return o
}

// Loaded returns the model and the adapters that the engine has.
func (e *Engine) Loaded() (model string, adapters []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.orders.Model, slices.Clone(e.state.orders.Adapters)
}
