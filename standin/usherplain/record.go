package usherplain

import (
	"bytes"
	"encoding/json"
	"time"
)

type (
	// Record holds what a plain service has executed in all its incarnations.
	Record struct {
		// Calls has one entry for each call id, Operations one for each combination of operation and parameters.
		Calls       []CallRecord      `json:"calls"`
		Operations  []OperationRecord `json:"operations"`
		Executions  int               `json:"executions"`
		Refused     int               `json:"refused"`
		Crashes     int               `json:"deaths"`
		PeakRunning int               `json:"peak_running"`
	}

	// CallRecord counts the executions with one call id.
	CallRecord struct {
		CallID      string          `json:"call_id"`
		Operation   string          `json:"operation"`
		Parameters  json.RawMessage `json:"parameters"`
		Incarnation int64           `json:"incarnation"`
		StartedAtMS int64           `json:"started_at_ms"`
		Executions  int             `json:"executions"`
	}

	// OperationRecord counts the executions of one operation with equal parameters.
	OperationRecord struct {
		Operation  string          `json:"operation"`
		Parameters json.RawMessage `json:"parameters"`
		Executions int             `json:"executions"`
	}

	operationKey struct {
		operation, parameters string
	}

	// recorder collects a Record. It is protected by the lock of the service.
	recorder struct {
		Record
		byCall      map[string]int
		byOperation map[operationKey]int
	}
)

// Record returns a copy of the record.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.recorder.Record
	record.Calls = append([]CallRecord{}, record.Calls...)
	record.Operations = append([]OperationRecord{}, record.Operations...)
	return record
}

// addExecution counts an execution and returns its response.
func (c *recorder) addExecution(incarnation int64, body callRequest) callResponse {
	body.Parameters = canonicalJSON(body.Parameters)
	c.Executions++
	call := c.call(incarnation, body)
	call.Executions++
	operation := c.operation(body)
	operation.Executions++
	return callResponse{body.CallID, callResult{body.Operation, body.Parameters, c.Executions, operation.Executions}}
}

func (c *recorder) call(incarnation int64, body callRequest) *CallRecord {
	index, exists := c.byCall[body.CallID]
	if !exists {
		if c.byCall == nil {
			c.byCall = map[string]int{}
		}
		index = len(c.Calls)
		c.byCall[body.CallID] = index
		c.Calls = append(c.Calls, CallRecord{
			CallID:      body.CallID,
			Operation:   body.Operation,
			Parameters:  body.Parameters,
			Incarnation: incarnation,
			StartedAtMS: time.Now().UnixMilli(),
		})
	}
	return &c.Calls[index]
}

func (c *recorder) operation(body callRequest) *OperationRecord {
	key := operationKey{body.Operation, string(body.Parameters)}
	index, exists := c.byOperation[key]
	if !exists {
		if c.byOperation == nil {
			c.byOperation = map[operationKey]int{}
		}
		index = len(c.Operations)
		c.byOperation[key] = index
		c.Operations = append(c.Operations, OperationRecord{Operation: body.Operation, Parameters: body.Parameters})
	}
	return &c.Operations[index]
}

// crosstalkID returns the most recent call id other than id.
func (c *recorder) crosstalkID(id string) string {
	for i := len(c.Calls) - 1; i >= 0; i-- {
		if c.Calls[i].CallID != id {
			return c.Calls[i].CallID
		}
	}
	return defaultCrosstalkID
}

// canonicalJSON normalizes white space and the order of keys, so that equal parameters have equal encodings.
func canonicalJSON(parameters json.RawMessage) json.RawMessage {
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
