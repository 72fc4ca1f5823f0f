package org.wagtailpin.proof.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wagtailpin.entrypeer.memory.NetworkFaults;
import org.wagtailpin.store.memory.StoreFaults;

/** Cucumber steps of the scenarios in simulated time; {@code features/README.md} lists them. */
public final class FleetSteps {

  private static final long SETTLE_MILLIS = 20_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private ScenarioFleet fleet;
  private final Set<String> entriesWithoutStore = new HashSet<>();
  private boolean storeDown;
  private long storeDelayMillis = 2;
  private double lostAnswerFraction;
  private double staleReadFraction;

  @Given("{int} entries with seed {long}")
  public void entries(int count, long seed) {
    System.out.println("scenario with seed " + seed);
    fleet = new ScenarioFleet(seed);
    for (int i = 1; i <= count; i++) {
      fleet.start(Integer.toString(i));
    }
    fleet.advanceTime(SETTLE_MILLIS);
  }

  @When("the store is down")
  public void storeIsDown() {
    storeDown = true;
    applyStoreFaults();
  }

  @When("the store is up again")
  public void storeIsUp() {
    storeDown = false;
    applyStoreFaults();
  }

  @When("the store takes up to {int} ms each way")
  public void storeIsSlow(int millis) {
    storeDelayMillis = millis;
    applyStoreFaults();
  }

  @When("the store loses {int} of 100 answers")
  public void storeLosesAnswers(int percent) {
    lostAnswerFraction = percent / 100.0;
    applyStoreFaults();
  }

  @When("the store gives old answers to {int} of 100 reads")
  public void storeGivesStaleReads(int percent) {
    staleReadFraction = percent / 100.0;
    applyStoreFaults();
  }

  @When("entry {word} is cut off from the store")
  public void isolateFromStore(String entry) {
    entriesWithoutStore.add(entry);
    applyStoreFaults();
  }

  @When("entry {word} is cut off from the other entries")
  public void isolateFromPeers(String entry) {
    Set<String> others = new HashSet<>(fleet.names());
    others.remove(entry);
    fleet.network().addPartition(Set.of(entry), others);
  }

  @When("{int} of 100 messages between entries are lost and as many doubled")
  public void messagesAreLost(int percent) {
    fleet.network().setFaults(new NetworkFaults(1, 100, percent / 100.0, percent / 100.0));
  }

  @When("all faults end")
  public void faultsEnd() {
    storeDown = false;
    storeDelayMillis = 2;
    lostAnswerFraction = 0;
    staleReadFraction = 0;
    entriesWithoutStore.clear();
    applyStoreFaults();
    fleet.network().healPartitions();
    fleet.network().setFaults(NetworkFaults.none());
    fleet.entries().forEach(entry -> entry.loop().resume());
    fleet.server().setBehaviour(OrderServer.Behaviour.ANSWERS);
    fleet.advanceTime(SETTLE_MILLIS);
  }

  private void applyStoreFaults() {
    fleet.changeStoreFaults(
        StoreFaults.builder()
            .down(storeDown)
            .delay(storeDelayMillis)
            .lostAnswers(lostAnswerFraction)
            .staleReads(staleReadFraction, 10 * MILLIS_PER_SECOND)
            .partition(entriesWithoutStore)
            .build());
  }

  @When("entry {word} is paused")
  public void pause(String entry) {
    fleet.entry(entry).loop().pause();
  }

  @When("entry {word} goes on")
  public void resume(String entry) {
    fleet.entry(entry).loop().resume();
  }

  @When("entry {word} crashes")
  public void crash(String entry) {
    fleet.crash(entry);
  }

  @When("entry {word} is replaced")
  public void replace(String entry) {
    fleet.crash(entry);
    fleet.start(entry);
  }

  @When("all entries are replaced one by one within a minute")
  public void replaceAll() {
    List<String> names = List.copyOf(fleet.names());
    for (String name : names) {
      replace(name);
      fleet.advanceTime(60 * MILLIS_PER_SECOND / names.size());
    }
  }

  @When("{int} second(s) pass(es)")
  public void advanceTime(int seconds) {
    fleet.advanceTime(seconds * MILLIS_PER_SECOND);
  }

  @When("the order server refuses work")
  public void serverRefuses() {
    fleet.server().setBehaviour(OrderServer.Behaviour.REFUSES);
  }

  @When("the order server answers")
  public void serverAnswers() {
    fleet.server().setBehaviour(OrderServer.Behaviour.ANSWERS);
  }

  @When("the answers of the order server are lost")
  public void serverLosesAnswers() {
    fleet.server().setBehaviour(OrderServer.Behaviour.LOSES_ANSWERS);
  }

  @When("the order server takes {int} seconds for an order")
  public void serverIsSlow(int seconds) {
    fleet.server().setWorkMillis(seconds * MILLIS_PER_SECOND);
  }

  @When("a caller sends order {string} to entry {word}")
  public void callerSendsOrder(String order, String entry) {
    fleet.sendOrder(order, entry);
  }

  @When("{int} orders are sent {int} times each to random entries over {int} seconds")
  public void sendOrders(int orders, int times, int seconds) {
    List<String> names = List.copyOf(fleet.names());
    int sends = orders * times;
    for (int i = 0; i < sends; i++) {
      String order = "order-" + fleet.random().nextInt(orders);
      fleet.sendOrder(order, names.get(fleet.random().nextInt(names.size())));
      fleet.advanceTime(seconds * MILLIS_PER_SECOND / sends);
    }
  }

  @When("an operator sends ticket {long} for service {string}")
  public void sendTicket(long number, String service) {
    fleet.sendTicket(number, service);
  }

  @Then("ticket {long} ends as {word}")
  public void ticketEnds(long number, String expected) {
    assertThat(fleet.ticketOutcome(number)).isEqualTo(expected);
  }

  @Then("every accepted ticket is in force at every entry")
  public void ticketsInForce() {
    Set<Long> accepted = fleet.acceptedTickets();
    assertThat(accepted).isNotEmpty();
    long highest = accepted.stream().mapToLong(Long::longValue).max().orElseThrow();
    for (EntryProcess entry : fleet.entries()) {
      assertWithMessage("entry %s", entry.member().id())
          .that(entry.config().highestTicket())
          .isAtLeast(highest);
    }
    Set<Long> digests = new HashSet<>();
    fleet.entries().forEach(entry -> digests.add(entry.config().digest()));
    assertThat(digests).hasSize(1);
  }

  @Then("no entry ever went back to an older ticket")
  public void noConfigReverted() {
    assertThat(fleet.configReverted()).isFalse();
  }

  @Then("the caller of call {int} was told {string}")
  public void callerGotOutcome(int call, String outcome) {
    assertThat(fleet.calls().get(call - 1).outcome()).hasValue(outcome);
  }

  @Then("order {string} ran {int} time(s)")
  public void orderRan(String order, int times) {
    assertThat(fleet.server().runCount(order)).isEqualTo(times);
  }

  @Then("no order ran twice")
  public void noOrderRanTwice() {
    assertThat(fleet.server().maxRunCount()).isAtMost(1);
  }

  @Then("some orders ran")
  public void someOrdersRan() {
    assertThat(fleet.server().maxRunCount()).isAtLeast(1);
  }

  @Then("every {string} was true")
  public void everyNotRunWasTrue(String notRun) {
    assertThat(notRun).isEqualTo(OrderCall.NOT_RUN);
    for (OrderCall call : fleet.calls()) {
      if (call.outcome().filter(notRun::equals).isPresent()) {
        assertWithMessage(call.order()).that(call.dispatched()).isFalse();
      }
    }
  }

  @Then("every caller that got an answer got that of its own order")
  public void answersMatchOrders() {
    for (OrderCall call : fleet.calls()) {
      call.body().ifPresent(body -> assertThat(body).startsWith(call.order() + ","));
    }
  }

  @Then("every caller was told something")
  public void everyCallerGotOutcome() {
    for (OrderCall call : fleet.calls()) {
      assertWithMessage(call.order()).that(call.outcome()).isPresent();
    }
  }

  @Then("the entries together never exceeded a limit")
  public void limitHeld() {
    assertThat(fleet.limitExceeded()).isFalse();
  }

  @Then("the entries together use the whole limit")
  public void limitUsed() {
    assertThat(fleet.limitInUse()).isEqualTo(fleet.limit());
  }
}
