package usherconfig_test

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

func TestAssembleRestoresRenderedSnapshot(t *testing.T) {
	for _, name := range []string{"consortium", "foundation"} {
		snapshot := parseFixture(t, name)
		view := assemble(t, snapshot)
		want := snapshot
		want.Workspaces = nil
		if got := view.Snapshot(); !reflect.DeepEqual(got, want) {
			t.Errorf("snapshot %+v, want %+v", got, want)
		}
		for _, w := range snapshot.Workspaces {
			if got, found := view.Workspace(w.Name); !found || !reflect.DeepEqual(got, w) {
				t.Errorf("workspace %+v, want %+v", got, w)
			}
		}
		if _, found := view.Workspace("undeclared"); found {
			t.Error("found a workspace that is not declared")
		}
	}
}

func TestRenderChangesFewShards(t *testing.T) {
	before := manyWorkspaces(t, 20_000)
	w := before.Workspaces[1234]
	after := before.WithRevision(2).WithWorkspace(w.WithValue("appraisal", "paragraphs", "7"))
	old := map[string]bool{}
	for _, value := range usherconfig.Render(before) {
		old[value.Key] = true
		if len(value.Data) > 512<<10 {
			t.Errorf("%s has %d bytes", value.Key, len(value.Data))
		}
	}
	changed := 0
	for _, value := range usherconfig.Render(after) {
		if !old[value.Key] {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("%d shards have a new key, want 1", changed)
	}
	index, shards := render(after)
	view := assemble(t, before)
	for digest := range shards {
		if _, found := view.Shard(digest); found {
			delete(shards, digest)
		}
	}
	view, err := view.Advance(index, shards)
	if err != nil {
		t.Fatal(err)
	}
	got, _ := view.Workspace(w.Name)
	if value, _ := got.Value("appraisal", "paragraphs"); value != "7" || view.WorkspaceCount() != 20_000 {
		t.Errorf("paragraphs = %q among %d workspaces", value, view.WorkspaceCount())
	}
}

func TestAssembleRejectsInvalidData(t *testing.T) {
	good := parseFixture(t, "consortium")
	tests := []struct {
		name   string
		change func(index []byte, shards map[usherconfig.Digest][]byte) []byte
		want   *errorx.Type
	}{
		{"missing shard", func(index []byte, shards map[usherconfig.Digest][]byte) []byte {
			clear(shards)
			return index
		}, usherconfig.ErrMissingShard},
		{"damaged shard", func(index []byte, shards map[usherconfig.Digest][]byte) []byte {
			for digest, data := range shards {
				shards[digest] = append(bytes.Clone(data), 0)
			}
			return index
		}, usherconfig.ErrDigestMismatch},
		{"truncated index", func(index []byte, _ map[usherconfig.Digest][]byte) []byte {
			return index[:len(index)-1]
		}, usherconfig.ErrFormat},
		{"index in another format", func([]byte, map[usherconfig.Digest][]byte) []byte {
			return []byte(`{"format": 1}`)
		}, usherconfig.ErrFormat},
		{"rule violated by a target", func(_ []byte, shards map[usherconfig.Digest][]byte) []byte {
			target := good.Targets[0]
			target.DataCentre = "nowhere"
			index, changed := render(good.WithTarget(target))
			for digest, data := range changed {
				shards[digest] = data
			}
			return index
		}, usherconfig.ErrInvalid},
		{"rule violated by a workspace", func(_ []byte, shards map[usherconfig.Digest][]byte) []byte {
			index, changed := render(good.WithWorkspace(good.Workspaces[0].WithValue("appraisal", "paragraphs", "41")))
			for digest, data := range changed {
				shards[digest] = data
			}
			return index
		}, usherconfig.ErrInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			index, shards := render(good)
			_, err := usherconfig.Assemble(test.change(index, shards), shards)
			if !errorx.IsOfType(err, test.want) {
				t.Errorf("error %v, want %s", err, test.want)
			}
		})
	}
}

func TestResolve(t *testing.T) {
	view := assemble(t, parseFixture(t, "consortium"))
	entry := usherconfig.Argument{Name: "entry", Value: "A mat of {craft}"}
	craft := usherconfig.Argument{Name: "craft", Value: "coir"}
	tests := []struct {
		name, workspace, template string
		arguments                 []usherconfig.Argument
		want                      *errorx.Type
	}{
		{"accepted", "kochi", "appraisal", []usherconfig.Argument{entry, craft}, nil},
		{"unknown workspace", "goa", "appraisal", nil, usherconfig.ErrNoWorkspace},
		{"unknown template", "kochi", "tag", nil, usherconfig.ErrNoTemplate},
		{"missing parameter", "kochi", "appraisal", []usherconfig.Argument{entry}, usherconfig.ErrMissingParameter},
		{"unknown parameter", "kochi", "appraisal", []usherconfig.Argument{{Name: "loom"}}, usherconfig.ErrUnknownParameter},
		{"repeated parameter", "kochi", "appraisal", []usherconfig.Argument{entry, craft, entry}, usherconfig.ErrRepeatedParameter},
		{"not an enum value", "kochi", "appraisal", []usherconfig.Argument{entry, {Name: "craft", Value: "silk"}}, usherconfig.ErrOutOfBounds},
		{"too short", "kochi", "appraisal", []usherconfig.Argument{craft, {Name: "entry"}}, usherconfig.ErrOutOfBounds},
		{"greater than max", "kochi", "appraisal", []usherconfig.Argument{craft, entry, {Name: "paragraphs", Value: "41"}}, usherconfig.ErrOutOfBounds},
		{"not a number", "kochi", "appraisal", []usherconfig.Argument{craft, entry, {Name: "paragraphs", Value: "x"}}, usherconfig.ErrMalformedParameter},
		{"not a bool", "kochi", "allotment", []usherconfig.Argument{{Name: "artisan", Value: "a"}, {Name: "stall", Value: "1"}, {Name: "notify", Value: "yes"}}, usherconfig.ErrMalformedParameter},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request, err := view.Resolve(test.workspace, test.template, test.arguments)
			if test.want == nil {
				want := "You appraise entries to the craft fairs of the Kochi weavers' fair.\n" +
					"Craft: coir. Tone: plain. At most 20 paragraphs.\n" +
					"The entry, as the artisan describes it:\nA mat of {craft}\n"
				if err != nil || request.Prompt != want {
					t.Errorf("prompt %q, error %v, want %q", request.Prompt, err, want)
				}
				return
			}
			if !errorx.IsOfType(err, test.want) {
				t.Errorf("error %v, want %s", err, test.want)
			}
		})
	}
}

func TestContentHashSeparatesArguments(t *testing.T) {
	view := assemble(t, parseFixture(t, "foundation"))
	hash := func(instrument, school string) uint64 {
		request, err := view.Resolve("manila", "checkout", []usherconfig.Argument{
			{Name: "school", Value: school}, {Name: "instrument", Value: instrument},
		})
		if err != nil {
			t.Fatal(err)
		}
		return request.ContentHash()
	}
	first, shifted, repeated := hash("ab", "c"), hash("a", "bc"), hash("ab", "c")
	if first == shifted || first != repeated {
		t.Error("hashes of different requests are equal, or those of a repeated request differ")
	}
}

func TestVerifyKey(t *testing.T) {
	w, _ := assemble(t, parseFixture(t, "consortium")).Workspace("kochi")
	if !w.VerifyKey("kochi-demo-key") || w.VerifyKey("thrissur-demo-key") || w.VerifyKey("") {
		t.Error("VerifyKey rejects the right key or accepts another one")
	}
}

func assemble(t testing.TB, snapshot usherconfig.Snapshot) usherconfig.View {
	t.Helper()
	view, err := usherconfig.Assemble(render(snapshot))
	if err != nil {
		t.Fatal(err)
	}
	return view
}

func render(snapshot usherconfig.Snapshot) ([]byte, map[usherconfig.Digest][]byte) {
	values := usherconfig.Render(snapshot)
	shards := map[usherconfig.Digest][]byte{}
	for _, value := range values[:len(values)-1] {
		shards[usherconfig.DigestOf(value.Data)] = value.Data
	}
	return values[len(values)-1].Data, shards
}

// manyWorkspaces returns the consortium fixture with its workspaces replaced by count workspaces of two values each.
func manyWorkspaces(t testing.TB, count int) usherconfig.Snapshot {
	snapshot := parseFixture(t, "consortium")
	snapshot.Workspaces = nil
	for i := range count {
		name := fmt.Sprintf("workspace-%06d", i)
		w := usherconfig.Workspace{Name: name, RequestsPerSecond: 5, Burst: 10, Weight: 1, KeyHash: usherconfig.HashKey(name)}
		w = w.WithValue("appraisal", "fair", "the fair of "+name).WithValue("appraisal", "paragraphs", "9")
		snapshot.Workspaces = append(snapshot.Workspaces, w)
	}
	return snapshot
}
