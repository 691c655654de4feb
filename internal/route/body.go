package route

// remoteCostBytes is the number of body bytes for which Config.RemoteCost is added once more.
// The usual request of 1.2 KB pays RemoteCost once; a body of this length takes twice the
// traffic of some fourteen such requests, and 13 ms of a link of 10 Mbit/s.
const remoteCostBytes = 16 << 10

// addBody increases the cost of another data centre for a body of so many bytes. It leaves
// the expected latency unchanged.
func (p *estimateParts) addBody(bytes int64) {
	p.remote *= 1 + float64(bytes)/remoteCostBytes
}
