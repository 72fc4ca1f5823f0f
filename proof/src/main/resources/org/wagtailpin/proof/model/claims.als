-- Claims of one key: owners write to the log of a shard, claimants dispatch.
--
-- Every order of the steps below is allowed, so an owner or a claimant that is paused at any point,
-- and an owner that is replaced by another one without knowing it, are among the traces. A write that
-- was sent takes effect at any later moment or never, and its answer is lost by never being learned.
-- The lines that end in "guard:" are taken away one by one by the tests, and the check that is named
-- must then find a counterexample.
module claims
open util/ordering[Revision] as revisions

sig Revision {}

one sig Store {
  var head: one Revision,
  -- The attempt that holds the key by the log.
  var holder: lone Attempt
}

sig Owner {
  -- The owner's copy of the log.
  var copy: one Revision,
  var copyHolder: lone Attempt,
  -- The write that the owner has not settled yet.
  var unsettled: lone Write
}

-- One request of a claimant to one owner.
sig Attempt { owner: one Owner }

-- A batch with one record: a claim or a release.
sig Write {
  writer: one Owner,
  basis: one Revision,
  claimed: lone Attempt,
  released: lone Attempt
} { one claimed + released }

var sig Sent, Applied, Ended in Write {}
var sig Granted, Withdrawn, GivenUp, Dispatched, ProvedNotRun in Attempt {}

fact init {
  Store.head = first and no Store.holder
  all o: Owner | o.copy = first and no o.copyHolder and no o.unsettled
  no Sent + Applied + Ended
  no Granted + Withdrawn + GivenUp + Dispatched + ProvedNotRun
}

pred storeStays { head' = head and holder' = holder }
pred writesStay { Sent' = Sent and Applied' = Applied and Ended' = Ended }
pred ownersStay { copy' = copy and copyHolder' = copyHolder and unsettled' = unsettled }
pred othersStay[o: Owner] {
  all other: Owner - o |
    other.copy' = other.copy and other.copyHolder' = other.copyHolder
      and other.unsettled' = other.unsettled
}
pred verdictsStay { Granted' = Granted and Withdrawn' = Withdrawn }
pred claimantsStay {
  GivenUp' = GivenUp and Dispatched' = Dispatched and ProvedNotRun' = ProvedNotRun
}

pred send[o: Owner, w: Write] {
  no o.unsettled
  w.writer = o and w.basis = o.copy
  w not in Sent + Applied + Ended
  Sent' = Sent + w and Applied' = Applied and Ended' = Ended
  unsettled' = unsettled + o->w and copy' = copy and copyHolder' = copyHolder
  storeStays and verdictsStay and claimantsStay
}

pred sendClaim[o: Owner, w: Write] {
  some w.claimed
  w.claimed.owner = o and w.claimed not in Granted + Withdrawn
  no o.copyHolder -- guard: keyIsFree atMostOnce
  send[o, w]
}

pred sendRelease[o: Owner, w: Write] {
  some w.released
  o.copyHolder = w.released
  w.released in GivenUp + ProvedNotRun + (Withdrawn & owner.o) -- guard: attemptIsOver atMostOnce
  send[o, w]
}

pred apply[w: Write] {
  w in Sent
  w.basis = Store.head -- guard: headIsUnchanged atMostOnce
  some Store.head.next
  Store.head' = Store.head.next
  Store.holder' = w.claimed
  Sent' = Sent - w and Applied' = Applied + w and Ended' = Ended
  ownersStay and verdictsStay and claimantsStay
}

-- The request is lost, or the store refuses it because the head has moved on.
pred fail[w: Write] {
  w in Sent
  Sent' = Sent - w and Applied' = Applied and Ended' = Ended + w
  storeStays and ownersStay and verdictsStay and claimantsStay
}

-- The owner learns that its write took effect, by the answer or by reading its mark in the log.
pred learn[o: Owner] {
  some o.unsettled
  o.unsettled in Applied -- guard: writeIsKnown atMostOnce
  (o.copy' = o.unsettled.basis.next and o.copyHolder' = o.unsettled.claimed)
    or (o.copy' = Store.head and o.copyHolder' = Store.holder)
  no o.unsettled'
  Granted' = Granted + (o.unsettled.claimed - Withdrawn) -- guard: withdrawalIsFinal atMostOnce
  o.unsettled.claimed in Granted' + Withdrawn
  Granted' in Granted + o.unsettled.claimed
  Withdrawn' = Withdrawn
  othersStay[o] and storeStays and writesStay and claimantsStay
}

-- The owner reads the log: at any time without an unsettled write, else when the head has moved on.
pred reread[o: Owner] {
  no o.unsettled & Applied
  some o.unsettled implies o.unsettled.basis != Store.head
  o.copy' = Store.head and o.copyHolder' = Store.holder and no o.unsettled'
  othersStay[o] and storeStays and writesStay and verdictsStay and claimantsStay
}

pred withdraw[a: Attempt] {
  a not in Granted + Withdrawn
  Withdrawn' = Withdrawn + a and Granted' = Granted
  storeStays and ownersStay and writesStay and claimantsStay
}

pred dispatch[a: Attempt] {
  a in Granted - Dispatched
  a not in GivenUp -- guard: givingUpIsFinal notRunIsNotDispatched
  Dispatched' = Dispatched + a and GivenUp' = GivenUp and ProvedNotRun' = ProvedNotRun
  storeStays and ownersStay and writesStay and verdictsStay
}

-- The claimant tells its caller that the work was not run.
pred giveUp[a: Attempt] {
  a not in GivenUp
  a not in Dispatched -- guard: dispatchIsFinal notRunIsNotDispatched
  GivenUp' = GivenUp + a and Dispatched' = Dispatched and ProvedNotRun' = ProvedNotRun
  storeStays and ownersStay and writesStay and verdictsStay
}

-- The backend server refuses the work, or never received it.
pred proveNotRun[a: Attempt] {
  a in Dispatched - ProvedNotRun
  ProvedNotRun' = ProvedNotRun + a and Dispatched' = Dispatched and GivenUp' = GivenUp
  storeStays and ownersStay and writesStay and verdictsStay
}

pred rest {
  storeStays and ownersStay and writesStay and verdictsStay and claimantsStay
}

fact transitions {
  always {
    rest
    or (some o: Owner, w: Write | sendClaim[o, w] or sendRelease[o, w])
    or (some w: Write | apply[w] or fail[w])
    or (some o: Owner | learn[o] or reread[o])
    or (some a: Attempt | withdraw[a] or dispatch[a] or giveUp[a] or proveNotRun[a])
  }
}

-- Work that may have run.
fun mayHaveRun: set Attempt { Dispatched - ProvedNotRun }

assert atMostOnce { always lone mayHaveRun }
assert notRunIsNotDispatched { always no GivenUp & Dispatched }

check atMostOnce for 3 but exactly 2 Owner, exactly 4 Revision, exactly 3 Write, exactly 2 Attempt, 13..13 steps
check notRunIsNotDispatched for 3 but exactly 2 Owner, 3 Revision, 2 Write, 2 Attempt, 7..7 steps

-- Traces that the tests carry out with the real code: two owners, both dispatch in turn.
pred dispatchedTwiceInTurn {
  eventually (some disj a, b: Attempt |
    a in ProvedNotRun and b in Dispatched and a.owner != b.owner)
  all w: Write | some w.released implies w.writer = w.released.owner
  always no Withdrawn + GivenUp
  always all w: Write | not fail[w]
}
run dispatchedTwiceInTurn for 3 but exactly 2 Owner, exactly 4 Revision, 3 Write, exactly 2 Attempt, 14..14 steps

-- Two owners write on the same revision, and one of them loses.
pred rivalsOnOneRevision {
  some disj v, w: Write | v.writer != w.writer and eventually (v in Sent and w in Sent)
  eventually some Dispatched
  always no Withdrawn + GivenUp + ProvedNotRun
  always all w: Write | not fail[w]
}
run rivalsOnOneRevision for 3 but exactly 2 Owner, exactly 3 Revision, exactly 2 Write, exactly 2 Attempt, 10..10 steps
