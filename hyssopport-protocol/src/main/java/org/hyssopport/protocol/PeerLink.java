package org.hyssopport.protocol;

import io.vavr.control.Either;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.hyssopport.engine.PeerMessage;
import org.hyssopport.engine.PeerMessage.Envelope;

/**
 * Sends messages to peers and receives theirs over framed TCP.
 *
 * <p>Each peer has one outgoing connection with a bounded ring; a full ring drops the message,
 * which the receiving logic allows for.
 *
 * @since 0.1
 */
public final class PeerLink implements AutoCloseable {

  private static final int RING_SIZE = 4096;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final int RECONNECT_PAUSE_MILLIS = 200;
  private static final int BUFFER_BYTES = 8192;

  private final ServerSocket server;
  private final Consumer<Envelope> receiver;
  private final Consumer<String> faults;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "peer-link");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, Outgoing> outgoing = new ConcurrentHashMap<>();
  private final Map<String, String> domains = new ConcurrentHashMap<>();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private volatile Set<String> cutDomains = Set.of();
  private volatile boolean closed;

  private PeerLink(ServerSocket server, Consumer<Envelope> receiver, Consumer<String> faults) {
    this.server = server;
    this.receiver = receiver;
    this.faults = faults;
  }

  /**
   * Opens the link.
   *
   * @param address where to listen
   * @param receiver takes every message
   * @param faults takes a line about every message that can't be read
   * @throws IOException if the port can't be taken
   */
  public static PeerLink open(
      InetSocketAddress address, Consumer<Envelope> receiver, Consumer<String> faults)
      throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(address);
    PeerLink link = new PeerLink(server, receiver, faults);
    link.threads.execute(link::acceptAll);
    return link;
  }

  /** Drops all messages from peers of the given failure domains; a switch for failure tests. */
  public void cut(Set<String> failureDomains) {
    cutDomains = Set.copyOf(failureDomains);
  }

  /** Returns the bytes sent so far. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the bytes received so far. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /** Sends a message, or drops it if the peer's ring is full. */
  public void send(String address, Envelope envelope) {
    outgoing.computeIfAbsent(address, this::startOutgoing).offer(PeerCodec.encode(envelope));
  }

  private Outgoing startOutgoing(String address) {
    Outgoing started = new Outgoing(address);
    threads.execute(started::run);
    return started;
  }

  private void acceptAll() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        threads.execute(() -> receiveAll(socket));
      } catch (IOException e) {
        if (!closed) {
          faults.accept("a connection could not be accepted: " + e.getMessage());
        }
      }
    }
  }

  private void receiveAll(Socket socket) {
    try (socket;
        DataInputStream in =
            new DataInputStream(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES))) {
      socket.setTcpNoDelay(true);
      while (!closed) {
        receive(Frame.read(in));
      }
    } catch (Frame.FrameException e) {
      faults.accept("frame from " + socket.getRemoteSocketAddress() + ": " + e.getMessage());
    } catch (IOException e) {
      // The peer closed the connection; it opens another one when it has something to send.
    }
  }

  private void receive(byte[] payload) {
    receivedBytes.add(payload.length + Frame.OVERHEAD_BYTES);
    Either<String, Envelope> decoded = PeerCodec.decode(payload);
    if (decoded.isLeft()) {
      faults.accept(decoded.getLeft());
    } else if (!isCut(decoded.get())) {
      receiver.accept(decoded.get());
    }
  }

  /** Tells whether the sender's failure domain, known from its heartbeats, is cut off. */
  private boolean isCut(Envelope envelope) {
    if (envelope.message() instanceof PeerMessage.Heartbeat heartbeat) {
      domains.put(envelope.sender().name(), heartbeat.failureDomain().name());
    }
    String domain = domains.getOrDefault(envelope.sender().name(), "");
    return cutDomains.contains(domain);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
    threads.shutdownNow();
  }

  /** The outgoing connection to one peer. */
  private final class Outgoing {

    private final String host;
    private final int port;
    private final BlockingQueue<byte[]> ring = new ArrayBlockingQueue<>(RING_SIZE);

    private Outgoing(String address) {
      int colon = address.lastIndexOf(':');
      host = address.substring(0, colon);
      port = Integer.parseInt(address.substring(colon + 1));
    }

    private void offer(byte[] payload) {
      ring.offer(payload);
    }

    private void run() {
      while (!closed) {
        try (Socket socket = new Socket()) {
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress(host, port), CONNECT_TIMEOUT_MILLIS);
          sendAll(socket);
        } catch (IOException e) {
          ring.clear();
          pause();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
    }

    private void sendAll(Socket socket) throws IOException, InterruptedException {
      DataOutputStream out =
          new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES));
      while (!closed) {
        byte[] payload = ring.take();
        while (payload != null) {
          Frame.write(out, payload);
          sentBytes.add(payload.length + Frame.OVERHEAD_BYTES);
          payload = ring.poll();
        }
        out.flush();
      }
    }

    private void pause() {
      try {
        TimeUnit.MILLISECONDS.sleep(RECONNECT_PAUSE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
