package usherconfig_test

import (
	"io/fs"
	"os"
	"path"
	"testing"
	"testing/fstest"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// FuzzParse checks that every declaration without faults can be rendered and assembled, and that every fault has a
// location and a rule.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"consortium", "foundation", "broken"} {
		directory := os.DirFS(declarations + name)
		files, err := fs.Glob(directory, "*.ini")
		if err != nil {
			f.Fatal(err)
		}
		combined := ""
		for _, file := range append(files, "workspaces/kochi.ini", "workspaces/cebu.ini") {
			if text, err := fs.ReadFile(directory, path.Clean(file)); err == nil {
				f.Add(string(text))
				combined += string(text) + "\n"
			}
		}
		f.Add(combined)
	}
	for _, text := range []string{
		"", "[", "]", "[]", "[a]\n=", "a", "[declaration]\nrevision = \"\"\"", "[service s]\nkind = `engine", "\uFEFF[service s]\r\nkind='plain'\r\n",
		"[declaration]\nrevision=18446744073709551615\n", "[values a b]\n\"\"\"x\"\"\" = 1\n", "[template t]\nprompt = {{{a}}}\n",
		"[service s]\nkind = \"\"\"plain\"\"\" \"\"\"\nx = `\n[b]`\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		snapshot, faults := usherconfig.Parse(fstest.MapFS{"x.ini": {Data: []byte(text)}})
		for _, fault := range faults {
			if fault.File == "" || fault.Rule == "" || fault.Line < 0 {
				t.Errorf("fault %+v has no valid location or no rule", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		if _, err := usherconfig.Assemble(render(snapshot)); err != nil {
			t.Errorf("accepted by Parse, rejected by Assemble: %s", err)
		}
	})
}

// FuzzAssemble checks that Assemble accepts arbitrary data, as the index or as a shard of any kind, only if it keeps
// the rules of Check.
func FuzzAssemble(f *testing.F) {
	for _, name := range []string{"consortium", "foundation"} {
		snapshot, faults := usherconfig.Parse(os.DirFS(declarations + name))
		if len(faults) > 0 {
			f.Fatal(faults)
		}
		for _, value := range usherconfig.Render(snapshot) {
			f.Add(value.Data)
		}
	}
	for _, data := range [][]byte{nil, {0xa0}, {0xa3, 1, 1, 2, 0, 3, 0x80}, {0xff}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if view, err := usherconfig.Assemble(data, nil); err == nil && view.WorkspaceCount() > 0 {
			t.Error("assembled workspaces from an index without shards")
		}
		for kind := range 6 {
			index, shards := indexOfOneShard(kind, data)
			view, err := usherconfig.Assemble(index, shards)
			if err == nil && len(view.Snapshot().Check()) > 0 {
				t.Errorf("shard of kind %d was accepted with violations: %v", kind, view.Snapshot().Check())
			}
		}
	})
}

// indexOfOneShard returns a valid index whose only shard is data, listed under kind.
func indexOfOneShard(kind int, data []byte) ([]byte, map[usherconfig.Digest][]byte) {
	digest := usherconfig.DigestOf(data)
	index := []byte{0xa3, 1, 1, 2, 1, 3, 0x86} // format 1, revision 1, six kinds
	for k := range 6 {
		if k == kind {
			index = append(index, 0x81, 0x50)
			index = append(index, digest[:]...)
		} else {
			index = append(index, 0x80)
		}
	}
	return index, map[usherconfig.Digest][]byte{digest: data}
}
