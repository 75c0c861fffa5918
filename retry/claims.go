package retry

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// shortShare is the share of the window's allowance that is left when the budget counts as short.
	shortShare = 0.5
	// askSlices is the number of slices, with the current one, whose claims predict what is asked next. The window
	// gains a tenth of its allowance in each slice, so a reserve for more slices would mostly lie idle.
	askSlices = 2
	// ranks is the number of ranks of claims, and urgencies the number of ranks of urgency. Less urgent ones count as the last.
	ranks     = 2 * urgencies
	urgencies = 10
	// maxCustomers bounds the customers whose attempts are counted while the budget is short.
	maxCustomers = 32
)

// Claim describes a request that asks for an extra attempt.
type Claim struct {
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
	// Customer is the customer of the request. Requests without one count as those of a single customer.
	Customer fleet.CustomerID
	// Likely reports whether the attempt is likely to succeed in time.
	Likely bool
}

// rank returns the place of a claim in the order in which a short budget is given out: claims that are likely to
// succeed in time by urgency, then the others by urgency.
func (c Claim) rank() int {
	rank := min(max(c.Urgency, 0), urgencies-1)
	if !c.Likely {
		rank += urgencies
	}
	return rank
}

// Compare orders claims as a short budget is given out. It returns a negative number if c goes before d.
func (c Claim) Compare(d Claim) int { return c.rank() - d.rank() }

// claimCounts holds what was asked of a Window, and who used it while it was short, by slice number modulo
// windowSlices.
type claimCounts struct {
	// asked counts claims by rank. askers holds the first two customers that asked, of which there are askerCount.
	asked      [windowSlices][ranks]int32
	askers     [windowSlices][2]fleet.CustomerID
	askerCount [windowSlices]int
	// shortUses counts the extra attempts that were allowed while the budget was short, and customers those of the
	// customers that used most.
	shortUses [windowSlices]int32
	customers [maxCustomers]customerUses
}

// customerUses counts the extra attempts of a customer by slice, and its claims by slice number modulo askSlices and
// rank.
type customerUses struct {
	taken bool
	id    fleet.CustomerID
	uses  [windowSlices]int32
	asked [askSlices][ranks]int32
}

func (u *customerUses) sum() int32 { return sumOf(u.uses[:]) }

func sumOf(counts []int32) int32 {
	total := int32(0)
	for _, n := range counts {
		total += n
	}
	return total
}

// clear removes the counts of a slice.
func (s *claimCounts) clear(n int64) {
	slice := n % windowSlices
	s.asked[slice] = [ranks]int32{}
	s.askers[slice] = [2]fleet.CustomerID{}
	s.askerCount[slice], s.shortUses[slice] = 0, 0
	for i := range s.customers {
		s.customers[i].uses[slice] = 0
		s.customers[i].asked[n%askSlices] = [ranks]int32{}
	}
}

// AllowFor counts one extra attempt and returns true if the bound allows it and, while the budget is short, nobody
// else has the better claim to what is left. It is short while less than shortShare of the allowance is left. Then
//   - a claim leaves as many attempts as claims of a better rank were made lately,
//   - the customer that has used most also leaves as many as others claimed with the same rank lately, and
//   - a customer gets at most half of what was left when the budget became short, while others ask.
//
// For one customer, a claim is never refused where one of a worse rank would be allowed.
func (w *Window) AllowFor(now time.Duration, c Claim) bool {
	allowed := w.Allows(now, c)
	w.claims.recordAsk(w.currentSlice, c)
	if !allowed {
		return false
	}
	if w.short() {
		w.claims.shortUses[w.currentSlice%windowSlices]++
		w.claims.takeEntry(c.Customer).uses[w.currentSlice%windowSlices]++
	}
	w.extra[w.currentSlice%windowSlices]++
	return true
}

// Allows reports whether AllowFor would allow a claim, without counting it.
func (w *Window) Allows(now time.Duration, c Claim) bool {
	w.advance(now)
	if !w.inBound() {
		return false
	}
	if !w.short() {
		return true
	}
	left := w.left()
	return left-1 >= float64(w.claims.reserve(w.currentSlice, c)) && !w.overHalf(c.Customer, left)
}

// Short reports whether less than shortShare of the window's allowance is left.
func (w *Window) Short(now time.Duration) bool {
	w.advance(now)
	return w.short()
}

func (w *Window) short() bool { return w.left() < shortShare*w.allowance() }

// overHalf reports whether a customer would use more than half of what was left of a short budget, while others ask.
// Each customer may use one attempt.
func (w *Window) overHalf(id fleet.CustomerID, left float64) bool {
	used := int32(0)
	if entry := w.claims.entryOf(id); entry != nil {
		used = entry.sum()
	}
	half := (float64(sumOf(w.claims.shortUses[:])) + left) / 2
	return used > 0 && float64(used+1) > half && w.claims.othersAsk(w.currentSlice, id)
}

// reserve returns the number of attempts that a claim leaves to others: that of the recent claims with a better rank
// and, for the customer that has used most, of those of others with the same rank.
func (s *claimCounts) reserve(current int64, c Claim) int32 {
	rank, most := c.rank(), s.usedMost(c.Customer)
	total := int32(0)
	for n := max(current-askSlices+1, 0); n <= current; n++ {
		asked := &s.asked[n%windowSlices]
		total += sumOf(asked[:rank])
		if most != nil {
			total += max(asked[rank]-most.asked[n%askSlices][rank], 0)
		}
	}
	return total
}

// usedMost returns the entry of a customer that has used more than any other, or nil.
func (s *claimCounts) usedMost(id fleet.CustomerID) *customerUses {
	own := s.entryOf(id)
	if own == nil {
		return nil
	}
	used := own.sum()
	for i := range s.customers {
		if other := &s.customers[i]; other != own && other.sum() >= used {
			return nil
		}
	}
	return own
}

// othersAsk reports whether a customer other than the given one made a claim recently.
func (s *claimCounts) othersAsk(current int64, id fleet.CustomerID) bool {
	for n := max(current-askSlices+1, 0); n <= current; n++ {
		slice := n % windowSlices
		for _, asker := range s.askers[slice][:s.askerCount[slice]] {
			if asker != id {
				return true
			}
		}
	}
	return false
}

func (s *claimCounts) recordAsk(current int64, c Claim) {
	slice := current % windowSlices
	s.asked[slice][c.rank()]++
	s.takeEntry(c.Customer).asked[current%askSlices][c.rank()]++
	known := s.askers[slice][:s.askerCount[slice]]
	if len(known) == 0 || len(known) == 1 && known[0] != c.Customer {
		s.askers[slice][len(known)] = c.Customer
		s.askerCount[slice]++
	}
}

// entryOf returns the entry of a customer, or nil.
func (s *claimCounts) entryOf(id fleet.CustomerID) *customerUses {
	for i := range s.customers {
		if entry := &s.customers[i]; entry.taken && entry.id == id {
			return entry
		}
	}
	return nil
}

// takeEntry returns the entry of a customer. If it has none, it takes over the entry with the fewest attempts, of these
// the one with the fewest claims, and its counted attempts: otherwise a customer whose entry is taken over would begin
// anew each time.
func (s *claimCounts) takeEntry(id fleet.CustomerID) *customerUses {
	if entry := s.entryOf(id); entry != nil {
		return entry
	}
	least := &s.customers[0]
	for i := range s.customers {
		if entry := &s.customers[i]; entry.compare(least) < 0 {
			least = entry
		}
	}
	least.taken, least.id, least.asked = true, id, [askSlices][ranks]int32{}
	return least
}

// compare orders entries by their attempts and then by their claims.
func (u *customerUses) compare(v *customerUses) int {
	if n := u.sum() - v.sum(); n != 0 {
		return int(n)
	}
	return int(u.claims() - v.claims())
}

func (u *customerUses) claims() int32 {
	total := int32(0)
	for i := range u.asked {
		total += sumOf(u.asked[i][:])
	}
	return total
}
