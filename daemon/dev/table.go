package dev

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/logservice"
	"primrosespoke.dev/daemon/tablesync"
)

// Names and keys in the deployment's initial table.
const (
	// Model is the name of the model that both engines serve.
	Model = "demo-model"
	// Service is the name of the plain service.
	Service = "desk"
	// DeskKey is the bearer key of the client account "desk-team".
	DeskKey = "desk-key"
	// CrewKey is the bearer key of the client account "crew-team".
	CrewKey = "crew-key"
)

// seedTable appends one edit with the initial rows of the table to the log.
func seedTable(ctx context.Context, logURL string) error {
	data, err := table.EncodeEdit(table.Edit{ID: "dev-seed", Editor: "dev", AtMS: time.Now().UnixMilli(), Rows: seedRows()})
	if err != nil {
		return err
	}
	_, err = logservice.New(logURL, logservice.Options{}).Append(ctx, tablesync.DefaultStream, data)
	return errors.Wrap(err, "append the initial rows of the table")
}

// seedRows returns the initial tiers, client accounts and endpoints.
func seedRows() []table.RowEdit {
	rows := []table.Row{
		tier(table.Tier{Name: "urgent", Rank: 0, FirstToken: 480 * time.Millisecond, TokenInterval: 26 * time.Millisecond}),
		tier(table.Tier{Name: "standard", Rank: 1, Preemptible: true}),
		tier(table.Tier{Name: "batch", Rank: 2, Preemptible: true, QueueLimit: 1000}),
		account(table.Account{Name: "desk-team", Tiers: []string{"standard", "urgent", "batch"}, Weight: 2, Concurrency: 200}, DeskKey),
		account(table.Account{Name: "crew-team", Tiers: []string{"batch", "standard"}, Weight: 1, RequestsPerSecond: 50, Concurrency: 50}, CrewKey),
		{Kind: table.KindEndpoint, Endpoint: &table.Endpoint{Name: Model, Kind: table.EndpointEngine, Weight: 1, MaxTokens: 4096}},
		{Kind: table.KindEndpoint, Endpoint: &table.Endpoint{
			Name: Service, Kind: table.EndpointService, Weight: 1, Concurrency: 16, NonIdempotent: []string{"POST", "DELETE"},
		}},
	}
	edits := make([]table.RowEdit, len(rows))
	for i, row := range rows {
		edits[i] = table.RowEdit{Row: row, Name: rowName(row)}
	}
	return edits
}

func tier(t table.Tier) table.Row {
	return table.Row{Kind: table.KindTier, Tier: &t}
}

// account returns the row of a client account. The table holds only the digest of its key.
func account(a table.Account, key string) table.Row {
	sum := sha256.Sum256([]byte(key))
	a.KeyDigest = hex.EncodeToString(sum[:])
	return table.Row{Kind: table.KindAccount, Account: &a}
}

func rowName(row table.Row) string {
	switch row.Kind {
	case table.KindTier:
		return row.Tier.Name
	case table.KindAccount:
		return row.Account.Name
	default:
		return row.Endpoint.Name
	}
}
