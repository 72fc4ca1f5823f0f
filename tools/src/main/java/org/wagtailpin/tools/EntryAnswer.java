package org.wagtailpin.tools;

import org.wagtailpin.config.ConfigReport;

/** What an entry answered when it was asked for its configuration. */
sealed interface EntryAnswer {

  /** The entry told its configuration. */
  record Reported(String address, ConfigReport report) implements EntryAnswer {}

  /** The entry gave no answer that could be read. */
  record NoReport(String address, String detail) implements EntryAnswer {}

  /** Returns the entry's admin address. */
  String address();
}
