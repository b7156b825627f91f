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
 * Sends messages to peers and receives theirs over framed TCP.
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
   * @param address where to listen
   * @param receiver takes every message
   * @param faultListener takes a line about every message that can't be read
   * @throws IOException if the port can't be taken
   */
  public static PeerLink open(
      InetSocketAddress address, Consumer<Envelope> receiver, Consumer<String> faultListener)
      throws IOException {
    return new PeerLink(address, receiver, faultListener);
  }

  /** Drops all messages from peers of the given failure domains; a switch for failure tests. */
  public void dropMessagesFrom(Set<String> failureDomains) {
    droppedDomains = Set.copyOf(failureDomains);
  }

  /** Returns the bytes sent so far. */
  public long sentBytes() {
    return link.sentBytes();
  }

  /** Returns the bytes received so far. */
  public long receivedBytes() {
    return link.receivedBytes();
  }

  /** Sends a message, or drops it if the peer's ring is full. */
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

  /** Tells whether the sender's failure domain, known from its heartbeats, is cut off. */
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
