package usherhistory

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkLimit is the time that one history may take to check.
const checkLimit = 20 * time.Second

type (
	// registerInput writes a number or, if it is a read, reads it.
	registerInput struct {
		write  bool
		number int
	}

	// onceInput is a sending of a request, or the last look at how often its targets ran it.
	onceInput struct {
		last bool
	}

	onceOutput struct {
		outcome    string
		result     string
		executions int
	}

	// onceState is what became of a request: it has not run, or it ran with a result that may not have been seen.
	onceState struct {
		ran    bool
		result string
	}
)

// ruleNumber finds the number of the publication that a prompt was made under.
var ruleNumber = regexp.MustCompile(`rule (\d+)`)

// checkConfiguration checks that each gateway behaves as one register: a publication takes effect there within InForce
// and is never undone. A request reads the register between its sending and its start at an engine.
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
		if got := porcupine.CheckOperationsTimeout(registerModel(), reads, checkLimit); got != porcupine.Ok {
			c.violated("configuration", "%s: %s: its %d reads and writes are those of no register%s", gateway, got, len(reads), c.suspicious(reads))
		}
	}
}

// reads returns the reads of each gateway. A request that started more than once reads by its first start.
func (c *checker) reads() map[string][]porcupine.Operation {
	reads := map[string][]porcupine.Operation{}
	for _, a := range c.Observations {
		starts := c.startsOf(a)
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
		reads[a.Gateway] = append(reads[a.Gateway], porcupine.Operation{
			ClientId: len(reads[a.Gateway]) + 1, Input: registerInput{}, Call: a.SentAt.UnixNano(), Output: number,
			Return: max(a.SentAt.UnixNano()+1, starts[0].StartedAtMS*int64(time.Millisecond)),
		})
	}
	return reads
}

// suspicious tells of the reads that alone show a publication late, or one of another number under way.
func (c *checker) suspicious(operations []porcupine.Operation) string {
	text := ""
	for _, o := range operations {
		if in := o.Input.(registerInput); in.write {
			continue
		}
		for _, p := range c.Publications {
			if p.Number > o.Output.(int) && o.Call > p.At.Add(c.PropagationLimit).UnixNano() {
				text += fmt.Sprintf("; rule %d was read %s after rule %d was published", o.Output, time.Unix(0, o.Call).Sub(p.At), p.Number)
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

// checkLedger checks that the sendings of each request that may not run twice, and the targets' account at the end, are
// those of a ledger that runs it at most once.
func (c *checker) checkLedger() {
	sendings := map[string][]porcupine.Operation{}
	last := int64(0)
	for _, a := range c.Observations {
		last = max(last, a.EndedAt.UnixNano())
		if !a.AtMostOnce {
			continue
		}
		sendings[a.Mark] = append(sendings[a.Mark], porcupine.Operation{
			ClientId: len(sendings[a.Mark]) + 1, Input: onceInput{}, Call: a.SentAt.UnixNano(),
			Output: onceOutput{outcome: a.Outcome, result: string(a.Result)}, Return: max(a.SentAt.UnixNano()+1, a.EndedAt.UnixNano()),
		})
	}
	model := onceModel()
	for mark, operations := range sendings {
		operations = append(operations, porcupine.Operation{
			Input: onceInput{last: true}, Call: last + 1, Output: onceOutput{executions: c.index.calls[mark]}, Return: last + 2,
		})
		if got := porcupine.CheckOperationsTimeout(model, operations, checkLimit); got != porcupine.Ok {
			c.violated("ledger", "%s: %s: its %d sendings are those of no ledger: %s", mark, got, len(operations)-1, describe(operations))
		}
	}
}

// onceModel lets a request run once at some moment. A sending that ends without an answer may have run it, then or later.
func onceModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{onceState{}} },
		Step: func(state, input, output any) []any {
			return stepOnce(state.(onceState), input.(onceInput), output.(onceOutput))
		},
	}
	return model.ToModel()
}

func stepOnce(state onceState, in onceInput, out onceOutput) []any {
	if in.last {
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
		return []any{onceState{ran: true, result: out.result}}
	case NotRun:
		if state.ran {
			return nil
		}
		return []any{state}
	default:
		if state.ran {
			return []any{state}
		}
		return []any{state, onceState{ran: true}}
	}
}

func describe(operations []porcupine.Operation) string {
	text := ""
	for _, o := range operations {
		text += fmt.Sprintf(" [%d ms +%d ms: %+v]", o.Call/int64(time.Millisecond), (o.Return-o.Call)/int64(time.Millisecond), o.Output)
	}
	return text
}
