package usherplain

import (
	"bytes"
	"encoding/json"
	"time"
)

type (
	// Record is what a plain service executed over all its lives.
	Record struct {
		// Calls has one entry for each call id, Operations one for each operation with its parameters.
		Calls       []CallRecord      `json:"calls"`
		Operations  []OperationRecord `json:"operations"`
		Executions  int               `json:"executions"`
		Refused     int               `json:"refused"`
		Deaths      int               `json:"deaths"`
		PeakRunning int               `json:"peak_running"`
	}

	// CallRecord counts the executions under one call id.
	CallRecord struct {
		CallID      string          `json:"call_id"`
		Operation   string          `json:"operation"`
		Parameters  json.RawMessage `json:"parameters"`
		Incarnation int64           `json:"incarnation"`
		StartedAtMS int64           `json:"started_at_ms"`
		Executions  int             `json:"executions"`
	}

	// OperationRecord counts the executions of one operation with the same parameters.
	OperationRecord struct {
		Operation  string          `json:"operation"`
		Parameters json.RawMessage `json:"parameters"`
		Executions int             `json:"executions"`
	}

	operationKey struct {
		operation, parameters string
	}

	// recorder collects a Record under the lock of the service.
	recorder struct {
		Record
		byCall      map[string]int
		byOperation map[operationKey]int
	}
)

// Record returns what the service has executed.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.record.Record
	seen.Calls = append([]CallRecord{}, seen.Calls...)
	seen.Operations = append([]OperationRecord{}, seen.Operations...)
	return seen
}

// executed counts one execution and returns its answer.
func (c *recorder) executed(incarnation int64, body callBody) callAnswer {
	body.Parameters = canonical(body.Parameters)
	c.Executions++
	call := c.call(incarnation, body)
	call.Executions++
	operation := c.operation(body)
	operation.Executions++
	return callAnswer{body.CallID, callResult{body.Operation, body.Parameters, c.Executions, operation.Executions}}
}

func (c *recorder) call(incarnation int64, body callBody) *CallRecord {
	at, known := c.byCall[body.CallID]
	if !known {
		if c.byCall == nil {
			c.byCall = map[string]int{}
		}
		at = len(c.Calls)
		c.byCall[body.CallID] = at
		c.Calls = append(c.Calls, CallRecord{
			CallID:      body.CallID,
			Operation:   body.Operation,
			Parameters:  body.Parameters,
			Incarnation: incarnation,
			StartedAtMS: time.Now().UnixMilli(),
		})
	}
	return &c.Calls[at]
}

func (c *recorder) operation(body callBody) *OperationRecord {
	key := operationKey{body.Operation, string(body.Parameters)}
	at, known := c.byOperation[key]
	if !known {
		if c.byOperation == nil {
			c.byOperation = map[operationKey]int{}
		}
		at = len(c.Operations)
		c.byOperation[key] = at
		c.Operations = append(c.Operations, OperationRecord{Operation: body.Operation, Parameters: body.Parameters})
	}
	return &c.Operations[at]
}

// another returns the latest call id that is not id.
func (c *recorder) another(id string) string {
	for i := len(c.Calls) - 1; i >= 0; i-- {
		if c.Calls[i].CallID != id {
			return c.Calls[i].CallID
		}
	}
	return foreignID
}

// canonical returns the same text for equal parameters, whatever their spacing and the order of their keys.
func canonical(parameters json.RawMessage) json.RawMessage {
	if len(parameters) == 0 {
		return json.RawMessage("null")
	}
	decoder := json.NewDecoder(bytes.NewReader(parameters))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return parameters
	}
	text, err := json.Marshal(value)
	if err != nil {
		return parameters
	}
	return text
}
