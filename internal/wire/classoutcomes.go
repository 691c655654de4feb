package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"gypsumstand/internal/model"
)

// maxServed is a served share of 100%, in thousandths.
const maxServed = model.ShareScale

// checkClassOutcomes checks model.LoadReport.ClassOutcomes. A class that is named twice would
// count twice at the entry.
func checkClassOutcomes(list []model.ClassOutcome) error {
	if len(list) > model.MaxClassOutcomes {
		return fmt.Errorf("%d class outcomes are over the bound of %d", len(list), model.MaxClassOutcomes)
	}
	for i, o := range list {
		switch {
		case o.Class == "":
			return errors.New("class outcome has no class")
		case o.Served > maxServed:
			return fmt.Errorf("served share %d is over %d", o.Served, maxServed)
		}
		for _, other := range list[:i] {
			if other.Class == o.Class {
				return fmt.Errorf("class outcome of %q is repeated", o.Class)
			}
		}
	}
	return nil
}

// decodeWithoutOutcomes decodes a report whose class outcomes are not of their type.
func decodeWithoutOutcomes(s string) (r model.LoadReport, ok bool) {
	var m struct {
		model.LoadReport
		// ClassOutcomes takes the place of the embedded field of this key.
		ClassOutcomes cbor.RawMessage `cbor:"18,keyasint"`
	}
	if err := decodeHeader(s, MaxReportBytes, &m); err != nil || m.ClassOutcomes == nil {
		return model.LoadReport{}, false
	}
	m.LoadReport.MalformedOutcomes = true
	return m.LoadReport, true
}
