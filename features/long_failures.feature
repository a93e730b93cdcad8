Feature: A replica that fails for hours is still paused

  # The pause was doubled before it was limited: from the 1,025th one on the
  # number was too large for a float, so that each failure of the replica failed
  # the request ("the node failed") instead of trying another replica, and the
  # replica was never paused again.
  Scenario: A replica that has failed 5000 times in a row is paused as after 10
    When a replica fails 5000 times in a row, each time once its pause has ended
    Then each failure pauses it for at most the longest pause
