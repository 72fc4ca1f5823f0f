package org.wagtailpin.fleet;

import java.util.function.BooleanSupplier;
import org.wagtailpin.entrypeer.generated.DomainBeat;
import org.wagtailpin.entrypeer.generated.DomainBeatAck;
import org.wagtailpin.limits.DomainCustomerSums;
import org.wagtailpin.membership.Member;

/**
 * Exchanges the sums of the work of customers in the beats between a watcher and its followers.
 * Confined to the control loop.
 */
final class CustomerSumsExchange {

  private final Member self;
  private final FollowedWatcher followed;
  private final BooleanSupplier watching;
  private final DomainCustomerSums sums;
  private final CustomerSumsCodec codec = new CustomerSumsCodec();
  private long lastSentMillis = Long.MIN_VALUE;

  CustomerSumsExchange(
      Member self, FollowedWatcher followed, BooleanSupplier watching, DomainCustomerSums sums) {
    this.self = self;
    this.followed = followed;
    this.watching = watching;
    this.sums = sums;
  }

  /** Adds this entry's sums to a beat to its watcher, if there are any to report. */
  void addReport(String receiver, DomainBeat.Builder beat) {
    if (follows(receiver)) {
      codec.encode(sums.report()).ifPresent(beat::setCustomerSums);
    }
  }

  /** Records what a follower reports, and adds the sums of the domain to the answer. */
  void answer(String sender, Member member, DomainBeat beat, DomainBeatAck.Builder ack) {
    boolean other = sender.equals(member.id()) && !sender.equals(self.id());
    if (watching.getAsBoolean() && other && member.failureDomain().equals(self.failureDomain())) {
      sums.reported(sender, codec.decode(beat.getCustomerSums()));
      codec.encode(sums.total()).ifPresent(ack::setCustomerSums);
    }
  }

  /**
   * Records the sums in an answer of this entry's watcher. An answer without sums replaces earlier
   * ones, as no service of the domain refuses work any more or the watcher has given way.
   *
   * @param sentMillis when the message was sent that it answers
   */
  void receive(String sender, DomainBeatAck ack, long sentMillis) {
    // Answers can come in another order than the messages that they answer.
    if (follows(sender) && sentMillis >= lastSentMillis) {
      lastSentMillis = sentMillis;
      sums.received(codec.decode(ack.getCustomerSums()), (double) sentMillis);
    }
  }

  private boolean follows(String entry) {
    return followed.is(entry) && !watching.getAsBoolean();
  }
}
