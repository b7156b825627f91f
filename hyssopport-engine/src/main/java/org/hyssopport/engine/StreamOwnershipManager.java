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
 * Settles which failure domain decides for each work stream, and keeps the streams from lapsing.
 *
 * <p>Every stream has a home domain. Another domain adopts it by a record while the home domain is
 * gone, and the home domain takes it back by another.
 */
final class StreamOwnershipManager {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
  private static final Duration CHECKPOINT_RETRY_INTERVAL = Duration.ofSeconds(30);
  private static final Duration FIRST_OWNER_DELAY = Duration.ofSeconds(2);
  private static final int CHECKPOINTS_PER_RETENTION = 3;

  private final EngineContext context;
  private final FollowedStreams streams;
  private final Membership membership;
  private final Map<Integer, Instant> nextCheckpoints = new HashMap<>();
  private Instant nextCheck = Instant.EPOCH;
  private Optional<Instant> startedAt = Optional.empty();

  StreamOwnershipManager(EngineContext context, FollowedStreams streams, Membership membership) {
    this.context = context;
    this.streams = streams;
    this.membership = membership;
  }

  boolean isOwned(int index) {
    return streams.fold(index).owner().equals(Optional.of(context.failureDomain()));
  }

  void tick() {
    if (context.now().isBefore(nextCheck) || context.isDraining()) {
      return;
    }
    nextCheck = context.now().plus(CHECK_INTERVAL);
    if (startedAt.isEmpty()) {
      startedAt = Optional.of(context.now());
    }
    if (context.now().isBefore(startedAt.get().plus(FIRST_OWNER_DELAY))) {
      return;
    }
    for (int index = 0; index < streams.count(); index++) {
      StreamFollower<WorkProjection> stream = streams.work(index);
      boolean mine = membership.rank("stream-" + index) == 0;
      if (stream.isInitialized() && mine) {
        ownIfNeeded(index, stream.projection());
        checkpointIfNeeded(index, stream);
      }
    }
  }

  private void ownIfNeeded(int index, WorkProjection fold) {
    List<FailureDomain> domains = context.allDomains();
    FailureDomain home = domains.get(index % domains.size());
    FailureDomain wanted = membership.isGone(home) ? substitute(index, domains, home) : home;
    boolean ownerGone = fold.owner().map(membership::isGone).orElse(true);
    boolean takesBack = wanted.equals(home) && !fold.owner().equals(Optional.of(home));
    boolean self = wanted.equals(context.failureDomain());
    if (self && !isOwned(index) && (ownerGone || takesBack)) {
      context.append(
          streams.name(index), new StreamOwned(fold.epoch() + 1, context.failureDomain()));
    }
  }

  private FailureDomain substitute(int index, List<FailureDomain> domains, FailureDomain home) {
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
