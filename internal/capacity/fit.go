package capacity

import "math"

// Shape is the way in which a value grows with the fleet.
type Shape uint8

// The shapes.
const (
	// Linear is a + b*n.
	Linear Shape = iota
	// Logarithmic is a + b*log10(n).
	Logarithmic
)

// Fit is a least-squares fit of a value against the size of the fleet.
type Fit struct {
	Shape Shape
	A, B  float64
}

// fit fits the values of points against their sizes. It is constant when all have one
// size.
func fit(shape Shape, points []Point, value func(*Point) float64) Fit {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for i := range points {
		x, y := shape.scale(float64(points[i].Nodes)), value(&points[i])
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return Fit{Shape: shape, A: sy / n}
	}
	b := (n*sxy - sx*sy) / spread
	return Fit{Shape: shape, A: (sy - b*sx) / n, B: b}
}

func (s Shape) scale(n float64) float64 {
	if s == Logarithmic {
		return math.Log10(n)
	}
	return n
}

// At returns the fitted value for a fleet of n nodes.
func (l Fit) At(n float64) float64 { return l.A + l.B*l.Shape.scale(n) }
