Feature: The load that entries put on servers stays within its budget

  Scenario: The shares of a limit add up to it
    Given 5 entries with seed 401
    Then the entries together use the whole limit
    And the entries together never exceeded a limit

  Scenario: An entry crashes and its share goes to the others
    Given 5 entries with seed 402
    When entry 3 crashes
    And 240 seconds pass
    Then the entries together use the whole limit
    And the entries together never exceeded a limit

  Scenario: An entry is paused past its lease and goes on
    Given 5 entries with seed 403
    When entry 3 is paused
    And 60 seconds pass
    And entry 3 goes on
    And 60 seconds pass
    Then the entries together never exceeded a limit
