package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.entrypeer.generated.CustomerSum;
import org.wagtailpin.entrypeer.generated.CustomerSums;
import org.wagtailpin.entrypeer.generated.LevelSums;

class CustomerSumsCodecTest {

  private static final int ABOVE_INT = -1;

  private final CustomerSumsCodec codec = new CustomerSumsCodec();

  private static LevelSums.Builder level() {
    return LevelSums.newBuilder()
        .setService("work")
        .setPriority(2)
        .setAdmittedCentislots(250)
        .setRefusedCentislots(101)
        .setCustomers(3)
        .addBusiest(CustomerSum.newBuilder().setCustomer(-7).setRefusedCentislots(101))
        .addBusiest(
            CustomerSum.newBuilder().setCustomer(8).setAdmittedCentislots(50).setWeight(2.5f));
  }

  private static LevelSums.Builder level(CustomerSum.Builder customer) {
    return level().addBusiest(customer);
  }

  /** Guards against fields that are lost or mixed up on the way. */
  @Test
  void sumsAreTheSameAfterTheWay() {
    CustomerSums message = CustomerSums.newBuilder().setAgeMillis(400).addLevels(level()).build();

    assertThat(codec.encode(codec.decode(message))).hasValue(message);
    assertThat(codec.decode(message).levels().get(0).busiest().get(0).weight()).isEqualTo(1.0);
  }

  /** Guards against work that the receiver divides by although it was rounded to nothing. */
  @Test
  void workThatRoundsToNothingIsNotSent() {
    org.wagtailpin.limits.LevelSums faded =
        new org.wagtailpin.limits.LevelSums("work", 0, 0.004, 0.004, 1, List.of());

    assertThat(codec.encode(new org.wagtailpin.limits.CustomerSums(List.of(faded), 0))).isEmpty();
  }

  /** Guards against numbers with which shares can't be computed, and state without bound. */
  @Test
  void levelsThatNoEntrySendsAreLeftOut() {
    List<LevelSums.Builder> invalid =
        List.of(
            level().setService(""),
            level().setService("s".repeat(CustomerSumsCodec.MAX_SERVICE_CHARS + 1)),
            level().setPriority(ABOVE_INT),
            level().setAdmittedCentislots(ABOVE_INT),
            level().setRefusedCentislots(ABOVE_INT),
            level().setAdmittedCentislots(0).setRefusedCentislots(0),
            level().setCustomers(ABOVE_INT),
            level(CustomerSum.newBuilder().setWeight(Float.NaN)),
            level(CustomerSum.newBuilder().setWeight(Float.POSITIVE_INFINITY)),
            level(CustomerSum.newBuilder().setWeight(-1)),
            level(CustomerSum.newBuilder().setAdmittedCentislots(ABOVE_INT)));
    for (LevelSums.Builder level : invalid) {
      CustomerSums message = CustomerSums.newBuilder().addLevels(level).build();
      assertWithMessage(message.toString()).that(codec.decode(message).levels()).isEmpty();
    }
  }

  @Test
  void longMessagesAreCutOffAndRepeatedLevelsAndHugeAgesDoNoHarm() {
    LevelSums.Builder many =
        level().addAllBusiest(Collections.nCopies(10_000, CustomerSum.getDefaultInstance()));
    CustomerSums.Builder message =
        CustomerSums.newBuilder().setAgeMillis(ABOVE_INT).addLevels(many).addLevels(many);
    for (int i = 0; i < 10_000; i++) {
      message.addLevels(level().setService("s" + i));
    }
    org.wagtailpin.limits.CustomerSums sums = codec.decode(message.build());

    assertThat(sums.levels()).hasSize(CustomerSumsCodec.MAX_LEVELS);
    assertThat(sums.of("work")).hasSize(1);
    assertThat(sums.of("work").get(0).busiest()).hasSize(CustomerSumsCodec.MAX_LISTED);
    assertThat(sums.ageMillis()).isEqualTo((double) 0xFFFF_FFFFL);
  }
}
