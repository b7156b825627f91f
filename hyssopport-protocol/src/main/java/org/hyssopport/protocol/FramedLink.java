package org.hyssopport.protocol;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Exchanges frames with other instances over TCP.
 *
 * <p>Each peer has one outgoing connection with a bounded send queue. A frame is dropped if the
 * queue is full or the connection fails, so receivers must tolerate lost frames. Every connection,
 * outgoing or incoming, has its own thread.
 *
 * <p>A connection can go silent without an error while new ones to the same peer work. The sender
 * therefore adds probes, which are empty frames, to what it sends, and the receiver answers each
 * probe with one byte on the same connection. A connection whose probe is not answered in time, or
 * on which a write does not end in time, is replaced by the next frame that is sent.
 *
 * @since 0.2
 */
public final class FramedLink implements AutoCloseable {

  private static final int SEND_QUEUE_CAPACITY = 4096;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final int RECONNECT_DELAY_MILLIS = 200;
  private static final int BUFFER_BYTES = 8192;

  /** After which a connection over which no frame arrives is closed; a peer may open another. */
  private static final Duration INCOMING_IDLE_TIMEOUT = Duration.ofSeconds(30);

  /** An empty payload, which no message has. */
  private static final byte[] PROBE = {};

  private static final byte PROBE_ANSWER = 1;

  /** After which a connection without an answer counts as silent: five heartbeats of a member. */
  private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The least time between two probes, so that their cost doesn't grow with the load. */
  private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final ServerSocket serverSocket;
  private final Consumer<byte[]> receiver;
  private final Consumer<String> faultListener;
  private final int incomingIdleTimeoutMillis;
  private final ExecutorService executor =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "peer-link");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, OutgoingConnection> outgoingConnections = new ConcurrentHashMap<>();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private volatile boolean closed;

  private FramedLink(
      ServerSocket serverSocket,
      Consumer<byte[]> receiver,
      Consumer<String> faultListener,
      Duration incomingIdleTimeout) {
    this.serverSocket = serverSocket;
    this.receiver = receiver;
    this.faultListener = faultListener;
    this.incomingIdleTimeoutMillis = (int) incomingIdleTimeout.toMillis();
  }

  /**
   * Opens the link.
   *
   * @param address the address to listen on
   * @param receiver receives the payload of every frame, on the thread of the connection and thus
   *     concurrently for different connections
   * @param faultListener receives a text about every invalid frame and every failure to accept or
   *     close a connection
   * @throws IOException if the address can't be bound
   */
  public static FramedLink open(
      InetSocketAddress address, Consumer<byte[]> receiver, Consumer<String> faultListener)
      throws IOException {
    return open(address, receiver, faultListener, INCOMING_IDLE_TIMEOUT);
  }

  /** Opens a link that closes a connection over which no frame arrives for the given time. */
  static FramedLink open(
      InetSocketAddress address,
      Consumer<byte[]> receiver,
      Consumer<String> faultListener,
      Duration incomingIdleTimeout)
      throws IOException {
    ServerSocket serverSocket = new ServerSocket();
    serverSocket.setReuseAddress(true);
    serverSocket.bind(address);
    FramedLink link = new FramedLink(serverSocket, receiver, faultListener, incomingIdleTimeout);
    link.executor.execute(link::acceptConnections);
    return link;
  }

  /** Returns the number of bytes sent so far, frame headers included. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the number of bytes received so far, frame headers included. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /**
   * Queues a payload for sending, or drops it if the send queue of the peer is full.
   *
   * @param address the host and port of the peer
   * @param payload the payload of the frame
   */
  public void send(String address, byte[] payload) {
    outgoingConnections.computeIfAbsent(address, this::startConnection).enqueue(payload);
  }

  /**
   * Closes the connection to a peer that has stopped answering and drops the frames queued for it.
   * The next send to the peer opens a new connection.
   */
  public void disconnect(String address) {
    OutgoingConnection connection = outgoingConnections.remove(address);
    if (connection != null) {
      connection.terminate();
    }
  }

  private OutgoingConnection startConnection(String address) {
    OutgoingConnection connection = new OutgoingConnection(address);
    executor.execute(connection::run);
    return connection;
  }

  private void acceptConnections() {
    while (!closed) {
      try {
        Socket socket = serverSocket.accept();
        executor.execute(() -> receiveFrames(socket));
      } catch (IOException e) {
        if (!closed) {
          faultListener.accept("incoming connection could not be accepted: " + e.getMessage());
        }
      }
    }
  }

  private void receiveFrames(Socket socket) {
    try (socket;
        DataInputStream in =
            new DataInputStream(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES))) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(incomingIdleTimeoutMillis);
      while (!closed) {
        byte[] payload = Frame.read(in);
        receivedBytes.add(payload.length + Frame.OVERHEAD_BYTES);
        if (payload.length == 0) {
          socket.getOutputStream().write(PROBE_ANSWER);
        } else {
          receiver.accept(payload);
        }
      }
    } catch (Frame.FrameException e) {
      faultListener.accept(
          "closed the connection after an invalid frame from "
              + socket.getRemoteSocketAddress()
              + ": "
              + e.getMessage());
    } catch (IOException e) {
      // The connection is closed or idle; the peer opens another one when it has something to send.
    } catch (RuntimeException e) {
      faultListener.accept(
          "closed the connection after a frame from "
              + socket.getRemoteSocketAddress()
              + " could not be handled: "
              + e);
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    serverSocket.close();
    executor.shutdownNow();
  }

  /** The outgoing connection to one peer. */
  private final class OutgoingConnection {

    private final String address;
    private final String host;
    private final int port;
    private final BlockingQueue<byte[]> sendQueue = new ArrayBlockingQueue<>(SEND_QUEUE_CAPACITY);
    private volatile boolean terminated;
    private volatile Socket currentSocket;

    /**
     * When the write in progress has to end, by {@link System#nanoTime()}; empty between writes.
     */
    private volatile OptionalLong writeDueAtNanos = OptionalLong.empty();

    /** When the answer to the last probe is due; empty if it has arrived. */
    private OptionalLong answerDueAtNanos = OptionalLong.empty();

    private long nextProbeAtNanos;

    /** A frame that was taken from the queue for a connection that turned out to be unusable. */
    private Optional<byte[]> unsent = Optional.empty();

    private OutgoingConnection(String address) {
      this.address = address;
      int colon = address.lastIndexOf(':');
      host = address.substring(0, colon);
      port = Integer.parseInt(address.substring(colon + 1));
    }

    private void enqueue(byte[] payload) {
      sendQueue.offer(payload);
      if (isPast(writeDueAtNanos)) {
        writeDueAtNanos = OptionalLong.empty();
        faultListener.accept("connection to " + address + " takes no more bytes; closed");
        closeSocket();
      }
    }

    private static boolean isPast(OptionalLong deadlineNanos) {
      return deadlineNanos.isPresent() && System.nanoTime() - deadlineNanos.getAsLong() >= 0;
    }

    /** Ends the connection. An empty payload wakes the sending thread if it waits for the queue. */
    private void terminate() {
      terminated = true;
      sendQueue.clear();
      sendQueue.offer(PROBE);
      closeSocket();
    }

    private void closeSocket() {
      Socket socket = currentSocket;
      if (socket != null) {
        try {
          socket.close();
        } catch (IOException e) {
          faultListener.accept(
              "connection to " + address + " could not be closed: " + e.getMessage());
        }
      }
    }

    private void run() {
      while (!closed && !terminated) {
        try (SocketChannel channel = SocketChannel.open()) {
          Socket socket = channel.socket();
          currentSocket = socket;
          writeDueAtNanos = OptionalLong.empty();
          answerDueAtNanos = OptionalLong.empty();
          nextProbeAtNanos = System.nanoTime();
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress(host, port), CONNECT_TIMEOUT_MILLIS);
          sendFrames(channel);
        } catch (IOException e) {
          sendQueue.clear();
          unsent = Optional.empty();
          waitBeforeReconnect();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
    }

    /**
     * Sends frames until the peer closes the connection, which it does when its process ends, or
     * until the connection has gone silent.
     */
    private void sendFrames(SocketChannel channel) throws IOException, InterruptedException {
      DataOutputStream out =
          new DataOutputStream(
              new BufferedOutputStream(channel.socket().getOutputStream(), BUFFER_BYTES));
      while (!closed && !terminated) {
        boolean secondAttempt = unsent.isPresent();
        byte[] payload = secondAttempt ? unsent.get() : sendQueue.take();
        unsent = Optional.empty();
        if (isClosedByPeer(channel)) {
          if (secondAttempt) {
            throw new IOException("the peer closed a new connection before the first frame");
          }
          unsent = Optional.of(payload);
          return;
        }
        if (isPast(answerDueAtNanos)) {
          faultListener.accept("connection to " + address + " is silent; replaced by another one");
          unsent = Optional.of(payload);
          return;
        }
        writeDueAtNanos = OptionalLong.of(System.nanoTime() + ANSWER_TIMEOUT_NANOS);
        while (payload != null && !terminated) {
          write(out, payload);
          payload = sendQueue.poll();
        }
        probeIfDue(out);
        out.flush();
        writeDueAtNanos = OptionalLong.empty();
      }
    }

    private void write(DataOutputStream out, byte[] payload) throws IOException {
      Frame.write(out, payload);
      sentBytes.add(payload.length + Frame.OVERHEAD_BYTES);
    }

    private void probeIfDue(DataOutputStream out) throws IOException {
      long now = System.nanoTime();
      if (answerDueAtNanos.isEmpty() && now - nextProbeAtNanos >= 0) {
        write(out, PROBE);
        answerDueAtNanos = OptionalLong.of(now + ANSWER_TIMEOUT_NANOS);
        nextProbeAtNanos = now + PROBE_INTERVAL_NANOS;
      }
    }

    /**
     * Reads the answers to probes, which are all that peers send over the connection, and returns
     * whether the peer has closed or reset it.
     */
    private boolean isClosedByPeer(SocketChannel channel) {
      try {
        channel.configureBlocking(false);
        int length = channel.read(ByteBuffer.allocate(1));
        channel.configureBlocking(true);
        if (length > 0) {
          answerDueAtNanos = OptionalLong.empty();
        }
        return length < 0;
      } catch (IOException e) {
        // The connection is unusable, and the frame is sent over another one.
        return true;
      }
    }

    private void waitBeforeReconnect() {
      try {
        TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
