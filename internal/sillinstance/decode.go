package sillinstance

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// maxDepth is the depth from which values of the list are dropped. The decoder refuses a
// whole document for one value that is nested too deeply.
const maxDepth = 32

type listResponse struct {
	AsOf      int64             `json:"as-of"`
	Instances []json.RawMessage `json:"instances"`
}

// decodeList decodes the list. It passes entries that are not valid to onSkipped: the list
// may hold entries of another writer.
func decodeList(body []byte, onSkipped func(error)) (List, error) {
	var l listResponse
	if err := json.Unmarshal(dropDeep(body), &l); err != nil {
		return List{}, err
	}
	list := List{AsOf: time.UnixMilli(l.AsOf), Instances: make([]Instance, 0, len(l.Instances))}
	for _, raw := range l.Instances {
		in, err := decodeInstance(raw)
		if err != nil {
			onSkipped(err)
			continue
		}
		list.Instances = append(list.Instances, in)
	}
	return list, nil
}

func decodeInstance(raw []byte) (Instance, error) {
	var in Instance
	if err := json.Unmarshal(raw, &in); err != nil {
		return Instance{}, eris.Wrap(err, "sillinstance.decodeInstance")
	}
	address, err := netip.ParseAddrPort(in.AgentAddress)
	switch {
	case err != nil:
		return Instance{}, eris.Wrapf(err, "sillinstance.decodeInstance: instance %q", in.ID)
	case address.Port() == 0:
		return Instance{}, eris.Errorf("sillinstance.decodeInstance: instance %q has no port", in.ID)
	case in.ID == "" || in.Target == "" || in.Pool == "":
		return Instance{}, eris.Errorf("sillinstance.decodeInstance: id, target or pool of instance %q is missing", in.ID)
	case in.State != Live && in.State != Leaving:
		return Instance{}, eris.Errorf("sillinstance.decodeInstance: instance %q has the unknown state %q", in.ID, in.State)
	}
	return in, nil
}

// dropDeep replaces the values of a JSON document that are nested deeper than maxDepth by
// null. Of a document that is not valid it returns one that is not valid either.
func dropDeep(body []byte) []byte {
	kept := make([]byte, 0, len(body))
	depth, inString := 0, false
	for i := 0; i < len(body); i++ {
		c := body[i]
		opens, closes := !inString && (c == '[' || c == '{'), !inString && (c == ']' || c == '}')
		if opens {
			if depth++; depth == maxDepth+1 {
				kept = append(kept, "null"...)
			}
		}
		if depth <= maxDepth {
			kept = append(kept, c)
		}
		if closes {
			depth--
		}
		switch {
		case c == '"':
			inString = !inString
		case c == '\\' && inString:
			// The next byte is no end of the string.
			if i++; i < len(body) && depth <= maxDepth {
				kept = append(kept, body[i])
			}
		}
	}
	return kept
}
