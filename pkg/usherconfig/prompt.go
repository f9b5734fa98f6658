package usherconfig

import "strings"

// promptPart is a piece of a prompt: literal text or the name of a parameter.
type promptPart struct {
	literal     string
	placeholder string
}

// expandPrompt replaces the placeholders of a prompt with the values of the arguments. Placeholders within a value are
// not expanded.
func expandPrompt(prompt string, arguments []Argument) string {
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

// splitPrompt splits a prompt at its placeholders and reports whether its braces are balanced. {{ and }} are escapes
// for single braces.
func splitPrompt(prompt string) (parts []promptPart, balanced bool) {
	balanced = true
	for prompt != "" {
		i := strings.IndexAny(prompt, "{}")
		if i < 0 {
			return append(parts, promptPart{literal: prompt}), balanced
		}
		brace, rest := prompt[i], prompt[i+1:]
		if rest != "" && rest[0] == brace {
			parts = append(parts, promptPart{literal: prompt[:i+1]})
			prompt = rest[1:]
			continue
		}
		end := strings.IndexAny(rest, "{}")
		if brace == '}' || end < 1 || rest[end] == '{' {
			balanced = false
			parts = append(parts, promptPart{literal: prompt[:i+1]})
			prompt = rest
			continue
		}
		parts = append(parts, promptPart{literal: prompt[:i]}, promptPart{placeholder: rest[:end]})
		prompt = rest[end+1:]
	}
	return parts, balanced
}
