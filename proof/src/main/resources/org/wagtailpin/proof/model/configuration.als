-- Tickets: operators race for the store's value, entries merge what they learn in any order.
--
-- An operator may be paused between any two steps, its write may take effect at any later moment or
-- never, and its answer may be lost. An entry may read a value of the store that is old by now. The
-- lines that end in "guard:" are taken away one by one by the tests, and the check that is named must
-- then find a counterexample.
module configuration
open util/ordering[Revision] as revisions
open util/ordering[Ticket] as tickets

sig Revision {}
sig Object {}

-- Tickets are ordered by their numbers.
sig Ticket { touches: some Object }

one sig Store {
  var revision: one Revision,
  -- The ticket that each object's state comes from, with each revision that the store ever had.
  history: Revision -> Object -> lone Ticket,
  var written: set Ticket
}

sig Operator {
  ticket: one Ticket,
  var basis: lone Revision,
  var sending: lone Revision
}

var sig ToldAccepted in Operator {}

sig Entry { var state: Object -> lone Ticket }

fun current: Object -> Ticket { Store.revision.(Store.history) }

-- What comes of the states of two sources: one state for each object that either has.
pred merges[result, x, y: Object -> Ticket] {
  result in x + y
  all o: Object | some o.(x + y) implies one o.result
  all o: Object | no o.result.nexts & o.(x + y) -- guard: highestTicketCounts neverReverts statesConverge
}

-- A ticket's objects, each with the ticket as the source of its state.
fun content[t: Ticket]: Object -> Ticket { t.touches -> t }

fact init {
  Store.revision = first and no first.(Store.history) and no Store.written
  no basis and no sending and no ToldAccepted and no state
  -- Each operator sends its own ticket.
  all disj a, b: Operator | a.ticket != b.ticket
}

pred storeStays { revision' = revision and written' = written }
pred operatorsStay { basis' = basis and sending' = sending and ToldAccepted' = ToldAccepted }
pred entriesStay { state' = state }

pred readStore[p: Operator] {
  no p.sending
  basis' = basis ++ p->Store.revision and sending' = sending and ToldAccepted' = ToldAccepted
  storeStays and entriesStay
}

pred sendTicket[p: Operator] {
  some p.basis and no p.sending and p.ticket not in Store.written
  sending' = sending + p->p.basis and basis' = basis and ToldAccepted' = ToldAccepted
  storeStays and entriesStay
}

pred apply[p: Operator] {
  some p.sending and some Store.revision.next
  p.ticket not in Store.written
  p.sending = Store.revision -- guard: valueIsUnchanged acceptedIsKept
  Store.revision' = Store.revision.next
  merges[Store.revision'.(Store.history), p.sending.(Store.history), content[p.ticket]]
  written' = written + Store->p.ticket
  operatorsStay and entriesStay
}

-- The operator is told by the answer, or by finding its own mark when it reads the store again.
pred tellAccepted[p: Operator] {
  p not in ToldAccepted
  p.ticket in Store.written -- guard: effectIsKnown acceptedIsKept
  ToldAccepted' = ToldAccepted + p and basis' = basis and sending' = sending
  storeStays and entriesStay
}

-- The store refuses the write, or it never arrives; the operator starts over.
pred startOver[p: Operator] {
  some p.sending
  p.ticket not in Store.written
  p.sending != Store.revision
  sending' = sending - p->p.sending and basis' = basis - p->p.basis and ToldAccepted' = ToldAccepted
  storeStays and entriesStay
}

-- An entry takes what the store holds, or held when an old answer was given.
pred takeFromStore[e: Entry] {
  some r: Store.revision + Store.revision.prevs | merges[e.state', e.state, r.(Store.history)]
  all other: Entry - e | other.state' = other.state
  storeStays and operatorsStay
}

pred takeFromPeer[e, peer: Entry] {
  merges[e.state', e.state, peer.state]
  all other: Entry - e | other.state' = other.state
  storeStays and operatorsStay
}

pred rest { storeStays and operatorsStay and entriesStay }

fact transitions {
  always {
    rest
    or (some p: Operator |
      readStore[p] or sendTicket[p] or apply[p] or tellAccepted[p] or startOver[p])
    or (some e: Entry | takeFromStore[e] or (some peer: Entry - e | takeFromPeer[e, peer]))
  }
}

fun atLeast[t: Ticket]: set Ticket { t + t.nexts }

-- What an operator was told is accepted stays in the store, but for objects of a higher ticket.
assert acceptedIsKept {
  always all p: ToldAccepted | all o: p.ticket.touches |
    some o.current & atLeast[p.ticket]
}

-- No entry goes back to an older state of an object.
assert neverReverts {
  always all e: Entry, o: Object | all t: o.(e.state) | some o.(e.state') & atLeast[t]
}

-- Entries that take from each other end with the same state, whoever goes first.
assert statesConverge {
  all disj a, b: Entry |
    always (takeFromPeer[a, b] implies after (takeFromPeer[b, a] implies after a.state = b.state))
}

check acceptedIsKept for 2 but 4 Revision, 3 Ticket, 1 Entry, 9..9 steps
check neverReverts for 2 but 3 Revision, 2 Ticket, exactly 2 Entry, 10..10 steps
check statesConverge for 2 but 3 Revision, 2 Ticket, exactly 2 Entry, 11..11 steps

-- Both of two racing operators end well.
pred bothAccepted { eventually #ToldAccepted = 2 }
run bothAccepted for 2 but 4 Revision, 2 Ticket, exactly 2 Operator, 1 Entry, 10..10 steps
