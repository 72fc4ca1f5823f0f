package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CustomerConfigTest {

  private static final ConfigCustomer CUSTOMER =
      new ConfigCustomer("c", List.of("k1", "k2"), Optional.of(2), 7.5, 3, List.of("r"));

  private final ConfigJson json = new ConfigJson();

  /** Guards against fields that are lost when an entry passes its configuration to another. */
  @Test
  void customersRoutesAndServicesOfDocumentsAreReadBackAsWritten() {
    ConfigRoute route =
        new ConfigRoute(
            "route",
            Optional.empty(),
            "/",
            Set.of(),
            "work",
            Optional.empty(),
            1,
            IdempotencyKeyRule.IGNORED,
            false,
            List.of(),
            Optional.empty(),
            Optional.empty(),
            0,
            true,
            List.of("r", "s"));
    ConfigService service =
        new ConfigService(
            "work",
            true,
            List.of(),
            Optional.empty(),
            Optional.empty(),
            Optional.of(4_000L),
            Optional.of(6.1));
    ConfigDocument document = new ConfigDocument("all", List.of(service, route, CUSTOMER));

    ObjectReadResult read = json.readFromPeer(ConfigKind.DOCUMENT, json.write(document));

    assertThat(read).isEqualTo(new ObjectReadResult.Read(document));
  }

  @Test
  void anEvacuationIsReadBackAsWritten() {
    ConfigEvacuation evacuation = new ConfigEvacuation("zone-a");

    ObjectReadResult read = json.readFromPeer(ConfigKind.EVACUATION, json.write(evacuation));

    assertThat(read).isEqualTo(new ObjectReadResult.Read(evacuation));
  }

  /** Guards against keys in tickets, whose content appears in reports. */
  @Test
  void neitherCustomersNorEvacuationsAreAllowedInTickets() {
    assertThat(ConfigKind.CUSTOMER.isAllowedInTickets()).isFalse();
    assertThat(ConfigKind.EVACUATION.isAllowedInTickets()).isFalse();
  }

  @Test
  void aSnapshotHasTheCustomersAndTheEvacuatedDomains() {
    MergedConfig merged = new MergedConfig();
    ConfigDocument document = new ConfigDocument("all", List.of(CUSTOMER));
    ConfigEvacuation evacuation = new ConfigEvacuation("zone-a");
    merged.merge(new VersionedObject(document.id(), 5, Optional.of(document)));
    merged.merge(new VersionedObject(evacuation.id(), 6, Optional.of(evacuation)));
    PublishedConfig published = new PublishedConfig();

    published.publish(merged);
    ConfigSnapshot before = published.current();
    merged.merge(new VersionedObject(evacuation.id(), 7, Optional.empty()));
    published.publish(merged);

    assertThat(before.customers().ofKey("k2")).hasValue(CUSTOMER);
    assertThat(before.evacuatedDomains()).containsExactly("zone-a");
    assertThat(published.current().evacuatedDomains()).isEmpty();
    assertThat(published.current().customers()).isSameInstanceAs(before.customers());
  }
}
