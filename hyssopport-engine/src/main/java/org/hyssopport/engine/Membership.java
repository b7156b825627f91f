package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.LiveInstance;
import org.hyssopport.engine.platform.LiveList;
import org.hyssopport.policy.Resources;

/**
 * Tracks which instances are alive, from the platform's live list, which lags behind, and from
 * heartbeats of peers.
 *
 * <p>The information may be wrong, and safety does not depend on it: ownership of a stream is
 * decided by epochs in the log, and membership only decides which instance tries to take it.
 */
final class Membership {

  private static final Duration FIRST_CONTACT_TIMEOUT = Duration.ofSeconds(3);

  private final EngineContext context;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<FailureDomain, Instant> lastSeen = new HashMap<>();
  private Optional<LiveList> liveList = Optional.empty();
  private Optional<Instant> liveListReadAt = Optional.empty();
  private Instant nextHeartbeat = Instant.EPOCH;

  Membership(EngineContext context) {
    this.context = context;
  }

  Optional<LiveList> liveList() {
    return liveList;
  }

  void applyLiveList(LiveList newList) {
    if (liveList.map(known -> newList.instant().isBefore(known.instant())).orElse(false)) {
      return;
    }
    liveList = Optional.of(newList);
    liveListReadAt = Optional.of(context.now());
    for (LiveInstance instance : newList.instances()) {
      if (instance.kind() == LiveInstance.Kind.ENTRY) {
        recordEntryInstance(instance);
      }
    }
  }

  private void recordEntryInstance(LiveInstance instance) {
    lastSeen.put(instance.failureDomain(), context.now());
    boolean other = !instance.name().equals(context.self().name());
    if (other && instance.peerAddress().isPresent()) {
      peers
          .computeIfAbsent(instance.name(), name -> new Peer(instance, context.now()))
          .setInstance(instance);
    }
  }

  /**
   * Records a heartbeat; if the sender is not a known peer, only that its failure domain is alive.
   *
   * @return the earlier incarnation of the peer that the sender replaces, if any
   */
  Optional<EntryId> recordHeartbeat(EntryId sender, PeerMessage.Heartbeat heartbeat) {
    lastSeen.put(heartbeat.failureDomain(), context.now());
    Peer peer = peers.get(sender.name());
    if (peer == null) {
      return Optional.empty();
    }
    if (!peer.isReachable(context.now(), context.settings())) {
      context.recordTimelineEvent(TimelineKind.PEER_REACHED, sender, "heartbeat received");
    }
    return peer.recordHeartbeat(sender, heartbeat, context.now());
  }

  void tick() {
    if (context.now().isBefore(nextHeartbeat)) {
      return;
    }
    nextHeartbeat = context.now().plus(context.settings().heartbeatInterval());
    for (Peer peer : peers.values()) {
      peer.markSilentIfTimedOut(context);
    }
  }

  boolean isHeartbeatDue() {
    return !context.now().isBefore(nextHeartbeat);
  }

  Collection<Peer> peers() {
    return peers.values();
  }

  /** Returns whether any peer reported waiting requests in its last heartbeat. */
  boolean anyPeerHasWaitingRequests() {
    return peers.values().stream().anyMatch(Peer::hasWaitingRequests);
  }

  /** Returns the peer that runs as exactly this incarnation, if it is reachable. */
  Optional<Peer> reachablePeer(EntryId id) {
    Peer peer = peers.get(id.name());
    return peer != null && peer.hasId(id) && peer.isReachable(context.now(), context.settings())
        ? Optional.of(peer)
        : Optional.empty();
  }

  /** Returns the peer with this name, if it is reachable. */
  Optional<Peer> reachablePeerNamed(String name) {
    return Optional.ofNullable(peers.get(name))
        .filter(peer -> peer.isReachable(context.now(), context.settings()));
  }

  /**
   * Returns the names of the live entry instances of a failure domain that are not draining, this
   * one included.
   */
  SortedSet<String> members(FailureDomain domain) {
    SortedSet<String> members = new TreeSet<>();
    if (domain.equals(context.failureDomain()) && !context.isDraining()) {
      members.add(context.self().name());
    }
    for (Peer peer : peers.values()) {
      if (peer.domain().equals(domain) && peer.isMember(context.now(), context.settings())) {
        members.add(peer.name());
      }
    }
    return members;
  }

  /** Returns the rank of this instance, from 0, among the members of its domain for a key. */
  int rank(String key) {
    return RendezvousHashing.rank(key, members(context.failureDomain()), context.self().name());
  }

  /**
   * Returns whether a failure domain has shown no sign of life for longer than the adoption delay.
   *
   * <p>False for this instance's own domain, and while no live list was read within that delay.
   */
  boolean isGone(FailureDomain domain) {
    if (domain.equals(context.failureDomain()) || liveListReadAt.isEmpty()) {
      return false;
    }
    Duration delay = context.settings().adoptionDelay();
    Instant lastSeenAt = lastSeen.computeIfAbsent(domain, key -> context.now());
    boolean listFresh = !liveListReadAt.get().isBefore(context.now().minus(delay));
    return listFresh && lastSeenAt.isBefore(context.now().minus(delay));
  }

  /** Returns the workers of this failure domain on the live list. */
  List<LiveInstance> workers() {
    return liveList.map(LiveList::instances).orElse(List.of()).stream()
        .filter(instance -> instance.kind() == LiveInstance.Kind.WORKER)
        .filter(instance -> instance.failureDomain().equals(context.failureDomain()))
        .toList();
  }

  /**
   * Returns whether the capacity of any worker on the live list holds the resources; true while no
   * live list is known.
   */
  boolean fitsAnyWorker(Resources resources) {
    if (liveList.isEmpty()) {
      return true;
    }
    return liveList.get().instances().stream()
        .filter(instance -> instance.kind() == LiveInstance.Kind.WORKER)
        .anyMatch(instance -> resources.fitsIn(instance.capacity()));
  }

  /** Another entry instance that has been on the live list. */
  static final class Peer {

    private final Instant firstListedAt;
    private LiveInstance instance;
    private Optional<EntryId> id = Optional.empty();
    private Instant lastHeartbeatAt = Instant.EPOCH;
    private Optional<PeerMessage.Heartbeat> heartbeat = Optional.empty();
    private int freeShortSlots;
    private int freeLongSlots;
    private boolean silent = true;

    private Peer(LiveInstance instance, Instant firstListedAt) {
      this.instance = instance;
      this.firstListedAt = firstListedAt;
    }

    private void setInstance(LiveInstance newInstance) {
      instance = newInstance;
    }

    private Optional<EntryId> recordHeartbeat(
        EntryId sender, PeerMessage.Heartbeat newHeartbeat, Instant now) {
      Optional<EntryId> replaced = id.filter(known -> !known.equals(sender));
      id = Optional.of(sender);
      lastHeartbeatAt = now;
      silent = false;
      heartbeat = Optional.of(newHeartbeat);
      freeShortSlots = newHeartbeat.freeShortSlots();
      freeLongSlots = newHeartbeat.freeLongSlots();
      return replaced;
    }

    private void markSilentIfTimedOut(EngineContext context) {
      if (!silent && !isReachable(context.now(), context.settings())) {
        silent = true;
        context.recordTimelineEvent(
            TimelineKind.PEER_SILENT, name(), "no heartbeat within the peer timeout");
      }
    }

    String name() {
      return instance.name();
    }

    FailureDomain domain() {
      return instance.failureDomain();
    }

    String address() {
      return instance.peerAddress().orElseThrow();
    }

    Optional<EntryId> id() {
      return id;
    }

    boolean hasId(EntryId other) {
      return id.equals(Optional.of(other));
    }

    boolean isReachable(Instant now, EngineSettings settings) {
      return !lastHeartbeatAt.isBefore(now.minus(settings.peerTimeout()));
    }

    boolean hasWaitingRequests() {
      return heartbeat.map(known -> known.waiting() > 0).orElse(false);
    }

    boolean isDraining() {
      return heartbeat.map(PeerMessage.Heartbeat::draining).orElse(false);
    }

    private boolean isMember(Instant now, EngineSettings settings) {
      boolean awaitingFirstContact =
          id.isEmpty() && now.isBefore(firstListedAt.plus(FIRST_CONTACT_TIMEOUT));
      boolean listedLive = instance.state() == LiveInstance.State.LIVE;
      return !isDraining() && (isReachable(now, settings) || (awaitingFirstContact && listedLive));
    }

    long configurationVersion() {
      return heartbeat.map(PeerMessage.Heartbeat::configurationVersion).orElse(-1L);
    }

    int freeSlots(Lane lane) {
      return lane == Lane.SHORT ? freeShortSlots : freeLongSlots;
    }

    void decrementFreeSlots() {
      freeShortSlots--;
      freeLongSlots--;
    }

    void incrementFreeSlots() {
      freeShortSlots++;
      freeLongSlots++;
    }

    void setFreeSlots(int newFreeShortSlots, int newFreeLongSlots) {
      freeShortSlots = newFreeShortSlots;
      freeLongSlots = newFreeLongSlots;
    }
  }
}
