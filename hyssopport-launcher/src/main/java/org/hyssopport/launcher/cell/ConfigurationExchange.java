package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.protocol.MemberMessage;

/**
 * Passes the configuration on between members, so that one which the store turns away learns of
 * withdrawn keys and new routes as soon as the others.
 *
 * <p>Heartbeats state the version in force at their sender. {@link PeerConfigurationPolicy} decides
 * whether to ask it for that version; the answer holds the record as the operator wrote it.
 */
final class ConfigurationExchange {

  /** Requests of all members for one version; further ones are repeated by their senders. */
  private static final int QUEUE_CAPACITY = 512;

  /** Several times the members of the largest cells. */
  private static final int MAXIMUM_HEARD_MEMBERS = 1000;

  private final MemberContext context;
  private final ConfigurationFollower follower;
  private final MemberTransport transport;
  private final PeerConfigurationPolicy policy = new PeerConfigurationPolicy();

  /** Packing and unpacking takes tens of milliseconds, during which a link must not wait. */
  private final ExecutorService executor =
      Threads.bounded("configuration-copies", 1, QUEUE_CAPACITY);

  /** The members that have sent heartbeats to this process. */
  private final Set<String> heardMembers = ConcurrentHashMap.newKeySet();

  private Optional<MemberMessage.ConfigurationCopy> copy = Optional.empty();

  ConfigurationExchange(
      MemberContext context, ConfigurationFollower follower, MemberTransport transport) {
    this.context = context;
    this.follower = follower;
    this.transport = transport;
  }

  /**
   * Returns the version that heartbeats state: none on a cell without organisations, whose members
   * get their configuration from the store alone.
   */
  static Optional<Long> statedVersion(Optional<CellConfiguration> configuration) {
    return configuration
        .filter(inForce -> inForce.organisations().isPresent())
        .map(CellConfiguration::version);
  }

  private Optional<Long> heldVersion() {
    return follower.current().map(CellConfiguration::version);
  }

  /** Handles a heartbeat that states the version in force at its sender. */
  void onOffer(String sender, long version) {
    if (heardMembers.size() < MAXIMUM_HEARD_MEMBERS) {
      heardMembers.add(sender);
    }
    if (policy.shouldAsk(
        version, heldVersion(), follower.storeReachable(), context.clock().instant())) {
      ask(sender, version);
    }
  }

  /**
   * Asks a member if neither the store nor a heartbeat tells the version in force.
   *
   * @param listedMembers the members that the last scheduler listed
   */
  void askIfNothingIsHeard(Collection<String> listedMembers) {
    List<String> others =
        Stream.concat(listedMembers.stream(), heardMembers.stream())
            .distinct()
            .filter(member -> !member.equals(context.settings().peerAddress()))
            .toList();
    boolean withoutOrganisations =
        follower.current().isPresent() && statedVersion(follower.current()).isEmpty();
    if (!others.isEmpty()
        && !withoutOrganisations
        && policy.shouldAskAnyMember(follower.storeReachable(), context.clock().instant())) {
      ask(others.get(ThreadLocalRandom.current().nextInt(others.size())), -1);
    }
  }

  private void ask(String member, long offered) {
    long held = heldVersion().orElse(-1L);
    context
        .log()
        .write(
            "configuration requested from a member",
            Map.of("member", member, "offered", offered, "held", held));
    transport.send(member, new MemberMessage.ConfigurationRequest(held));
  }

  /** Handles a message about the configuration on a thread of its own. */
  void receive(String sender, MemberMessage message) {
    try {
      executor.execute(
          () -> {
            if (message instanceof MemberMessage.ConfigurationRequest request) {
              answer(sender, request);
            } else if (message instanceof MemberMessage.ConfigurationCopy received) {
              apply(sender, received);
            }
          });
    } catch (RejectedExecutionException e) {
      context.log().write("configuration message dropped: too many wait", Map.of("member", sender));
    }
  }

  private void answer(String sender, MemberMessage.ConfigurationRequest request) {
    follower
        .record()
        .filter(record -> statedVersion(follower.current()).isPresent())
        .filter(record -> record.version() > request.heldVersion())
        .ifPresent(record -> transport.send(sender, copyOf(record)));
  }

  private MemberMessage.ConfigurationCopy copyOf(ConfigurationFollower.HeldRecord record) {
    if (copy.filter(held -> held.version() == record.version()).isEmpty()) {
      copy =
          Optional.of(
              new MemberMessage.ConfigurationCopy(
                  record.version(), CompressedConfiguration.deflate(record.value())));
    }
    return copy.get();
  }

  private void apply(String sender, MemberMessage.ConfigurationCopy received) {
    if (heldVersion().filter(held -> held >= received.version()).isPresent()) {
      return;
    }
    Either<String, byte[]> value = CompressedConfiguration.inflate(received.deflatedValue());
    boolean applied =
        value.isRight() && follower.apply(value.get(), ConfigurationFollower.Source.MEMBER);
    if (!applied) {
      context
          .log()
          .writeUnreadable(
              "configuration",
              "configuration from a member not usable; skipped",
              Map.of("member", sender, "reason", value.isLeft() ? value.getLeft() : "not newer"));
    }
  }
}
