Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A ticket is in force everywhere within seconds
    Given 5 entries with seed 301
    When an operator sends ticket 10 for service "lessons"
    And 2 seconds pass
    Then ticket 10 ends as accepted
    And every accepted ticket is in force at every entry

  Scenario: Two operators race
    Given 5 entries with seed 302
    When an operator sends ticket 10 for service "lessons"
    And an operator sends ticket 11 for service "lessons"
    And 5 seconds pass
    Then ticket 10 ends as accepted
    And ticket 11 ends as accepted
    And every accepted ticket is in force at every entry
    And no entry ever went back to an older ticket

  Scenario: A lower ticket arrives late
    Given 3 entries with seed 303
    When an operator sends ticket 20 for service "lessons"
    And 2 seconds pass
    And an operator sends ticket 12 for service "lessons"
    And 3 seconds pass
    Then ticket 20 ends as accepted
    And every accepted ticket is in force at every entry
    And no entry ever went back to an older ticket

  Scenario: The store is down when the ticket is sent
    Given 3 entries with seed 304
    When the store is down
    And an operator sends ticket 10 for service "lessons"
    And 15 seconds pass
    Then ticket 10 ends as refused

  Scenario Outline: Racing operators under <fault>
    Given 5 entries with seed <seed>
    When <fault>
    And an operator sends ticket 10 for service "lessons"
    And an operator sends ticket 11 for service "certificates"
    And 5 seconds pass
    And an operator sends ticket 12 for service "lessons"
    And 15 seconds pass
    And all faults end
    And an operator sends ticket 13 for service "orders"
    And 20 seconds pass
    Then ticket 13 ends as accepted
    And every accepted ticket is in force at every entry
    And no entry ever went back to an older ticket

    Examples:
      | seed | fault                                          |
      | 311  | the store loses 40 of 100 answers              |
      | 312  | the store takes up to 400 ms each way          |
      | 313  | the store gives old answers to 50 of 100 reads |
      | 314  | entry 2 is cut off from the store              |
      | 315  | entry 2 is paused                              |
