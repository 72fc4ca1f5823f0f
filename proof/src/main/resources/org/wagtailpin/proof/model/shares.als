-- Shares of a limit: an entry uses one part of as many parts as it counts entries.
--
-- If every two entries that use a share count each other, then each of n users counts at least n, uses
-- at most a part in n, and the shares add up to no more than the limit. A paused entry takes no step; its
-- promises and its lease run out meanwhile. The lines that end in "guard:" are taken away one by one by
-- the tests, and the check that is named must then find a counterexample.
module shares

sig Entry {
  -- The entries that this one counts when it cuts its share, itself among them.
  var counts: set Entry,
  -- The entries that have promised to count this one, as far as it knows.
  var promised: set Entry
}

var sig Registered, ReadRegistrations, Using in Entry {}

-- Entries whose lease has lapsed by the clock of the store and by their own, which stops earlier.
var sig Lapsed in Entry {}

fact init {
  all e: Entry | e.counts = e
  no promised and no Registered + ReadRegistrations + Using + Lapsed
}

pred tableStays { counts' = counts and promised' = promised }
pred standingStays {
  Registered' = Registered and ReadRegistrations' = ReadRegistrations and Lapsed' = Lapsed
}

pred register[e: Entry] {
  e not in Registered + Lapsed
  Registered' = Registered + e
  ReadRegistrations' = ReadRegistrations and Lapsed' = Lapsed and Using' = Using
  tableStays
}

pred readRegistrations[e: Entry] {
  e not in Lapsed
  e in Registered -- guard: ownRegistrationComesFirst usersCountEachOther
  ReadRegistrations' = ReadRegistrations + e
  counts' = counts + e->Registered
  Registered' = Registered and Lapsed' = Lapsed and promised' = promised and Using' = Using
}

-- A heartbeat of an entry and the answer, which promises to count its sender.
pred exchange[e, peer: Entry] {
  e != peer and e not in Lapsed
  peer not in Lapsed
  counts' = counts + peer->e -- guard: promiseIsKept usersCountEachOther
  promised' = promised + e->peer
  counts in counts' and counts' in counts + peer->e
  standingStays and Using' = Using
}

pred use[e: Entry] {
  e not in Using + Lapsed
  e in ReadRegistrations -- guard: setIsComplete usersCountEachOther
  e.counts - e in e.promised -- guard: allHavePromised usersCountEachOther
  Using' = Using + e
  tableStays and standingStays
}

-- The lease lapses: its holder has stopped using its share a margin earlier by its own clock.
pred lapse[e: Entry] {
  e not in Lapsed
  Lapsed' = Lapsed + e
  Registered' = Registered - e and ReadRegistrations' = ReadRegistrations - e
  Using' = Using - e -- guard: holderStopsFirst usersCountEachOther
  Using - e in Using' and Using' in Using
  tableStays
}

-- An entry's share grows when it drops another from its count.
pred drop[e, gone: Entry] {
  e not in Lapsed and gone in e.counts - e
  gone in Lapsed -- guard: leaseHasLapsed usersCountEachOther
  counts' = counts - e->gone and promised' = promised
  standingStays and Using' = Using
}

pred rest { tableStays and standingStays and Using' = Using }

fact transitions {
  always {
    rest
    or (some e: Entry | register[e] or readRegistrations[e] or use[e] or lapse[e])
    or (some e, other: Entry | exchange[e, other] or drop[e, other])
  }
}

assert usersCountEachOther { always all a, b: Using | b in a.counts }

check usersCountEachOther for exactly 3 Entry, 11..11 steps

pred allUse { eventually Using = Entry }
run allUse for exactly 2 Entry, 8..8 steps
