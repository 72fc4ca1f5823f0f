package org.wagtailpin.customer;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ConfigCustomer;

class CustomerIndexTest {

  private static ConfigCustomer customer(String name, String... keys) {
    return new ConfigCustomer(name, List.of(keys), Optional.empty(), 0, 0, List.of());
  }

  private static List<ConfigCustomer> customers(int count) {
    List<ConfigCustomer> customers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      customers.add(customer("customer-" + i, "key-" + i));
    }
    return customers;
  }

  /** Guards against a look-up whose cost grows with the number of keys. */
  @Test
  void aLookUpVisitsAsFewNodesAmongTenThousandKeysAsAmongTen() {
    CustomerIndex few = CustomerIndex.empty().changedTo(customers(10));
    CustomerIndex many = CustomerIndex.empty().changedTo(customers(10_000));

    long manyVisited = 0;
    for (int i = 0; i < 10_000; i++) {
      String key = "key-" + i;
      assertThat(many.ofKey(key).orElseThrow().name()).isEqualTo("customer-" + i);
      assertThat(many.visitedBy(key)).isAtMost(few.visitedBy("key-0") + 2);
      manyVisited += many.visitedBy(key);
    }
    assertThat(manyVisited).isAtMost(10_000L * few.visitedBy("key-0") + 1_000);
    assertThat(many.ofKey("key-10000")).isEmpty();
  }

  @Test
  void keysOfOneCustomerChangeWithoutEffectOnOthersOrOnTheIndexBefore() {
    List<ConfigCustomer> customers = customers(100);
    CustomerIndex before = CustomerIndex.empty().changedTo(customers);
    customers.set(3, customer("customer-3", "new"));
    customers.remove(7);

    CustomerIndex after = before.changedTo(customers);

    assertThat(after.ofKey("key-3")).isEmpty();
    assertThat(after.ofKey("key-7")).isEmpty();
    assertThat(after.ofKey("new").orElseThrow().name()).isEqualTo("customer-3");
    assertThat(after.ofKey("key-99").orElseThrow().name()).isEqualTo("customer-99");
    assertThat(before.ofKey("key-3").orElseThrow().name()).isEqualTo("customer-3");
    assertThat(before.ofKey("new")).isEmpty();
    assertThat(after.changedTo(List.of()).ofKey("new")).isEmpty();
    assertThat(after.changedTo(List.copyOf(customers))).isSameInstanceAs(after);
  }

  /** Guards against a key that is lost, or owned differently by entries, when it moves. */
  @Test
  void aKeyOfTwoCustomersIdentifiesTheFirstByNameInWhateverOrderTheyAppear() {
    ConfigCustomer a = customer("a", "shared", "shared");
    ConfigCustomer b = customer("b", "shared");

    CustomerIndex both = CustomerIndex.empty().changedTo(List.of(b)).changedTo(List.of(b, a));

    assertThat(both.ofKey("shared")).hasValue(a);
    assertThat(both.changedTo(List.of(b)).ofKey("shared")).hasValue(b);
    assertThat(both.changedTo(List.of(a)).ofKey("shared")).hasValue(a);
  }

  /** Guards against keys that appear in logs with the customer they belong to. */
  @Test
  void theTextOfCustomerOmitsItsKeys() {
    assertThat(customer("a", "secret").toString()).doesNotContain("secret");
  }
}
