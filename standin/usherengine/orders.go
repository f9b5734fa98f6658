package usherengine

import (
	"net/http"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
)

// Order actions.
const (
	actionLoadModel   = "load_model"
	actionLoadAdapter = "load_adapter"
	actionSetRole     = "set_role"
)

type (
	orderRequest struct {
		Fence  int64  `json:"fence"`
		Action string `json:"action"`
		Name   string `json:"name"`
	}

	orderRecord struct {
		orderRequest
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
	var body orderRequest
	if err := usherhttp.Decode(w, r, &body); err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !slices.Contains([]string{actionLoadModel, actionLoadAdapter, actionSetRole}, body.Action) || body.Name == "" {
		usherhttp.Refuse(w, http.StatusBadRequest, "order needs a name and a known action")
		return
	}
	var (
		obeyed   bool
		response orderState
	)
	e.withState(r, func(s *state) {
		obeyed = e.applyOrder(s, body)
		response = s.orders.clone()
	})
	if !obeyed {
		usherhttp.Refuse(w, http.StatusConflict, "old_fence")
		return
	}
	usherhttp.Reply(w, http.StatusOK, response)
}

func (e *Engine) serveOrders(w http.ResponseWriter, r *http.Request) {
	var response orderState
	e.withState(r, func(s *state) { response = s.orders.clone() })
	usherhttp.Reply(w, http.StatusOK, response)
}

// applyOrder executes an order and reports true, unless fencing is enforced and its fencing token is outdated. It
// records the order in both cases.
func (e *Engine) applyOrder(s *state, body orderRequest) bool {
	now := time.Now()
	record := orderRecord{orderRequest: body, AtMS: now.UnixMilli()}
	record.Obeyed = !e.config.EnforceFencing || body.Fence >= s.orders.Fence
	if record.Obeyed {
		record.Changed = s.orders.apply(body)
		s.orders.Fence = max(s.orders.Fence, body.Fence)
	}
	if record.Changed && body.Action == actionLoadModel {
		s.model.MarkCold()
		s.modelReadyAt = now.Add(e.config.LoadTime)
		e.recordReport(s, now)
	}
	s.orders.Orders = append(s.orders.Orders, record)
	return record.Obeyed
}

// apply applies the order to the state and reports whether the state changed.
func (o *orderState) apply(body orderRequest) bool {
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

// Loaded returns the loaded model and adapters.
func (e *Engine) Loaded() (model string, adapters []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.orders.Model, slices.Clone(e.state.orders.Adapters)
}
