package org.wagtailpin.claims;

import org.wagtailpin.clock.Clock;

/** What the claims of one entry work with. */
record ClaimContext(
    ClaimSettings settings,
    ShardOwners owners,
    AttemptSequence attempts,
    DispatchRecords records,
    ClaimPeers peers,
    ReleaseSender releases,
    Clock clock) {}
