// Package journaler appends to and follows the streams of the platform's log.
// It needs only the log's append and read calls. An append whose response is
// lost may or may not have been written.
package journaler

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

// rpcTimeout is the timeout of one call to the log.
const rpcTimeout = 3 * time.Second

// Page is the response to one read.
type Page struct {
	Items []Item
	// Oldest is the oldest offset that the log retains.
	Oldest uint64
	// Next is the offset that the next append will get.
	Next uint64
}

// Item is the data of one append.
type Item struct {
	Offset uint64
	Data   []byte
}

// Log is the platform's log service.
type Log interface {
	// Append adds data to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns at most limit items of a stream, starting at an offset.
	Read(ctx context.Context, stream string, from uint64, limit int) (Page, error)
}

// Client is a Connect client of the log service. It implements Log.
type Client struct {
	service schemaconnect.LogServiceClient
}

// NewClient returns a client of the log service at an address that sends its
// calls with the HTTP client.
func NewClient(client *http.Client, addr netip.AddrPort) *Client {
	return &Client{service: schemaconnect.NewLogServiceClient(client, "http://"+addr.String())}
}

// Append implements Log. Errors have the kind classifier.LogUnavailable.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	response, err := c.service.Append(ctx, connect.NewRequest(&schema.AppendRequest{Stream: stream, Data: data}))
	if err != nil {
		return 0, classifier.Wrap(classifier.LogUnavailable, err, "append to %s", stream)
	}
	return response.Msg.GetOffset(), nil
}

// Read implements Log. Errors have the kind classifier.LogUnavailable.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	response, err := c.service.Read(ctx, connect.NewRequest(&schema.ReadRequest{Stream: stream, From: from, Max: uint32(limit)}))
	if err != nil {
		return Page{}, classifier.Wrap(classifier.LogUnavailable, err, "read %s", stream)
	}
	page := Page{Oldest: response.Msg.GetOldest(), Next: response.Msg.GetNext()}
	for _, item := range response.Msg.GetItems() {
		page.Items = append(page.Items, Item{Offset: item.GetOffset(), Data: item.GetData()})
	}
	return page, nil
}

// encode returns the data of one append.
func encode(records []*schema.Record) ([]byte, error) {
	return proto.Marshal(&schema.Batch{Records: records})
}

// Decode returns the records in the data of one append.
func Decode(data []byte) ([]*schema.Record, error) {
	batch := &schema.Batch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		return nil, err
	}
	return batch.GetRecords(), nil
}
