// Package internal_test checks how the packages may import each other.
package internal_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const module = "github.com/lacewingrelay/lacewingrelay/internal/"

// layers are ordered from the top; imports point down only.
var layers = []string{"transport", "protocol", "coordination", "state"}

// pure names what the coordination and state layers do without.
var pure = []string{"net", "net/http", "os", "os/exec", "syscall"}

// allowed holds what single packages use for its types alone.
var allowed = map[string][]string{
	"state/indexer":           {"net/http"},
	"coordination/dispatcher": {"net/http"},
	"coordination/exchanger":  {"net/http"},
}

func rank(layer string) int {
	for i, name := range layers {
		if name == layer {
			return i
		}
	}
	return -1
}

// imports calls check for each import of each file of a layer.
func imports(t *testing.T, layer string, check func(folder, path string)) {
	t.Helper()
	err := filepath.WalkDir(layer, func(path string, entry os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			check(filepath.ToSlash(filepath.Dir(path)), imported)
		}
		return nil
	})
	require.NoError(t, err)
}

func TestImportsPointDown(t *testing.T) {
	for i, layer := range layers {
		t.Run(layer, func(t *testing.T) {
			imports(t, layer, func(folder, path string) {
				inside, ours := strings.CutPrefix(path, module)
				if !ours {
					return
				}
				target, _, _ := strings.Cut(inside, "/")
				assert.GreaterOrEqual(t, rank(target), i, "%s imports %s", folder, path)
			})
		})
	}
}

func TestDecisionsArePure(t *testing.T) {
	for _, layer := range []string{"coordination", "state"} {
		t.Run(layer, func(t *testing.T) {
			imports(t, layer, func(folder, path string) {
				for _, forbidden := range pure {
					if path == forbidden {
						assert.Contains(t, allowed[folder], path, "%s imports %s", folder, path)
					}
				}
			})
		})
	}
}
