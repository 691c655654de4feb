package owner

// delayedGain is the weight of one offer in the share of those that are not started at once.
// An owner is offered tens of attempts a second, and some hundreds in an overload, so that
// entries hear of a change within a few tenths of a second.
const delayedGain = 1.0 / 16

// noteOffer takes whether an offered attempt was started at once.
func (o *Owner) noteOffer(v DecisionKind) {
	target := 1.0
	if v == Start {
		target = 0
	}
	o.delayed += (target - o.delayed) * delayedGain
}
