-- Restores of the store from older copies: the operator's document under one key.
--
-- A restore may take any state that the store ever had, several may follow one another, and revisions
-- are given out again. An entry may read a state that is old by now, of any era, or take what another
-- entry holds. The lines that end in "guard:" are taken away one by one by the tests, and the check
-- that is named must then find a counterexample.
module restore
open util/ordering[Era] as eras
open util/ordering[Revision] as revisions
open util/ordering[Version] as versions

sig Era, Revision, Version {}

-- What the store tells of the document: its number, of era and revision, and the operator's version.
sig State { ofEra: one Era, at: one Revision, content: one Version }

one sig Store {
  var now: one State,
  -- All states that the store ever had.
  var past: set State,
  -- The highest version that the operator wrote, also if the store lost it.
  var written: one Version
}

sig Entry { var held: lone State }

pred newer[a, b: State] {
  a.ofEra = b.ofEra implies a.at in b.at.nexts -- guard: revisionsOrderWithinEra neverReverts
  -- Equal versions: the state of the earlier era, as the later one shows nothing new.
  a.ofEra != b.ofEra implies (a.content in b.content.nexts or (a.content = b.content and b.ofEra in a.ofEra.nexts)) -- guard: contentOrdersBetweenEras neverReverts
}

pred merges[e: Entry, s: State] {
  (no e.held or newer[s, e.held]) implies e.held' = s -- guard: newerIsTaken newestComesIntoForce statesConverge
  (some e.held and not newer[s, e.held]) implies e.held' = e.held -- guard: olderIsLeft neverReverts
}

fact init {
  Store.now.ofEra = first and Store.now.at = first and Store.now.content = first
  Store.past = Store.now and Store.written = first and no held
}

pred storeStays { now' = now and past' = past and written' = written }

-- The operator writes the next version.
pred write {
  some s: State {
    s.ofEra = Store.now.ofEra and s.at = Store.now.at.next and s.content = Store.written.next
    Store.now' = s and Store.past' = Store.past + s and Store.written' = s.content
  }
  held' = held
}

-- The operator writes the last version again, which the store may have lost.
pred writeAgain {
  some s: State {
    s.ofEra = Store.now.ofEra and s.at = Store.now.at.next and s.content = Store.written
    Store.now' = s and Store.past' = Store.past + s and written' = written
  }
  held' = held
}

pred restoreCopy {
  some copy: Store.past, s: State {
    s.ofEra = Store.now.ofEra.next and s.at = copy.at and s.content = copy.content
    Store.now' = s and Store.past' = Store.past + s and written' = written
  }
  held' = held
}

pred takeFromStore[e: Entry] {
  some s: Store.past | merges[e, s]
  all other: Entry - e | other.held' = other.held
  storeStays
}

pred takeFromPeer[e, peer: Entry] {
  some peer.held and merges[e, peer.held]
  all other: Entry - e | other.held' = other.held
  storeStays
}

pred rest { storeStays and held' = held }

fact transitions {
  always {
    rest or write or writeAgain or restoreCopy
    or (some e: Entry | takeFromStore[e] or (some peer: Entry - e | takeFromPeer[e, peer]))
  }
}

-- No entry goes back to an earlier version.
assert neverReverts {
  always all e: Entry | some e.held implies e.held'.content in e.held.content + e.held.content.nexts
}

-- Entries that take from each other end with the same state, whichever eras they have seen.
assert statesConverge {
  all disj a, b: Entry |
    always (takeFromPeer[a, b] implies after (takeFromPeer[b, a] implies after a.held = b.held))
}

-- What the operator wrote last, or again, comes into force at an entry that reads the store.
assert newestComesIntoForce {
  always all e: Entry | (Store.now.content = Store.written and merges[e, Store.now])
    implies e.held'.content = Store.written
}

check neverReverts for 3 but 5 State, exactly 2 Entry, 7..7 steps
check statesConverge for 3 but 2 Era, 4 State, exactly 2 Entry, 6..6 steps
check newestComesIntoForce for 3 but 2 Era, 4 State, exactly 2 Entry, 6..6 steps

-- Two restores in a row, and the operator's last version in force at both entries after that.
pred restoredTwice {
  eventually (Store.now.ofEra = last and some held
    and eventually (all e: Entry | e.held.ofEra = last and e.held.content = last))
}
run restoredTwice for 3 but 6 State, exactly 2 Entry, 9..9 steps
