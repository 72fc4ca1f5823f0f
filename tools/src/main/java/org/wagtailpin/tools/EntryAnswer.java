package org.wagtailpin.tools;

import org.wagtailpin.config.ConfigReport;

/** The answer of an entry to a request for its configuration report. */
sealed interface EntryAnswer {

  /** The entry returned its configuration report. */
  record Reported(String address, ConfigReport report) implements EntryAnswer {}

  /** The request failed, or the answer was not a configuration report; the detail says why. */
  record NoReport(String address, String detail) implements EntryAnswer {}

  /** Returns the entry's admin address, as given by the operator. */
  String address();
}
