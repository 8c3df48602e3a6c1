package silljob

import (
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillheader"
)

// maxIDBytes bounds the id of a job, escaped, and that of an item: the name of a partition has
// 200 bytes at most.
const maxIDBytes = 200

// maxModelBytes bounds the name of a job's model, which is a part of the job's state row.
const maxModelBytes = 1 << 10

// Validate returns the reason why a job can't be accepted, or nil. Packed items were checked
// when they were added.
func (s *Submission) Validate() error {
	if err := checkID(string(s.Job)); err != nil {
		return eris.Wrap(err, "job id")
	}
	if len(partition(s.Job)) > maxIDBytes || strings.Trim(string(s.Job), ".") == "" {
		return eris.Errorf("job id %.40q can't be stored: choose a shorter one of letters and digits", string(s.Job))
	}
	if len(s.Model) > maxModelBytes {
		return eris.Errorf("model %.40q has %d bytes, want %d at most", string(s.Model), len(s.Model), maxModelBytes)
	}
	if err := sillheader.CheckHost(s.Host); err != nil {
		return err
	}
	_, err := s.pack()
	return err
}

// Validate returns the reason why an item can't be sent to a target, or nil.
func (i *Item) Validate() error {
	if err := checkID(string(i.ID)); err != nil {
		return err
	}
	if err := checkTarget(i.Path); err != nil {
		return err
	}
	if err := sillheader.Check(i.Header); err != nil {
		return err
	}
	if i.ScoreRequest == nil {
		return nil
	}
	return eris.Wrap(i.ScoreRequest.Validate(), "scorer")
}

// Validate returns the reason why a score request can't be sent, or nil.
func (s *ScoreRequest) Validate() error {
	if err := checkID(string(s.ID)); err != nil {
		return err
	}
	if err := sillheader.CheckHost(s.Host); err != nil {
		return err
	}
	return checkTarget(s.Path)
}

// checkID checks an id, which is the value of a header and a text in rows.
func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes || strings.TrimSpace(id) != id {
		return eris.Errorf("id %.40q is empty, too long or begins or ends with a space", id)
	}
	if strings.ToValidUTF8(id, "") != id {
		return eris.Errorf("id %.40q is not UTF-8", id)
	}
	return sillheader.CheckValue(id)
}

// checkTarget checks a path with its query.
func checkTarget(path string) error {
	if err := sillheader.CheckPath(path); err != nil {
		return err
	}
	_, err := url.ParseRequestURI(path)
	return eris.Wrap(err, "path")
}
