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
 * Who is alive, from the platform's lagging list and from heartbeats.
 *
 * <p>All of it is a hint: no safety rests on it.
 */
final class Membership {

  private static final Duration FIRST_CONTACT_TIMEOUT = Duration.ofSeconds(3);

  private final EngineContext context;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<FailureDomain, Instant> lastSeen = new HashMap<>();
  private Optional<LiveList> list = Optional.empty();
  private Optional<Instant> listReadAt = Optional.empty();
  private Instant nextHeartbeat = Instant.EPOCH;

  Membership(EngineContext context) {
    this.context = context;
  }

  Optional<LiveList> list() {
    return list;
  }

  void read(LiveList newList) {
    if (list.map(known -> newList.instant().isBefore(known.instant())).orElse(false)) {
      return;
    }
    list = Optional.of(newList);
    listReadAt = Optional.of(context.now());
    for (LiveInstance instance : newList.instances()) {
      if (instance.kind() == LiveInstance.Kind.ENTRY) {
        noteEntry(instance);
      }
    }
  }

  private void noteEntry(LiveInstance instance) {
    lastSeen.put(instance.failureDomain(), context.now());
    boolean other = !instance.name().equals(context.self().name());
    if (other && instance.peerAddress().isPresent()) {
      peers
          .computeIfAbsent(instance.name(), name -> new Peer(instance, context.now()))
          .list(instance);
    }
  }

  /** Takes a heartbeat and returns the incarnation that it replaces, if any. */
  Optional<EntryId> hear(EntryId sender, PeerMessage.Heartbeat heartbeat) {
    lastSeen.put(heartbeat.failureDomain(), context.now());
    Peer peer = peers.get(sender.name());
    if (peer == null) {
      return Optional.empty();
    }
    if (!peer.isHeard(context.now(), context.settings())) {
      context.recordTimelineEvent(TimelineKind.PEER_REACHED, sender, "heartbeat");
    }
    return peer.hear(sender, heartbeat, context.now());
  }

  void tick() {
    if (context.now().isBefore(nextHeartbeat)) {
      return;
    }
    nextHeartbeat = context.now().plus(context.settings().heartbeatInterval());
    for (Peer peer : peers.values()) {
      peer.noteSilence(context);
    }
  }

  boolean isHeartbeatDue() {
    return !context.now().isBefore(nextHeartbeat);
  }

  Collection<Peer> peers() {
    return peers.values();
  }

  /** Tells whether any peer said that requests wait there. */
  boolean anyPeerWaits() {
    return peers.values().stream().anyMatch(Peer::hasWaiting);
  }

  /** Returns the peer that runs as exactly this incarnation and is heard. */
  Optional<Peer> peer(EntryId id) {
    Peer peer = peers.get(id.name());
    return peer != null && peer.is(id) && peer.isHeard(context.now(), context.settings())
        ? Optional.of(peer)
        : Optional.empty();
  }

  /** Returns the heard peer of a name. */
  Optional<Peer> peerNamed(String name) {
    return Optional.ofNullable(peers.get(name))
        .filter(peer -> peer.isHeard(context.now(), context.settings()));
  }

  /** Returns the names of the live entry instances of a domain, this one included. */
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

  /** Returns this instance's place among the members of its domain for a key. */
  int rank(String key) {
    return RendezvousHashing.rank(key, members(context.failureDomain()), context.self().name());
  }

  /** Tells whether a domain has had no sign of life for longer than the adoption delay. */
  boolean isGone(FailureDomain domain) {
    if (domain.equals(context.failureDomain()) || listReadAt.isEmpty()) {
      return false;
    }
    Duration delay = context.settings().adoptionDelay();
    Instant seen = lastSeen.computeIfAbsent(domain, key -> context.now());
    boolean listFresh = !listReadAt.get().isBefore(context.now().minus(delay));
    return listFresh && seen.isBefore(context.now().minus(delay));
  }

  /** Returns the listed workers of this failure domain. */
  List<LiveInstance> workers() {
    return list.map(LiveList::instances).orElse(List.of()).stream()
        .filter(instance -> instance.kind() == LiveInstance.Kind.WORKER)
        .filter(instance -> instance.failureDomain().equals(context.failureDomain()))
        .toList();
  }

  /** Tells whether any listed worker could ever hold the resources; true if no list is known. */
  boolean couldHold(Resources resources) {
    if (list.isEmpty()) {
      return true;
    }
    return list.get().instances().stream()
        .filter(instance -> instance.kind() == LiveInstance.Kind.WORKER)
        .anyMatch(instance -> resources.fitsIn(instance.capacity()));
  }

  /** Another entry instance. */
  static final class Peer {

    private final Instant firstListedAt;
    private LiveInstance instance;
    private Optional<EntryId> id = Optional.empty();
    private Instant heardAt = Instant.EPOCH;
    private Optional<PeerMessage.Heartbeat> heartbeat = Optional.empty();
    private int freeShortSlots;
    private int freeLongSlots;
    private boolean silent = true;

    private Peer(LiveInstance instance, Instant firstListedAt) {
      this.instance = instance;
      this.firstListedAt = firstListedAt;
    }

    private void list(LiveInstance newInstance) {
      instance = newInstance;
    }

    private Optional<EntryId> hear(
        EntryId sender, PeerMessage.Heartbeat newHeartbeat, Instant now) {
      Optional<EntryId> replaced = id.filter(known -> !known.equals(sender));
      id = Optional.of(sender);
      heardAt = now;
      silent = false;
      heartbeat = Optional.of(newHeartbeat);
      freeShortSlots = newHeartbeat.freeShortSlots();
      freeLongSlots = newHeartbeat.freeLongSlots();
      return replaced;
    }

    private void noteSilence(EngineContext context) {
      if (!silent && !isHeard(context.now(), context.settings())) {
        silent = true;
        context.recordTimelineEvent(TimelineKind.PEER_SILENT, name(), "no heartbeat");
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

    boolean is(EntryId other) {
      return id.equals(Optional.of(other));
    }

    boolean isHeard(Instant now, EngineSettings settings) {
      return !heardAt.isBefore(now.minus(settings.peerTimeout()));
    }

    boolean hasWaiting() {
      return heartbeat.map(known -> known.waiting() > 0).orElse(false);
    }

    boolean isDraining() {
      return heartbeat.map(PeerMessage.Heartbeat::draining).orElse(false);
    }

    private boolean isMember(Instant now, EngineSettings settings) {
      boolean awaited = id.isEmpty() && now.isBefore(firstListedAt.plus(FIRST_CONTACT_TIMEOUT));
      boolean listedLive = instance.state() == LiveInstance.State.LIVE;
      return !isDraining() && (isHeard(now, settings) || (awaited && listedLive));
    }

    long configurationVersion() {
      return heartbeat.map(PeerMessage.Heartbeat::configurationVersion).orElse(-1L);
    }

    int freeSlots(Lane lane) {
      return lane == Lane.SHORT ? freeShortSlots : freeLongSlots;
    }

    void takeSlot() {
      freeShortSlots--;
      freeLongSlots--;
    }

    void returnSlot() {
      freeShortSlots++;
      freeLongSlots++;
    }

    void update(int newFreeShortSlots, int newFreeLongSlots) {
      freeShortSlots = newFreeShortSlots;
      freeLongSlots = newFreeLongSlots;
    }
  }
}
