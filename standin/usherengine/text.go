package usherengine

import (
	"embed"
	"io/fs"
	"math"
	"path"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

// maxTokens is the maximum length of an answer.
const maxTokens = 16_000

// Finish reasons of a generation.
const (
	finishComplete = "complete"
	finishLength   = "length"
)

// Text is a source of answers. A prompt that contains the name of a text is answered with words from it.
type Text struct {
	Name  string
	Words []string
}

// answer is the complete answer to a prompt: length words of a text, starting at offset.
type answer struct {
	words  []string
	offset int
	length int
	finish string
}

var (
	//go:embed texts/*.txt
	embedded     embed.FS
	defaultTexts = mustTexts(embedded)
	exactLength  = regexp.MustCompile(`tokens=(\d{1,5})`)
)

func mustTexts(files fs.FS) []Text {
	texts, err := ReadTexts(files, "texts")
	if err != nil {
		panic(err)
	}
	return texts
}

// DefaultTexts returns the texts that are embedded in the package.
func DefaultTexts() []Text {
	return defaultTexts
}

// ReadTexts reads all .txt files in dir.
func ReadTexts(files fs.FS, dir string) ([]Text, error) {
	names, err := fs.Glob(files, path.Join(dir, "*.txt"))
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "invalid text directory %q", dir)
	}
	var texts []Text
	for _, name := range names {
		body, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, errorx.ExternalError.Wrap(err, "cannot read text %q", name)
		}
		words := strings.Fields(string(body))
		if len(words) == 0 {
			return nil, errorx.IllegalFormat.New("text %q is empty", name)
		}
		texts = append(texts, Text{Name: strings.TrimSuffix(path.Base(name), ".txt"), Words: words})
	}
	if len(texts) == 0 {
		return nil, errorx.DataUnavailable.New("directory %q contains no .txt files", dir)
	}
	return texts, nil
}

// Answer returns the tokens that an engine with this config generates for a prompt, and the finish reason.
func (c Config) Answer(generationID, prompt string, maxTokens int) (tokens []string, finish string) {
	a := c.withDefaults().answer(generationID, prompt, maxTokens)
	for i := range a.length {
		tokens = append(tokens, a.token(i))
	}
	return tokens, a.finish
}

func (c Config) answer(generationID, prompt string, limit int) answer {
	hash := xxhash.Sum64String(prompt + "\x00" + generationID)
	text := c.textFor(prompt, hash)
	a := answer{words: text.Words, offset: int(hash % uint64(len(text.Words))), finish: finishComplete}
	a.length = c.length(prompt)
	if limit <= 0 || limit > maxTokens {
		limit = maxTokens
	}
	if a.length > limit {
		a.length, a.finish = limit, finishLength
	}
	return a
}

func (c Config) textFor(prompt string, hash uint64) Text {
	for _, text := range c.Texts {
		if strings.Contains(prompt, text.Name) {
			return text
		}
	}
	return c.Texts[hash>>32%uint64(len(c.Texts))]
}

// length returns the length of the answer. It is log-normally distributed and derived from a hash of the prompt, unless
// the prompt specifies it.
func (c Config) length(prompt string) int {
	if match := exactLength.FindStringSubmatch(prompt); match != nil {
		if length, err := strconv.Atoi(match[1]); err == nil {
			return length
		}
	}
	normal := standardNormal(xxhash.Sum64String(prompt), xxhash.Sum64String(prompt+"\x00length"))
	length := math.Exp(c.LengthMu + c.LengthSigma*normal)
	return int(min(max(length, 1), 4*maxTokens))
}

// standardNormal converts two hashes to a standard normally distributed value by the Box-Muller transform.
func standardNormal(a, b uint64) float64 {
	const scale = 1.0 / (1 << 53)
	u := (float64(a>>11) + 0.5) * scale
	v := float64(b>>11) * scale
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
}

func (a answer) token(index int) string {
	word := a.words[(a.offset+index)%len(a.words)]
	if index == 0 {
		return word
	}
	return " " + word
}
