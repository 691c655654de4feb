package owner

// delayedGain is the weight of one offer in the smoothed share of offers that do not
// start at once. An owner gets tens of offers a second, and some hundreds in an overload,
// so entries see a change within a few tenths of a second.
const delayedGain = 1.0 / 16

// recordOffer updates the share of delayed offers with one decision.
func (o *Owner) recordOffer(kind DecisionKind) {
	target := 1.0
	if kind == Start {
		target = 0
	}
	o.delayedShare += (target - o.delayedShare) * delayedGain
}
