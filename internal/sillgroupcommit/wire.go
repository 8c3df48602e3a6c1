package sillgroupcommit

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// Path is the HTTP path on which a leader takes the writes of others.
const Path = "/own-rows"

// maxMessageBytes bounds the writes of one call.
const maxMessageBytes = 256 << 10

// wireWrites are the writes of one gateway to one partition.
type wireWrites struct {
	Partition string            `cbor:"partition"`
	Writes    []silltable.Write `cbor:"writes"`
}

func encodeWrites(partition string, writes []silltable.Write) ([]byte, error) {
	b, err := cbor.Marshal(wireWrites{Partition: partition, Writes: writes})
	return b, eris.Wrap(err, "sillgroupcommit.encodeWrites")
}

// ServeHTTP takes the writes of another gateway. It responds with status 204 once they
// are committed, and with 503 if they may not be.
func (c *Committer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := sillserver.ReadBody(w, r, maxMessageBytes)
	var message wireWrites
	if err == nil {
		err = cbor.Unmarshal(body, &message)
	}
	if err != nil || len(message.Writes) == 0 || len(message.Writes) > maxTxnWrites {
		c.cfg.Log.Warn("Writes of a peer can't be read.", zap.String("peer", r.RemoteAddr), silllog.Err(err))
		http.Error(w, "writes can't be read", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	if err := c.gather(ctx, message.Partition, message.Writes); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
