// Package commander implements the operators' commands.
//
// # Usage
//
//	publish := &commander.Publish{File: "prod.json", Log: address, Out: os.Stdout}
//	err := publish.Run(ctx)
package commander

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/reporter"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/follower"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/verifier"
)

// Sentinel errors. The command line maps them to exit codes.
var (
	// ErrRejected marks a change that was evaluated and rejected.
	ErrRejected = errors.New("change was rejected")
	// ErrNotApplied marks a change that some live node did not apply in time.
	ErrNotApplied = errors.New("change is not in force everywhere yet")
	// ErrInput marks an invalid file or argument.
	ErrInput = errors.New("input can't be used")
)

const (
	callTimeout = 5 * time.Second
	dialTimeout = time.Second
)

func newLogClient(address netip.AddrPort) *follower.Client {
	transport := verifier.NewTransport(&http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext})
	return &follower.Client{Address: address, HTTP: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// evaluatedRecord is a record of the configuration stream with its verdict.
type evaluatedRecord struct {
	record  configurator.Record
	verdict configurator.Verdict
}

// replay applies the configuration stream to state, from its next record up to
// the stream's end. It returns the new state and the evaluated records with
// their verdicts. If the log no longer has the next record, it continues from
// the newest snapshot, and the records before that are missing from the result.
func replay(ctx context.Context, logClient *follower.Client, state *configurator.State) (*configurator.State, []evaluatedRecord, error) {
	var evaluatedRecords []evaluatedRecord
	for {
		page, err := logClient.Read(ctx, follower.ConfigurationStream, state.Next(), 0)
		if err != nil {
			return nil, nil, err
		}
		if page.Oldest > state.Next() {
			if state, err = newestSnapshot(ctx, logClient); err != nil {
				return nil, nil, err
			}
			if page.Oldest > state.Next() {
				return nil, nil, errors.New("the newest snapshot is older than the oldest record")
			}
			continue
		}
		for _, record := range page.Records {
			var evaluated evaluatedRecord
			state, evaluated.record, evaluated.verdict, err = transcoder.ApplyRecord(state, record.Offset, record.Data)
			if err != nil {
				return nil, nil, err
			}
			evaluatedRecords = append(evaluatedRecords, evaluated)
		}
		if state.Next() >= page.Next {
			return state, evaluatedRecords, nil
		}
	}
}

func newestSnapshot(ctx context.Context, logClient *follower.Client) (*configurator.State, error) {
	snapshot, err := (&follower.Configuration{Client: logClient}).NewestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return configurator.Restore(snapshot)
}

// Publish appends a record with the changes that turn the current configuration
// into the declared one. Its fields are set before Run.
type Publish struct {
	// File holds a declaration, which the help calls a printed configuration.
	File string
	Log  netip.AddrPort
	// Base is the offset that the declaration is based on. If negative, it is the
	// end of the stream at the time of publication.
	Base int64
	// Prune deletes objects that are not in the declaration.
	Prune bool
	// Wait is the longest time to wait until every live node has applied the
	// change, counted from the append. Zero does not wait.
	Wait time.Duration
	// Node is the operators' address of a node, for Wait.
	Node netip.AddrPort
	Out  io.Writer
}

// Run publishes the declaration in the file. Its errors are marked ErrInput,
// ErrRejected or ErrNotApplied, or come from the log client. After the append,
// Run looks for the record and its verdict in the stream, even if the outcome
// of the append is unknown.
func (p *Publish) Run(ctx context.Context) error {
	data, err := os.ReadFile(p.File)
	if err != nil {
		return errors.Mark(err, ErrInput)
	}
	declaration, err := transcoder.DecodeDeclaration(data)
	if err != nil {
		return errors.Mark(errors.Wrap(err, p.File), ErrInput)
	}
	return p.Declare(ctx, declaration)
}

// Declare publishes a declaration like Run, without reading a file.
func (p *Publish) Declare(ctx context.Context, declaration transcoder.Declaration) error {
	logClient := newLogClient(p.Log)
	state, _, err := replay(ctx, logClient, configurator.New())
	if err != nil {
		return err
	}
	record := configurator.Record{
		ID:      newRecordID(),
		Base:    state.Next(),
		Rules:   configurator.RulesVersion,
		Changes: state.Diff(declaration.Objects, p.Prune),
	}
	if p.Base >= 0 {
		record.Base = uint64(p.Base)
	}
	if len(record.Changes) == 0 {
		_, err := fmt.Fprintf(p.Out, "nothing to change at offset %d\n", state.Next())
		return err
	}
	for _, change := range record.Changes {
		fmt.Fprintf(p.Out, "%s %s\n", change.Op, change.Ref)
	}
	return p.append(ctx, logClient, state, record)
}

func (p *Publish) append(ctx context.Context, logClient *follower.Client, state *configurator.State, record configurator.Record) error {
	encoded, err := transcoder.EncodeRecord(record)
	if err != nil {
		return err
	}
	started := time.Now()
	_, err = logClient.Append(ctx, follower.ConfigurationStream, [][]byte{encoded})
	if err != nil && !errors.Is(err, claimer.ErrAppendUnknown) {
		return err
	}
	verdict, found, readErr := findVerdict(ctx, logClient, state, record.ID)
	if readErr != nil {
		return errors.CombineErrors(readErr, err)
	}
	if !found {
		return errors.Wrapf(err, "record %s is not in the log, its append is in doubt", record.ID)
	}
	if !verdict.Accepted() {
		return errors.Mark(errors.Wrapf(verdict.Reason, "offset %d", verdict.Offset), ErrRejected)
	}
	fmt.Fprintf(p.Out, "accepted at offset %d\n", verdict.Offset)
	if p.Wait == 0 {
		return nil
	}
	return p.await(ctx, verdict.Offset+1, started)
}

// findVerdict applies the rest of the stream to state and returns the verdict of
// the record with the given ID.
func findVerdict(ctx context.Context, logClient *follower.Client, state *configurator.State, id string) (configurator.Verdict, bool, error) {
	_, evaluatedRecords, err := replay(ctx, logClient, state)
	if err != nil {
		return configurator.Verdict{}, false, err
	}
	for _, evaluated := range evaluatedRecords {
		if evaluated.verdict.ID == id {
			return evaluated.verdict, true, nil
		}
	}
	return configurator.Verdict{}, false, nil
}

const awaitInterval = 50 * time.Millisecond

func (p *Publish) await(ctx context.Context, nextOffset uint64, started time.Time) error {
	deadline := started.Add(p.Wait)
	for {
		laggingNodes, err := p.laggingNodes(ctx, nextOffset)
		if err == nil && len(laggingNodes) == 0 {
			fmt.Fprintf(p.Out, "in force on all live nodes after %s\n", time.Since(started).Round(time.Millisecond))
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Mark(errors.CombineErrors(errors.Newf("behind: %v", laggingNodes), err), ErrNotApplied)
		}
		time.Sleep(awaitInterval)
	}
}

func (p *Publish) laggingNodes(ctx context.Context, nextOffset uint64) ([]string, error) {
	body, err := callNode(ctx, http.MethodGet, "http://"+p.Node.String()+"/v1/applied", "")
	if err != nil {
		return nil, err
	}
	applied, err := reporter.DecodeApplied(body)
	if err != nil {
		return nil, errors.Mark(err, ErrNode)
	}
	var laggingNodes []string
	for name, next := range applied {
		if next < nextOffset {
			laggingNodes = append(laggingNodes, name)
		}
	}
	return laggingNodes, nil
}

func newRecordID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// ShowConfiguration prints the current configuration as a declaration, and its offset on
// standard error.
type ShowConfiguration struct {
	Log netip.AddrPort
	Out io.Writer
}

// Run reads the configuration from the log and prints it.
func (s *ShowConfiguration) Run(ctx context.Context) error {
	state, _, err := replay(ctx, newLogClient(s.Log), configurator.New())
	if err != nil {
		return err
	}
	declaration := transcoder.Declaration{Rules: configurator.RulesVersion, Objects: state.Objects()}
	encoded, err := transcoder.EncodeDeclaration(declaration)
	if err != nil {
		return err
	}
	if _, err := s.Out.Write(encoded); err != nil {
		return err
	}
	_, err = fmt.Fprintf(os.Stderr, "offset %d\n", state.Next())
	return err
}

// ShowHistory prints those records of the configuration stream that the log
// still has, with their verdicts.
type ShowHistory struct {
	Log netip.AddrPort
	Out io.Writer
}

// Run reads the stream from the log and prints it, one record a line.
func (h *ShowHistory) Run(ctx context.Context) error {
	_, evaluatedRecords, err := replay(ctx, newLogClient(h.Log), configurator.New())
	for _, evaluated := range evaluatedRecords {
		verdict := "accepted"
		if !evaluated.verdict.Accepted() {
			verdict = "rejected: " + evaluated.verdict.Reason.Error()
		}
		fmt.Fprintf(h.Out, "%d %s base %d, %d changes, %s\n",
			evaluated.verdict.Offset, evaluated.record.ID, evaluated.record.Base, len(evaluated.record.Changes), verdict)
	}
	return err
}
