package org.wagtailpin.entrypeer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.UnknownFieldSet;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.entrypeer.generated.ClaimSettle;
import org.wagtailpin.entrypeer.generated.ConfigObjects;
import org.wagtailpin.entrypeer.generated.ConfigPull;
import org.wagtailpin.entrypeer.generated.Heartbeat;
import org.wagtailpin.entrypeer.generated.HeartbeatAck;
import org.wagtailpin.entrypeer.generated.ObjectState;
import org.wagtailpin.entrypeer.generated.PeerFrame;

class NettyPeerMessengerTest {

  private static final int MAX_FRAME_BYTES = 4096;
  private static final long TIMEOUT_MILLIS = 2000;
  private static final long TEST_TIMEOUT_SECONDS = 30;
  private static final int UNKNOWN_FIELD = 999;

  private final ThreadControlLoop loop = new ThreadControlLoop("control");
  private final MutableAddressBook addresses = new MutableAddressBook();
  private final List<NettyPeerMessenger> messengers = new ArrayList<>();

  @AfterEach
  void closeAll() {
    messengers.forEach(NettyPeerMessenger::close);
    loop.close();
  }

  private NettyPeerMessenger messenger(String id, long incarnation, int port) {
    NettyPeerSettings settings =
        new NettyPeerSettings("127.0.0.1", port, MAX_FRAME_BYTES, 8, 500, 1, 2);
    NettyPeerMessenger messenger =
        new NettyPeerMessenger(
            new PeerIdentity(id, incarnation),
            addresses,
            loop,
            new SystemClock(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            settings);
    messengers.add(messenger);
    return messenger;
  }

  private int listen(NettyPeerMessenger messenger) {
    int port = ((ListenResult.Listening) messenger.start()).port();
    addresses.setAddress(messenger.self(), "127.0.0.1", port);
    return port;
  }

  private static void answerHeartbeats(NettyPeerMessenger messenger) {
    messenger.setHandler(
        PeerFrame.BodyCase.HEARTBEAT,
        request ->
            CompletableFuture.completedFuture(
                PeerFrame.newBuilder()
                    .setHeartbeatAck(
                        HeartbeatAck.newBuilder()
                            .setSequence(request.getHeartbeat().getSequence()))));
  }

  private static PeerFrame.Builder heartbeat(long sequence) {
    return PeerFrame.newBuilder().setHeartbeat(Heartbeat.newBuilder().setSequence(sequence));
  }

  private static PeerReply await(CompletableFuture<PeerReply> reply) {
    return reply.orTimeout(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }

  private static PeerReply sendRequest(NettyPeerMessenger messenger, String entry) {
    return await(messenger.request(entry, heartbeat(1), TIMEOUT_MILLIS));
  }

  /** Repeats the request until it is answered, as periodic heartbeats do; 1001 tries at most. */
  private static PeerReply requestUntilAnswered(NettyPeerMessenger messenger, String entry) {
    PeerReply reply = sendRequest(messenger, entry);
    for (int i = 0; i < 1000 && !(reply instanceof PeerReply.Answered); i++) {
      reply = sendRequest(messenger, entry);
    }
    return reply;
  }

  @Test
  void eachRequestGetsItsOwnAnswer() {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    NettyPeerMessenger responder = messenger("b", 2, 0);
    answerHeartbeats(responder);
    listen(responder);
    List<CompletableFuture<PeerReply>> replies = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      replies.add(requester.request("b", heartbeat(i), TIMEOUT_MILLIS));
    }
    for (int i = 0; i < 5; i++) {
      PeerFrame answer = ((PeerReply.Answered) await(replies.get(i))).frame();
      assertThat(answer.getHeartbeatAck().getSequence()).isEqualTo(i);
      assertThat(answer.getSender()).isEqualTo("b");
      assertThat(answer.getIncarnation()).isEqualTo(2);
    }
  }

  @Test
  void futureCompletesOnControlLoop() {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    NettyPeerMessenger responder = messenger("b", 2, 0);
    answerHeartbeats(responder);
    listen(responder);
    AtomicReference<Optional<String>> thread = new AtomicReference<>(Optional.empty());
    var completed =
        requester
            .request("b", heartbeat(1), TIMEOUT_MILLIS)
            .thenAccept(reply -> thread.set(Optional.of(Thread.currentThread().getName())));
    completed.orTimeout(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    assertThat(thread.get()).isEqualTo(Optional.of("control"));
  }

  @Test
  void requestToUnknownEntryIsNotSent() {
    assertThat(sendRequest(messenger("a", 1, 0), "nobody")).isInstanceOf(PeerReply.NotSent.class);
  }

  @Test
  void requestToClosedPortIsNotSent() {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    NettyPeerMessenger gone = messenger("b", 2, 0);
    listen(gone);
    gone.close();
    assertThat(sendRequest(requester, "b")).isInstanceOf(PeerReply.NotSent.class);
  }

  @Test
  void requestWithoutHandlerHasNoAnswer() {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    listen(messenger("b", 2, 0));
    PeerFrame.Builder frame =
        PeerFrame.newBuilder().setClaimSettle(ClaimSettle.getDefaultInstance());
    assertThat(await(requester.request("b", frame, 100))).isInstanceOf(PeerReply.NoAnswer.class);
  }

  @Test
  void answerFromAnotherEntryAtTheAddressIsRejected() {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    NettyPeerMessenger other = messenger("c", 3, 0);
    answerHeartbeats(other);
    int port = listen(other);
    addresses.setAddress("b", "127.0.0.1", port);
    assertThat(sendRequest(requester, "b")).isInstanceOf(PeerReply.NoAnswer.class);
  }

  @Test
  void entryIsReachedByItsAddressAlone() {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    NettyPeerMessenger responder = messenger("b", 2, 0);
    answerHeartbeats(responder);
    int port = listen(responder);
    PeerReply reply = sendRequest(requester, MutableAddressBook.addressName("127.0.0.1", port));
    assertThat(((PeerReply.Answered) reply).frame().getSender()).isEqualTo("b");
  }

  @Test
  void restartedPeerIsReachedAgainWithItsNewIncarnation() {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    NettyPeerMessenger first = messenger("b", 2, 0);
    answerHeartbeats(first);
    int port = listen(first);
    assertThat(sendRequest(requester, "b")).isInstanceOf(PeerReply.Answered.class);
    first.close();
    NettyPeerMessenger second = messenger("b", 3, port);
    answerHeartbeats(second);
    listen(second);
    PeerReply reply = requestUntilAnswered(requester, "b");
    assertThat(((PeerReply.Answered) reply).frame().getIncarnation()).isEqualTo(3);
  }

  @Test
  void requestInFlightHasNoAnswerWhenPeerEnds() throws Exception {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    NettyPeerMessenger responder = messenger("b", 2, 0);
    CompletableFuture<Void> arrived = new CompletableFuture<>();
    responder.setHandler(
        PeerFrame.BodyCase.HEARTBEAT,
        request -> {
          arrived.complete(null);
          return new CompletableFuture<>();
        });
    listen(responder);
    CompletableFuture<PeerReply> reply =
        requester.request("b", heartbeat(1), TimeUnit.SECONDS.toMillis(TEST_TIMEOUT_SECONDS));
    arrived.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    responder.close();
    assertThat(await(reply)).isInstanceOf(PeerReply.NoAnswer.class);
  }

  @Test
  void frameAboveMaxSizeIsNotSent() {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    listen(messenger("b", 2, 0));
    ObjectState large =
        ObjectState.newBuilder().setJson(ByteString.copyFrom(new byte[MAX_FRAME_BYTES])).build();
    PeerFrame.Builder frame =
        PeerFrame.newBuilder().setConfigObjects(ConfigObjects.newBuilder().addObjects(large));
    assertThat(await(requester.request("b", frame, TIMEOUT_MILLIS)))
        .isInstanceOf(PeerReply.NotSent.class);
  }

  @Test
  void connectionIsClosedOnFrameAboveMaxSize() throws Exception {
    NettyPeerMessenger responder = messenger("b", 2, 0);
    answerHeartbeats(responder);
    int port = listen(responder);
    try (Socket socket = connect(port)) {
      CodedOutputStream out = CodedOutputStream.newInstance(socket.getOutputStream());
      out.writeUInt32NoTag(MAX_FRAME_BYTES + 1);
      out.flush();
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(sendRequest(messenger("a", 1, 0), "b")).isInstanceOf(PeerReply.Answered.class);
  }

  @Test
  void connectionIsClosedOnMalformedFrame() throws Exception {
    NettyPeerMessenger responder = messenger("b", 2, 0);
    int port = listen(responder);
    try (Socket socket = connect(port)) {
      socket.getOutputStream().write(new byte[] {3, (byte) 0xff, (byte) 0xff, (byte) 0xff});
      socket.getOutputStream().flush();
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void frameThatArrivesByteByByteIsAnswered() throws Exception {
    NettyPeerMessenger responder = messenger("b", 2, 0);
    answerHeartbeats(responder);
    int port = listen(responder);
    byte[] bytes = delimited(fromOutside().build());
    try (Socket socket = connect(port)) {
      OutputStream out = socket.getOutputStream();
      for (byte nextByte : bytes) {
        out.write(nextByte);
        out.flush();
      }
      PeerFrame answer = PeerFrame.parseDelimitedFrom(socket.getInputStream());
      assertThat(answer.getRequestId()).isEqualTo(77);
      assertThat(answer.getIsAnswer()).isTrue();
    }
  }

  @Test
  void bodyAndFieldsOfLaterVersionAreIgnored() throws Exception {
    NettyPeerMessenger responder = messenger("b", 2, 0);
    answerHeartbeats(responder);
    int port = listen(responder);
    UnknownFieldSet later =
        UnknownFieldSet.newBuilder()
            .addField(
                UNKNOWN_FIELD,
                UnknownFieldSet.Field.newBuilder()
                    .addLengthDelimited(ByteString.copyFromUtf8("later"))
                    .build())
            .build();
    PeerFrame unknownBody = fromOutside().clearBody().setUnknownFields(later).build();
    PeerFrame knownBody = fromOutside().setVersion(9).setUnknownFields(later).build();
    try (Socket socket = connect(port)) {
      socket.getOutputStream().write(delimited(unknownBody));
      socket.getOutputStream().write(delimited(knownBody));
      PeerFrame answer = PeerFrame.parseDelimitedFrom(socket.getInputStream());
      assertThat(answer.getRequestId()).isEqualTo(77);
    }
  }

  @Test
  void unknownFieldsAreKept() throws Exception {
    UnknownFieldSet later =
        UnknownFieldSet.newBuilder()
            .addField(UNKNOWN_FIELD, UnknownFieldSet.Field.newBuilder().addVarint(5).build())
            .build();
    ConfigPull pull = ConfigPull.newBuilder().setUnknownFields(later).build();
    PeerFrame frame = fromOutside().setConfigPull(pull).build();
    NettyPeerMessenger responder = messenger("b", 2, 0);
    AtomicReference<PeerFrame> seen = new AtomicReference<>();
    responder.setHandler(
        PeerFrame.BodyCase.CONFIG_PULL,
        request -> {
          seen.set(request);
          return CompletableFuture.completedFuture(
              PeerFrame.newBuilder().setConfigObjects(ConfigObjects.getDefaultInstance()));
        });
    int port = listen(responder);
    try (Socket socket = connect(port)) {
      socket.getOutputStream().write(delimited(frame));
      assertThat(PeerFrame.parseDelimitedFrom(socket.getInputStream()).hasConfigObjects()).isTrue();
    }
    assertThat(seen.get().getConfigPull().getUnknownFields()).isEqualTo(later);
  }

  @Test
  void requestsBeyondQueueAreNotSent() {
    NettyPeerMessenger requester = messenger("a", 1, 0);
    // Address reserved for documentation (RFC 5737, section 3), so no connection can be opened.
    addresses.setAddress("far", "192.0.2.1", 7000);
    List<CompletableFuture<PeerReply>> replies = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      replies.add(requester.request("far", heartbeat(i), TIMEOUT_MILLIS));
    }
    for (CompletableFuture<PeerReply> reply : replies) {
      assertThat(await(reply)).isInstanceOf(PeerReply.NotSent.class);
    }
  }

  private static PeerFrame.Builder fromOutside() {
    return heartbeat(1).setVersion(1).setSender("outside").setIncarnation(4).setRequestId(77);
  }

  private static byte[] delimited(PeerFrame frame) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    frame.writeDelimitedTo(out);
    return out.toByteArray();
  }

  private static Socket connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TEST_TIMEOUT_SECONDS));
    return socket;
  }
}
