package silljob

import (
	"github.com/rotisserie/eris"
)

// ErrTooManyItems is returned for an item after MaxItems others.
var ErrTooManyItems = eris.Errorf("a job has at most %d items: submit several", MaxItems)

// PackedItems are the items of a submission, encoded as they are stored. A job of many short
// items takes several times the bytes of its body once each item is decoded. The zero value has
// no items. An error of Add is final.
type PackedItems struct {
	ids      itemIDs
	table    *idTable
	splitter listSplitter
	lists    []elementList
	// bytes is the size of the lists.
	bytes int
}

// Add checks an item and adds it at the next position.
func (p *PackedItems) Add(item *Item) error {
	position := p.ids.len()
	if position >= MaxItems {
		return ErrTooManyItems
	}
	if err := item.Validate(); err != nil {
		return eris.Wrapf(err, "item %d", position)
	}
	if p.table == nil {
		p.table = newIDTable(&p.ids)
	}
	if !p.table.add(item.ID) {
		return eris.Errorf("item %d: id %.40q is that of another item", position, string(item.ID))
	}
	full, err := p.splitter.add(item)
	p.addList(full)
	return err
}

func (p *PackedItems) addList(l *elementList) {
	if l != nil {
		p.lists = append(p.lists, *l)
		p.bytes += len(l.data)
	}
}

// Len returns the number of items.
func (p *PackedItems) Len() int { return p.ids.len() }

// heldBytes returns what the items are expected to take once all are decoded.
func (p *PackedItems) heldBytes() int { return p.bytes + p.Len()*itemOverheadBytes }

// flush ends the last list. The table of ids is not needed any more.
func (p *PackedItems) flush() error {
	p.table = nil
	last, err := p.splitter.flush()
	p.addList(last)
	return err
}

// Items decodes all items.
func (p *PackedItems) Items() ([]Item, error) {
	if err := p.flush(); err != nil {
		return nil, err
	}
	items := make([]Item, 0, p.Len())
	for i := range p.lists {
		list, failures, err := decodeList[Item](&p.lists[i])
		if err != nil {
			return nil, err
		}
		for j, item := range list {
			if item == nil {
				return nil, failures[p.lists[i].first+j]
			}
			items = append(items, *item)
		}
	}
	return items, nil
}

// pack returns the items of a submission.
func (s *Submission) pack() (*PackedItems, error) {
	packed := s.Packed
	if packed == nil {
		packed = &PackedItems{}
		for i := range s.Items {
			if err := packed.Add(&s.Items[i]); err != nil {
				return nil, err
			}
		}
	}
	return packed, packed.flush()
}
