// Package internal_test checks which packages may import which.
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

// layers are ordered from the top. Of the internal packages, a package of a layer may
// import only those of its own layer and of lower ones.
var layers = []string{"transport", "protocol", "coordination", "state"}

// forbiddenImports lists the packages that the coordination and state layers must
// not import, so that their decisions involve no network, files or processes.
var forbiddenImports = []string{"net", "net/http", "os", "os/exec", "syscall"}

func layerIndex(layer string) int {
	for i, name := range layers {
		if name == layer {
			return i
		}
	}
	return -1
}

// forEachImport calls check for each import of each non-test file of a layer.
func forEachImport(t *testing.T, layer string, check func(importer, path string)) {
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

func TestLayersImportOnlySameOrLower(t *testing.T) {
	for i, layer := range layers {
		t.Run(layer, func(t *testing.T) {
			forEachImport(t, layer, func(importer, imported string) {
				relative, internal := strings.CutPrefix(imported, module)
				if !internal {
					return
				}
				target, _, _ := strings.Cut(relative, "/")
				assert.GreaterOrEqual(t, layerIndex(target), i, "%s imports %s", importer, imported)
			})
		})
	}
}

func TestCoordinationAndStateDoNoIO(t *testing.T) {
	for _, layer := range []string{"coordination", "state"} {
		t.Run(layer, func(t *testing.T) {
			forEachImport(t, layer, func(importer, imported string) {
				assert.NotContains(t, forbiddenImports, imported, "%s imports %s", importer, imported)
			})
		})
	}
}
