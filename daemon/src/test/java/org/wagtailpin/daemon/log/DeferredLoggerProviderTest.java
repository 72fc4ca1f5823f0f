package org.wagtailpin.daemon.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

class DeferredLoggerProviderTest {

  @Test
  void librariesLogThroughThisProviderAndOnlyWarningsAndErrors() {
    Logger logger = LoggerFactory.getLogger("a.library.Class");

    assertThat(logger).isInstanceOf(DeferredLogger.class);
    assertThat(logger.isInfoEnabled()).isFalse();
    assertThat(logger.isWarnEnabled()).isTrue();
    assertThat(logger.isErrorEnabled()).isTrue();
  }

  @Test
  void theEventLogAndTheLogLibraryShareOneStream() {
    assertThat(ConsoleLines.of("out")).isSameInstanceAs(ConsoleLines.of("out"));
    assertThat(ConsoleLines.configured()).isSameInstanceAs(ConsoleLines.of(null));
    assertThat(ConsoleLines.of("out")).isNotSameInstanceAs(ConsoleLines.of("err"));
  }
}
