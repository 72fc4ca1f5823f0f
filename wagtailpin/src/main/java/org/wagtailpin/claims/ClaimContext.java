package org.wagtailpin.claims;

import org.wagtailpin.clock.Clock;

/** Collaborators shared by all {@link ClaimCall}s of one entry. */
record ClaimContext(
    ClaimSettings settings,
    ShardOwners owners,
    AttemptSequence attempts,
    DispatchRecords records,
    ClaimPeers peers,
    ReleaseSender releases,
    Clock clock) {}
