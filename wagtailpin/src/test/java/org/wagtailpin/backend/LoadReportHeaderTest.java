package org.wagtailpin.backend;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.routing.LoadReport;

/** Tests both formats of the load header. */
class LoadReportHeaderTest {

  @Test
  void membersMayAppearInAnyOrder() {
    assertThat(LoadReportHeader.parse("inflight=3, queued=2, leaving"))
        .hasValue(new LoadReport(3, 2, true));
    assertThat(LoadReportHeader.parse("leaving,queued=2,inflight=3"))
        .hasValue(new LoadReport(3, 2, true));
  }

  @Test
  void unknownMembersAreIgnored() {
    assertThat(LoadReportHeader.parse("inflight=0, mood=good,, ="))
        .hasValue(new LoadReport(0, 0, false));
  }

  @Test
  void aValueWithoutAValidInflightIsNotAReport() {
    for (String value : new String[] {"", "queued=2", "inflight=", "inflight=-1", "inflight=x"}) {
      assertThat(LoadReportHeader.parse(value)).isEmpty();
    }
    assertThat(LoadReportHeader.parse("inflight=99999999999999")).isEmpty();
  }

  @Test
  void columnsAreReadInOrder() {
    assertThat(LoadReportHeader.parseColumns("3,1,6")).hasValue(new LoadReport(3, 1, false, 1));
    assertThat(LoadReportHeader.parseColumns("3, 1, 6, 250"))
        .hasValue(new LoadReport(3, 1, false, 2.5));
  }

  @Test
  void columnsThatAreNotNumbersAreNotAReport() {
    for (String value : List.of("", "3", "a,b,c", "-1,0,6", "3,x")) {
      assertThat(LoadReportHeader.parseColumns(value)).isEmpty();
    }
  }
}
