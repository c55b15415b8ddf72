// Package pricer defines the money type and computes the cost of a request.
package pricer

import "fmt"

// Money is an amount in millionths of the currency unit.
type Money int64

// Unit is one unit of the currency.
const Unit Money = 1_000_000

// String returns the amount in currency units, with six decimals.
func (m Money) String() string {
	sign := ""
	if m < 0 {
		sign, m = "-", -m
	}
	return fmt.Sprintf("%s%d.%06d", sign, m/Unit, m%Unit)
}

// Price is the price of one input token and of one output token.
type Price struct {
	Input  Money
	Output Money
}

// Charge returns the cost of a request with the given numbers of input and output
// tokens.
func (p Price) Charge(input, output int) Money {
	return p.Input*Money(input) + p.Output*Money(output)
}
