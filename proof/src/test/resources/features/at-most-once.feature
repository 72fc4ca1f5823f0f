Feature: An order that may not be repeated runs at most once

  Scenario: The same order at two entries
    Given 3 entries with seed 101
    When a caller sends order "cold-frame" to entry 1
    And 1 second passes
    And a caller sends order "cold-frame" to entry 2
    And 1 second passes
    Then order "cold-frame" ran 1 time
    And the caller of call 1 was told "the answer"
    And the caller of call 2 was told "the answer"
    And every caller that got an answer got that of its own order

  Scenario: The same order at two entries at the same moment
    Given 3 entries with seed 102
    When a caller sends order "cold-frame" to entry 1
    And a caller sends order "cold-frame" to entry 3
    And 6 seconds pass
    Then order "cold-frame" ran 1 time
    And every caller that got an answer got that of its own order

  Scenario: A straggler and an impatient caller
    Given 3 entries with seed 103
    When the order server takes 20 seconds for an order
    And a caller sends order "payout" to entry 1
    And 3 seconds pass
    And a caller sends order "payout" to entry 2
    And 6 seconds pass
    Then the caller of call 2 was told "already dispatched"
    When 20 seconds pass
    Then order "payout" ran 1 time
    And the caller of call 1 was told "the answer"

  Scenario: The answer is lost after the work
    Given 3 entries with seed 104
    When the answers of the order server are lost
    And a caller sends order "payout" to entry 1
    And 2 seconds pass
    And a caller sends order "payout" to entry 2
    And 4 seconds pass
    Then the caller of call 1 was told "outcome unknown"
    And the caller of call 2 was told "already dispatched"
    And order "payout" ran 1 time

  Scenario: A server that fails fast, and the order sent again
    Given 3 entries with seed 105
    When the order server refuses work
    And a caller sends order "glazing" to entry 1
    And 2 seconds pass
    Then the caller of call 1 was told "not run"
    When the order server answers
    And a caller sends order "glazing" to entry 2
    And 2 seconds pass
    Then the caller of call 2 was told "the answer"
    And order "glazing" ran 1 time
    And every "not run" was true

  Scenario: The entry that dispatched an order crashes
    Given 3 entries with seed 106
    When the order server takes 5 seconds for an order
    And a caller sends order "certificate" to entry 1
    And 2 seconds pass
    And entry 1 crashes
    And 5 seconds pass
    And a caller sends order "certificate" to entry 2
    And 6 seconds pass
    Then the caller of call 2 was told "already dispatched"
    And order "certificate" ran 1 time

  Scenario: An entry is paused past its lease with an order under way
    Given 4 entries with seed 107
    When a caller sends order "quiz" to entry 1
    And entry 1 is paused
    And 30 seconds pass
    And a caller sends order "quiz" to entry 2
    And 6 seconds pass
    And entry 1 goes on
    And 10 seconds pass
    Then no order ran twice
    And every "not run" was true
