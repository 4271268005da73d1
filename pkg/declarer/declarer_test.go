package declarer

import (
	"bytes"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var record = flag.Bool("record", false, "overwrite the recorded output of the examples")

// TestExamples runs the Go and Python programs of both examples and compares their
// output with the recorded output. With -record it first records the output of the
// Go programs.
func TestExamples(t *testing.T) {
	for _, name := range []string{"cooperative", "suurdeeg"} {
		golden := filepath.Join("testdata", name+".json")
		folder := filepath.Join("..", "..", "examples", name)
		t.Run(name+" in Go", func(t *testing.T) {
			printed := output(t, exec.Command("go", "run", "./"+folder))
			if *record {
				require.NoError(t, os.WriteFile(golden, printed, 0o600))
			}
			assertGolden(t, golden, printed)
		})
		t.Run(name+" in Python", func(t *testing.T) {
			python, err := exec.LookPath("python3")
			if err != nil {
				t.Skip("there is no python3 here")
			}
			assertGolden(t, golden, output(t, exec.Command(python, filepath.Join(folder, name+".py"))))
		})
	}
}

func output(t *testing.T, command *exec.Cmd) []byte {
	t.Helper()
	command.Stderr = os.Stderr
	printed, err := command.Output()
	require.NoError(t, err)
	return printed
}

func assertGolden(t *testing.T, golden string, printed []byte) {
	t.Helper()
	expected, err := os.ReadFile(golden)
	require.NoError(t, err)
	assert.Equal(t, string(expected), string(printed))
}

func TestPrintRejectsInvalidConfiguration(t *testing.T) {
	site := New()
	site.Add(Priority{Name: "chat", Deadline: time.Second}, Model{Name: "usta", Service: "none", Version: "none"})
	var printed bytes.Buffer
	err := site.Print(&printed)
	require.Error(t, err)
	assert.Contains(t, err.Error(), `model/usta: service "none" is not a model service`)
	assert.Empty(t, printed.String())
}
