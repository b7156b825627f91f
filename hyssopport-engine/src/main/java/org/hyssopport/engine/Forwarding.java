package org.hyssopport.engine;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.Membership.Peer;

/**
 * How a peer is chosen for a request that no worker held by this instance can take.
 *
 * @since 0.1
 */
public enum Forwarding {
  /** Chooses the peer with the most free slots, less the requests sent since it reported them. */
  HEADROOM {
    @Override
    Optional<Peer> choose(List<Peer> peers, Lane lane, long rotation) {
      return peers.stream()
          .filter(peer -> peer.freeSlots(lane) > 0)
          .max(Comparator.comparingInt(peer -> peer.freeSlots(lane)));
    }
  },
  /** Chooses each peer in turn, whatever free slots it reported. */
  IN_TURN {
    @Override
    Optional<Peer> choose(List<Peer> peers, Lane lane, long rotation) {
      return peers.isEmpty()
          ? Optional.empty()
          : Optional.of(peers.get((int) (rotation % peers.size())));
    }
  },
  /** Chooses no peer: requests wait for the workers held by this instance. */
  NONE {
    @Override
    Optional<Peer> choose(List<Peer> peers, Lane lane, long rotation) {
      return Optional.empty();
    }
  };

  abstract Optional<Peer> choose(List<Peer> peers, Lane lane, long rotation);
}
