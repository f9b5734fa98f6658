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

// maxTokens bounds the length of any answer.
const maxTokens = 16_000

// How a generation ended.
const (
	finishComplete = "complete"
	finishLength   = "length"
)

// Text is a source of answers. A prompt that contains its name is answered from it.
type Text struct {
	Name  string
	Words []string
}

// answer is the whole answer to one prompt, made up word by word.
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

// DefaultTexts returns the small texts that the package carries.
func DefaultTexts() []Text {
	return defaultTexts
}

// ReadTexts reads each file of dir that ends in .txt.
func ReadTexts(files fs.FS, dir string) ([]Text, error) {
	names, err := fs.Glob(files, path.Join(dir, "*.txt"))
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "bad directory of texts %q", dir)
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
		return nil, errorx.DataUnavailable.New("directory %q holds no texts", dir)
	}
	return texts, nil
}

// Answer returns the tokens that an engine of this config makes for a prompt, and how the answer ends.
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

// length is log-normal by the hash of the prompt, unless the prompt states it.
func (c Config) length(prompt string) int {
	if match := exactLength.FindStringSubmatch(prompt); match != nil {
		if length, err := strconv.Atoi(match[1]); err == nil {
			return length
		}
	}
	normal := gauss(xxhash.Sum64String(prompt), xxhash.Sum64String(prompt+"\x00length"))
	length := math.Exp(c.LengthMu + c.LengthSigma*normal)
	return int(min(max(length, 1), 4*maxTokens))
}

// gauss turns two hashes into a standard normal number by the Box-Muller transform.
func gauss(a, b uint64) float64 {
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
