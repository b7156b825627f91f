package org.hyssopport.protocol;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.hyssopport.engine.PeerMessage;
import org.hyssopport.engine.PeerMessage.Envelope;

/**
 * Exchanges messages with the other entry instances over a {@link FramedLink}.
 *
 * @since 0.1
 * @see FramedLink
 */
public final class PeerLink implements AutoCloseable {

  private final Consumer<Envelope> receiver;
  private final Consumer<String> faultListener;
  private final FramedLink link;
  private final Map<String, String> domainBySender = new ConcurrentHashMap<>();
  private volatile Set<String> droppedDomains = Set.of();

  private PeerLink(
      InetSocketAddress address, Consumer<Envelope> receiver, Consumer<String> faultListener)
      throws IOException {
    this.receiver = receiver;
    this.faultListener = faultListener;
    this.link = FramedLink.open(address, this::receive, faultListener);
  }

  /**
   * Opens the link.
   *
   * @param address the address to listen on
   * @param receiver receives every message, concurrently for different peers
   * @param faultListener receives a text about every message that can't be decoded and every fault
   *     that the framed link reports
   * @throws IOException if the address can't be bound
   */
  public static PeerLink open(
      InetSocketAddress address, Consumer<Envelope> receiver, Consumer<String> faultListener)
      throws IOException {
    return new PeerLink(address, receiver, faultListener);
  }

  /**
   * Drops all messages from peers in the given failure domains, until called again. The failure
   * domain of a peer is known from its heartbeats. Failure tests use this to simulate a network
   * partition.
   */
  public void dropMessagesFrom(Set<String> failureDomains) {
    droppedDomains = Set.copyOf(failureDomains);
  }

  /** Returns the number of bytes sent so far, frame headers included. */
  public long sentBytes() {
    return link.sentBytes();
  }

  /** Returns the number of bytes received so far, frame headers included. */
  public long receivedBytes() {
    return link.receivedBytes();
  }

  /** Queues a message for sending, or drops it if the send queue of the peer is full. */
  public void send(String address, Envelope envelope) {
    link.send(address, PeerCodec.encode(envelope));
  }

  private void receive(byte[] payload) {
    Either<String, Envelope> decoded = PeerCodec.decode(payload);
    if (decoded.isLeft()) {
      faultListener.accept(decoded.getLeft());
    } else if (!recordDomainAndCheckDropped(decoded.get())) {
      receiver.accept(decoded.get());
    }
  }

  /**
   * Records the sender's failure domain if the message is a heartbeat, and returns whether messages
   * from its failure domain are dropped.
   */
  private boolean recordDomainAndCheckDropped(Envelope envelope) {
    if (envelope.message() instanceof PeerMessage.Heartbeat heartbeat) {
      domainBySender.put(envelope.sender().name(), heartbeat.failureDomain().name());
    }
    String domain = domainBySender.getOrDefault(envelope.sender().name(), "");
    return droppedDomains.contains(domain);
  }

  @Override
  public void close() throws IOException {
    link.close();
  }
}
