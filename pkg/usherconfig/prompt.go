package usherconfig

import "strings"

// promptPart is a piece of a prompt: literal text or the name of a parameter.
type promptPart struct {
	literal     string
	placeholder string
}

// fillPrompt puts arguments in the place of their names. A value is never searched for placeholders itself.
func fillPrompt(prompt string, arguments []Argument) string {
	parts, _ := splitPrompt(prompt)
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(part.literal)
		if part.placeholder != "" {
			value, _ := findArgument(arguments, part.placeholder)
			b.WriteString(value)
		}
	}
	return b.String()
}

// splitPrompt cuts a prompt at its placeholders; {{ and }} stand for single braces. It reports whether braces match.
func splitPrompt(prompt string) (parts []promptPart, matched bool) {
	matched = true
	for prompt != "" {
		i := strings.IndexAny(prompt, "{}")
		if i < 0 {
			return append(parts, promptPart{literal: prompt}), matched
		}
		brace, rest := prompt[i], prompt[i+1:]
		if rest != "" && rest[0] == brace {
			parts = append(parts, promptPart{literal: prompt[:i+1]})
			prompt = rest[1:]
			continue
		}
		end := strings.IndexAny(rest, "{}")
		if brace == '}' || end < 1 || rest[end] == '{' {
			matched = false
			parts = append(parts, promptPart{literal: prompt[:i+1]})
			prompt = rest
			continue
		}
		parts = append(parts, promptPart{literal: prompt[:i]}, promptPart{placeholder: rest[:end]})
		prompt = rest[end+1:]
	}
	return parts, matched
}
