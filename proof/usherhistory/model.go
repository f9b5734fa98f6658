package usherhistory

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout is the maximum time to check one history.
const checkTimeout = 20 * time.Second

type (
	// registerInput is a write of a number to the register or, if write is false, a read.
	registerInput struct {
		write  bool
		number int
	}

	// requestInput is a send of a request or, if final is set, the read of its execution count after the run.
	requestInput struct {
		final bool
	}

	requestOutput struct {
		outcome    string
		result     string
		executions int
	}

	// requestState is the state of a request: it has not run, or it has run. The result is empty if no caller has observed
	// it.
	requestState struct {
		ran    bool
		result string
	}
)

// ruleNumber matches the number of the publication in a prompt.
var ruleNumber = regexp.MustCompile(`rule (\d+)`)

// checkConfiguration checks that the configuration of each gateway is linearizable as a register: a publication takes
// effect there within PropagationLimit and is never undone. A request reads the register between its send and its start at
// an engine.
func (c *checker) checkConfiguration() {
	if c.PropagationLimit == 0 {
		return
	}
	for gateway, reads := range c.reads() {
		for _, p := range c.Publications {
			reads = append(reads, porcupine.Operation{
				ClientId: 0, Input: registerInput{write: true, number: p.Number}, Call: p.At.UnixNano(), Output: 0,
				Return: p.At.Add(c.PropagationLimit).UnixNano(),
			})
		}
		if got := porcupine.CheckOperationsTimeout(registerModel(), reads, checkTimeout); got != porcupine.Ok {
			c.addViolation("configuration", "%s: %s: its %d reads and writes are not linearizable%s",
				gateway, got, len(reads), c.describeLateReads(reads))
		}
	}
}

// reads returns the reads of each gateway. For a request that started more than once, the first start counts.
func (c *checker) reads() map[string][]porcupine.Operation {
	reads := map[string][]porcupine.Operation{}
	for _, o := range c.Observations {
		starts := c.startsOf(o)
		if len(starts) == 0 {
			continue
		}
		match := ruleNumber.FindStringSubmatch(starts[0].Prompt)
		if match == nil {
			continue
		}
		number, err := strconv.Atoi(match[1])
		if err != nil {
			continue
		}
		reads[o.Gateway] = append(reads[o.Gateway], porcupine.Operation{
			ClientId: len(reads[o.Gateway]) + 1, Input: registerInput{}, Call: o.SentAt.UnixNano(), Output: number,
			Return: max(o.SentAt.UnixNano()+1, starts[0].StartedAtMS*int64(time.Millisecond)),
		})
	}
	return reads
}

// describeLateReads describes the reads that returned a lower number than that of a publication which should have taken
// effect before. In each case that publication is late, or a conflicting one of another number is taking effect.
func (c *checker) describeLateReads(operations []porcupine.Operation) string {
	text := ""
	for _, op := range operations {
		if in := op.Input.(registerInput); in.write {
			continue
		}
		for _, p := range c.Publications {
			if p.Number > op.Output.(int) && op.Call > p.At.Add(c.PropagationLimit).UnixNano() {
				text += fmt.Sprintf("; rule %d was read %s after rule %d was published",
					op.Output, time.Unix(0, op.Call).Sub(p.At), p.Number)
			}
		}
	}
	return text
}

func registerModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			in := input.(registerInput)
			if in.write {
				return true, in.number
			}
			return state == output, state
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v %v", input, output) },
	}
}

// checkLedger checks that the observed sends of each request that must not run twice, together with the targets' execution
// count after the run, are linearizable under a model that runs the request at most once.
func (c *checker) checkLedger() {
	sendsByMark := map[string][]porcupine.Operation{}
	last := int64(0)
	for _, o := range c.Observations {
		last = max(last, o.EndedAt.UnixNano())
		if !o.AtMostOnce {
			continue
		}
		sendsByMark[o.Mark] = append(sendsByMark[o.Mark], porcupine.Operation{
			ClientId: len(sendsByMark[o.Mark]) + 1, Input: requestInput{}, Call: o.SentAt.UnixNano(),
			Output: requestOutput{outcome: o.Outcome, result: string(o.Result)}, Return: max(o.SentAt.UnixNano()+1, o.EndedAt.UnixNano()),
		})
	}
	model := requestModel()
	for mark, operations := range sendsByMark {
		operations = append(operations, porcupine.Operation{
			Input: requestInput{final: true}, Call: last + 1, Output: requestOutput{executions: c.index.calls[mark]}, Return: last + 2,
		})
		if got := porcupine.CheckOperationsTimeout(model, operations, checkTimeout); got != porcupine.Ok {
			c.addViolation("ledger", "%s: %s: its %d sends are not linearizable: %s",
				mark, got, len(operations)-1, describeSends(operations))
		}
	}
}

// requestModel runs a request at most once. A send that ends without a response may have run it, at that time or
// later.
func requestModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{requestState{}} },
		Step: func(state, input, output any) []any {
			return stepRequest(state.(requestState), input.(requestInput), output.(requestOutput))
		},
	}
	return model.ToModel()
}

func stepRequest(state requestState, in requestInput, out requestOutput) []any {
	if in.final {
		if state.ran == (out.executions == 1) && out.executions <= 1 {
			return []any{state}
		}
		return nil
	}
	switch out.outcome {
	case Completed:
		if state.ran && state.result != "" && state.result != out.result {
			return nil
		}
		return []any{requestState{ran: true, result: out.result}}
	case NotRun:
		if state.ran {
			return nil
		}
		return []any{state}
	default:
		if state.ran {
			return []any{state}
		}
		return []any{state, requestState{ran: true}}
	}
}

func describeSends(operations []porcupine.Operation) string {
	text := ""
	for _, op := range operations {
		text += fmt.Sprintf(" [%d ms +%d ms: %+v]",
			op.Call/int64(time.Millisecond), (op.Return-op.Call)/int64(time.Millisecond), op.Output)
	}
	return text
}
