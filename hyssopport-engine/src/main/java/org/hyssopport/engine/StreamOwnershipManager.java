package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.work.StreamFollower;
import org.hyssopport.engine.work.StreamRecord.Checkpoint;
import org.hyssopport.engine.work.StreamRecord.StreamOwned;
import org.hyssopport.engine.work.WorkProjection;

/**
 * Appends the records that decide which failure domain owns each work stream, and the checkpoints
 * that replace the records of a stream before the log's retention removes them.
 *
 * <p>Every stream has a home domain. Another domain adopts the stream by an ownership record while
 * the home domain is gone, and the home domain takes it back by another record.
 */
final class StreamOwnershipManager {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
  private static final Duration CHECKPOINT_RETRY_INTERVAL = Duration.ofSeconds(30);
  private static final Duration FIRST_CHECK_DELAY = Duration.ofSeconds(2);
  private static final int CHECKPOINTS_PER_RETENTION = 3;

  private final EngineContext context;
  private final FollowedStreams streams;
  private final Membership membership;
  private final Map<Integer, Instant> nextCheckpoints = new HashMap<>();
  private Instant nextCheck = Instant.EPOCH;
  private Optional<Instant> firstTickAt = Optional.empty();

  StreamOwnershipManager(EngineContext context, FollowedStreams streams, Membership membership) {
    this.context = context;
    this.streams = streams;
    this.membership = membership;
  }

  /** Returns whether this failure domain owns the work stream of the given index. */
  boolean isOwned(int index) {
    return streams.projection(index).owner().equals(Optional.of(context.failureDomain()));
  }

  void tick() {
    if (context.now().isBefore(nextCheck) || context.isDraining()) {
      return;
    }
    nextCheck = context.now().plus(CHECK_INTERVAL);
    if (firstTickAt.isEmpty()) {
      firstTickAt = Optional.of(context.now());
    }
    if (context.now().isBefore(firstTickAt.get().plus(FIRST_CHECK_DELAY))) {
      return;
    }
    for (int index = 0; index < streams.count(); index++) {
      StreamFollower<WorkProjection> stream = streams.workStream(index);
      boolean firstRanked = membership.rank("stream-" + index) == 0;
      if (stream.isInitialized() && firstRanked) {
        claimOwnershipIfNeeded(index, stream.projection());
        checkpointIfNeeded(index, stream);
      }
    }
  }

  private void claimOwnershipIfNeeded(int index, WorkProjection projection) {
    List<FailureDomain> domains = context.allDomains();
    FailureDomain home = domains.get(index % domains.size());
    FailureDomain designatedOwner =
        membership.isGone(home) ? substituteDomain(index, domains, home) : home;
    boolean ownerGone = projection.owner().map(membership::isGone).orElse(true);
    boolean reclaims =
        designatedOwner.equals(home) && !projection.owner().equals(Optional.of(home));
    boolean isDesignated = designatedOwner.equals(context.failureDomain());
    if (isDesignated && !isOwned(index) && (ownerGone || reclaims)) {
      context.append(
          streams.name(index), new StreamOwned(projection.epoch() + 1, context.failureDomain()));
    }
  }

  private FailureDomain substituteDomain(
      int index, List<FailureDomain> domains, FailureDomain home) {
    List<String> candidates = new ArrayList<>();
    for (FailureDomain domain : domains) {
      if (!domain.equals(home) && !membership.isGone(domain)) {
        candidates.add(domain.name());
      }
    }
    if (candidates.isEmpty()) {
      return home;
    }
    return new FailureDomain(RendezvousHashing.order("stream-" + index, candidates).get(0));
  }

  private void checkpointIfNeeded(int index, StreamFollower<WorkProjection> stream) {
    Duration interval = context.settings().retention().dividedBy(CHECKPOINTS_PER_RETENTION);
    boolean due =
        stream.oldestNeededAt().map(at -> context.now().isAfter(at.plus(interval))).orElse(false);
    Instant next = nextCheckpoints.getOrDefault(index, Instant.EPOCH);
    if (!due || !isOwned(index) || context.now().isBefore(next)) {
      return;
    }
    nextCheckpoints.put(index, context.now().plus(CHECKPOINT_RETRY_INTERVAL));
    long covered = stream.nextOffset() - 1;
    context.append(streams.name(index), new Checkpoint(covered, stream.projection().snapshot()));
  }
}
