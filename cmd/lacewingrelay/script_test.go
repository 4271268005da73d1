package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/assembler"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/launcher"
)

const awaitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lacewingrelay": main,
		"standin":       launcher.Main,
		"caller":        caller,
	})
}

// TestScripts runs the scripts in testdata/script. Each starts its own processes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"address":  freeAddress,
			"settings": writeSettings,
			"site":     writeSite,
			"await":    awaitBody,
			"signal":   signalBackground,
			"ticket":   extractTicket,
			"busy":     findBusyEngine,
			"crashes":  checkCrashes,
			"live":     findLiveEngines,
			"leave":    markLeaving,
		},
	})
}

// caller sends one request: METHOD URL BODY [HEADER:VALUE …]. It prints the
// status, two headers that the scripts match, and the body as it arrives.
func caller() {
	request, err := http.NewRequest(os.Args[1], os.Args[2], strings.NewReader(os.Args[3]))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+assembler.FirstTeamKey)
	for _, header := range os.Args[4:] {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Println("no answer:", err)
		os.Exit(1)
	}
	fmt.Println(response.Status, "replayed="+response.Header.Get("Idempotent-Replayed"), "retry-after="+response.Header.Get("Retry-After"))
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		fmt.Println("answer broke off:", err)
		os.Exit(1)
	}
}

// freeAddress sets each named variable to a free loopback address.
func freeAddress(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, assembler.FreeAddress().String())
	}
}

// writeSettings writes a node's settings to NAME.toml: NAME DOMAIN [SEED …]. It
// picks free addresses and sets $NAME_CALLERS, $NAME_PEERS and $NAME_OPERATORS to
// them.
func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	prefix := strings.ToUpper(name)
	freeAddress(ts, false, []string{prefix + "_CALLERS", prefix + "_PEERS", prefix + "_OPERATORS"})
	var seeds []string
	for _, seed := range args[2:] {
		seeds = append(seeds, fmt.Sprintf("%q", seed))
	}
	text := fmt.Sprintf(`name = %q
domain = %q
[listen]
callers = %q
peers = %q
operators = %q
[platform]
log = %q
hosts = %q
[peers]
key = "a-key-that-all-nodes-share"
seeds = [%s]
[operators]
key = "the-operators-own-key"
[drain]
grace = "200ms"
[logging]
level = "warn"
`, name, args[1], ts.Getenv(prefix+"_CALLERS"), ts.Getenv(prefix+"_PEERS"), ts.Getenv(prefix+"_OPERATORS"),
		ts.Getenv("LOG"), ts.Getenv("HOSTS"), strings.Join(seeds, ", "))
	ts.Check(os.WriteFile(ts.MkAbs(name+".toml"), []byte(text), 0o600))
}

// writeSite writes the printed configuration of a stand-in site: FILE WEIGHTS.
func writeSite(ts *testscript.TestScript, _ bool, args []string) {
	site := &assembler.Site{Plan: assembler.Plan{Domains: []string{"kadikoy", "bursa"}}}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), site.EncodeConfiguration(args[1]), 0o600))
}

// awaitBody polls a URL until the response body matches a pattern: URL PATTERN.
func awaitBody(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[1])
	deadline := time.Now().Add(awaitTimeout)
	last := ""
	for time.Now().Before(deadline) {
		response, err := http.Get(args[0])
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			last = string(body)
			if pattern.Match(body) {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s never matched %s; last: %s", args[0], args[1], last)
}

// signalBackground sends a signal to the background process that has the given
// argument: SIGNAL ARGUMENT.
func signalBackground(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	for _, running := range ts.BackgroundCmds() {
		if hasArgument(running, args[1]) {
			ts.Check(running.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background process has the argument %s", args[1])
}

// engineStats holds what the tests read of a stand-in engine: Running from its
// load report, Crashes from its statistics.
type engineStats struct {
	Running int `json:"running"`
	Crashes int `json:"crashes"`
}

// getStats fetches stats from a path of an engine. It reports whether that
// succeeded.
func getStats(target, path string, stats *engineStats) bool {
	response, err := http.Get("http://" + target + path)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(stats) == nil
}

// findBusyEngine waits until an engine runs a request and sets a variable to
// its address: NAME ENGINE…, where each ENGINE is a variable with an engine's
// address.
func findBusyEngine(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		for _, name := range args[1:] {
			var stats engineStats
			if getStats(ts.Getenv(name), "/v1/load", &stats) && stats.Running > 0 {
				ts.Setenv(args[0], ts.Getenv(name))
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("no engine runs a request")
}

// checkCrashes fails if the engines crashed more often in total than allowed:
// MAXIMUM ENGINE…, where each ENGINE is a variable with an engine's address. An
// engine that does not answer counts as zero crashes.
func checkCrashes(ts *testscript.TestScript, _ bool, args []string) {
	sum := 0
	for _, name := range args[1:] {
		var stats engineStats
		for range 100 {
			if getStats(ts.Getenv(name), "/v1/stats", &stats) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		sum += stats.Crashes
	}
	if fmt.Sprint(sum) > args[0] {
		ts.Fatalf("%d crashes, at most %s are allowed", sum, args[0])
	}
}

// findLiveEngines waits until two engines are up and sets two variables to
// their addresses: NAME NAME ENGINE…, where each ENGINE is a variable with an
// engine's address.
func findLiveEngines(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		var found []string
		for _, name := range args[2:] {
			var stats engineStats
			if getStats(ts.Getenv(name), "/v1/load", &stats) {
				found = append(found, ts.Getenv(name))
			}
		}
		if len(found) >= 2 {
			ts.Setenv(args[0], found[0])
			ts.Setenv(args[1], found[1])
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("fewer than two engines answer")
}

// markLeaving sets the state of the host with an address to leaving on a host
// list: LIST ADDRESS.
func markLeaving(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Get("http://" + args[0] + "/v1/hosts")
	ts.Check(err)
	defer response.Body.Close()
	var list struct {
		Hosts []map[string]string `json:"hosts"`
	}
	ts.Check(json.NewDecoder(response.Body).Decode(&list))
	for _, host := range list.Hosts {
		if host["address"] != args[1] {
			continue
		}
		host["state"] = "leaving"
		body, err := json.Marshal(host)
		ts.Check(err)
		request, err := http.NewRequest(http.MethodPut, "http://"+args[0]+"/v1/hosts/"+host["name"], bytes.NewReader(body))
		ts.Check(err)
		putResponse, err := http.DefaultClient.Do(request)
		ts.Check(err)
		ts.Check(putResponse.Body.Close())
	}
}

// extractTicket sets a variable to the ticket in the last command's output.
func extractTicket(ts *testscript.TestScript, _ bool, args []string) {
	found := regexp.MustCompile(`"ticket":"([^"]+)"`).FindStringSubmatch(ts.ReadFile("stdout"))
	if found == nil {
		ts.Fatalf("the last output holds no ticket")
	}
	ts.Setenv(args[0], found[1])
}

func hasArgument(running *exec.Cmd, argument string) bool {
	for _, arg := range running.Args {
		if arg == argument {
			return true
		}
	}
	return false
}
