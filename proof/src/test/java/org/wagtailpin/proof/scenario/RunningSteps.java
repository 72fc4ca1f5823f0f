package org.wagtailpin.proof.scenario;

import static com.google.common.truth.Truth.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.store.memory.StoreFaults;

/** Cucumber steps of the scenarios that run complete entries on sockets, in real time. */
public final class RunningSteps {

  private static final long WAIT_SECONDS = 30;

  private final List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
  private Optional<RunningFleet> fleet = Optional.empty();
  private Optional<CompletableFuture<Integer>> leaveResult = Optional.empty();

  private RunningFleet runningFleet() {
    return fleet.orElseThrow();
  }

  @Given("{int} running entries with seed {long} and a server that takes {int} ms")
  public void runningEntries(int count, long seed, int serviceMillis) throws IOException {
    System.out.println("scenario with seed " + seed);
    fleet = Optional.of(new RunningFleet(count, serviceMillis, seed));
    runningFleet().acceptOrderService();
  }

  @After
  public void closeFleet() {
    fleet.ifPresent(RunningFleet::close);
  }

  @When("order {string} is posted to running entry {int}")
  public void callerPostsOrder(String order, int entry) {
    answers.add(runningFleet().postOrder(entry, order));
  }

  @When("the catalogue is asked for at running entry {int}")
  public void callerGetsCatalogue(int entry) {
    answers.add(runningFleet().getCatalogue(entry));
  }

  @When("the server has begun {int} order(s)")
  public void serverHasBegun(int orders) {
    RunningFleet.await(
        "orders begun at the server",
        () -> runningFleet().executionCounter().totalRuns() >= orders);
  }

  @When("all answers are there")
  public void awaitAnswers() {
    for (CompletableFuture<HttpResponse<String>> answer : answers) {
      answer.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
    }
  }

  @When("the running store is down")
  public void storeIsDown() {
    runningFleet().store().changeFaults(StoreFaults.builder().down(true).build());
  }

  @When("the running server reads requests and drops them")
  public void serverDrops() {
    runningFleet()
        .server()
        .setFaults(runningFleet().server().faults().withCloseWithoutAnswer(true));
  }

  @When("the running server drains")
  public void serverDrains() {
    runningFleet().server().setFaults(runningFleet().server().faults().withLeaving(true));
  }

  @When("running entry {int} leaves")
  public void entryLeaves(int entry) {
    leaveResult = Optional.of(runningFleet().entry(entry).leave());
  }

  @Then("it cut no call in flight")
  public void noCallWasCut() {
    int cutCalls = leaveResult.orElseThrow().orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
    assertThat(cutCalls).isEqualTo(0);
  }

  @Then("answer {int} has status {int}")
  public void answerHasStatus(int number, int status) {
    assertThat(answers.get(number - 1).join().statusCode()).isEqualTo(status);
  }

  @Then("answer {int} says {string}")
  public void answerSays(int number, String outcome) {
    assertThat(answers.get(number - 1).join().headers().firstValue("wagtailpin-outcome"))
        .hasValue(outcome);
  }

  @Then("answer {int} is the same as answer {int}")
  public void answersAreEqual(int one, int other) {
    assertThat(answers.get(one - 1).join().body()).isEqualTo(answers.get(other - 1).join().body());
  }

  @Then("the server ran order {string} {int} time(s)")
  public void serverRan(String order, int times) {
    assertThat(runningFleet().executionCounter().runsOf(order)).isEqualTo(times);
  }
}
