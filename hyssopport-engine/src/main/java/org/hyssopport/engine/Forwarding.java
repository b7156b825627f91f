package org.hyssopport.engine;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.Membership.Peer;

/**
 * How a peer is chosen for a request that no own worker can take.
 *
 * @since 0.1
 */
public enum Forwarding {
  /** The peer with the most free slots, less what was sent to it since it told them. */
  HEADROOM {
    @Override
    Optional<Peer> choose(List<Peer> peers, Lane lane, long rotation) {
      return peers.stream()
          .filter(peer -> peer.freeSlots(lane) > 0)
          .max(Comparator.comparingInt(peer -> peer.freeSlots(lane)));
    }
  },
  /** Each peer in turn, whatever it told. */
  IN_TURN {
    @Override
    Optional<Peer> choose(List<Peer> peers, Lane lane, long rotation) {
      return peers.isEmpty()
          ? Optional.empty()
          : Optional.of(peers.get((int) (rotation % peers.size())));
    }
  },
  /** No peer. */
  NONE {
    @Override
    Optional<Peer> choose(List<Peer> peers, Lane lane, long rotation) {
      return Optional.empty();
    }
  };

  abstract Optional<Peer> choose(List<Peer> peers, Lane lane, long rotation);
}
