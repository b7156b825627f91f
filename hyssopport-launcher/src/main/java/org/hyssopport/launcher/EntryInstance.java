package org.hyssopport.launcher;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.hyssopport.engine.Effect;
import org.hyssopport.engine.EntryEngine;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.platform.WorkerReply;
import org.hyssopport.launcher.ServeSettings.HostAndPort;
import org.hyssopport.protocol.JsonHttpClient;
import org.hyssopport.protocol.LiveListClient;
import org.hyssopport.protocol.LogClient;
import org.hyssopport.protocol.PeerLink;
import org.hyssopport.protocol.WorkerClient;

/**
 * A running entry instance.
 *
 * <p>The engine, the log writer, the timeline, the live-list poller and each log reader have their
 * own thread. They communicate through bounded queues. The effects of the engine are executed on
 * the engine's thread.
 *
 * @since 0.1
 * @see ServeSettings
 */
public final class EntryInstance {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** If this many timeline events wait to be recorded, further events are dropped. */
  private static final int TIMELINE_QUEUE_CAPACITY = 1 << 14;

  private static final long TIMELINE_WAIT_NANOS = Duration.ofMillis(500).toNanos();
  private static final Duration FINAL_ANSWERS_TIMEOUT = Duration.ofSeconds(2);
  private static final int INCARNATION_RADIX = 36;

  private final ServeSettings settings;
  private final InstantSource clock = InstantSource.system();
  private final InstanceMetrics metrics = new InstanceMetrics();
  private final Timeline timeline;
  private final BoundedQueue<PendingTimelineEvent> timelineQueue =
      new BoundedQueue<>(TIMELINE_QUEUE_CAPACITY);
  private final EngineLoop loop;
  private final JsonHttpClient platformClient;
  private final WorkerClient workerClient;
  private final LogClient logClient;
  private final LogStreamWriter logWriter;
  private final EntryLiveListPoller liveListPoller;
  private final List<LogStreamReader> logReaders = new ArrayList<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final CountDownLatch drained = new CountDownLatch(1);
  private final PeerLink peerLink;
  private final EntryHttpServer httpServer;

  private EntryInstance(ServeSettings settings) throws IOException {
    this.settings = settings;
    EntryId self = new EntryId(settings.name(), newIncarnation());
    timeline = new Timeline(settings.name(), settings.failureDomain());
    EntryEngine engine =
        EntryEngine.create(
            self, settings.toFailureDomain(), settings.toFailureDomains(), settings.engine());
    loop = new EngineLoop(engine, clock, this::execute);
    platformClient = JsonHttpClient.from(settings.toFailureDomain());
    workerClient = WorkerClient.of(platformClient, clock);
    logClient = LogClient.of(platformClient, settings.log(), clock);
    logWriter = new LogStreamWriter(logClient, loop, metrics, settings.appendsPerSecond());
    liveListPoller =
        new EntryLiveListPoller(LiveListClient.of(platformClient, settings.liveList()), loop);
    for (StreamName stream : engine.followedStreams()) {
      logReaders.add(new LogStreamReader(logClient, stream, loop, clock));
    }
    peerLink =
        PeerLink.open(
            address(settings.peerListen()),
            envelope -> loop.put(new Event.PeerMessageReceived(envelope)),
            fault -> LOGGER.atWarning().log("peer link fault: %s", fault));
    OperatorHttpHandler operatorHandler =
        new OperatorHttpHandler(
            metrics,
            timeline,
            loop::isReady,
            settings.faultSwitch() ? Optional.of(peerLink::dropMessagesFrom) : Optional.empty());
    httpServer =
        EntryHttpServer.bind(address(settings.listen()), loop, clock, metrics, operatorHandler);
  }

  /**
   * Binds the ports and starts all threads.
   *
   * @throws IOException if a port can't be bound
   * @throws IllegalArgumentException if the settings are invalid
   */
  public static EntryInstance start(ServeSettings settings) throws IOException {
    if (!settings.validate().isEmpty()) {
      throw new IllegalArgumentException("invalid settings: " + settings.validate());
    }
    EntryInstance instance = new EntryInstance(settings);
    instance.registerGaugesAndStart();
    return instance;
  }

  private static String newIncarnation() {
    long number = new SecureRandom().nextLong() & Long.MAX_VALUE;
    return Long.toString(number, INCARNATION_RADIX);
  }

  private static InetSocketAddress address(String text) {
    HostAndPort parsed = HostAndPort.parse(text).orElseThrow();
    return new InetSocketAddress(parsed.host(), parsed.port());
  }

  private void registerGaugesAndStart() {
    metrics.gauge(
        "hyssopport_ring_events", "Events waiting in the engine's queue.", loop::queuedEventCount);
    metrics.gauge(
        "hyssopport_open_answers", "Callers waiting for an answer.", httpServer::pendingCallCount);
    metrics.gauge("hyssopport_peer_sent_bytes", "Bytes sent to peers.", peerLink::sentBytes);
    metrics.gauge(
        "hyssopport_peer_received_bytes", "Bytes received from peers.", peerLink::receivedBytes);
    metrics.gauge(
        "hyssopport_http_sent_bytes",
        "Body bytes sent to the platform.",
        platformClient::sentBytes);
    metrics.gauge(
        "hyssopport_http_received_bytes",
        "Body bytes received from the platform.",
        platformClient::receivedBytes);
    threads.execute(withThreadName("engine", loop));
    threads.execute(withThreadName("timeline", this::recordTimelineEvents));
    threads.execute(withThreadName("log-writer", logWriter));
    threads.execute(withThreadName("live-list", liveListPoller));
    logReaders.forEach(reader -> threads.execute(withThreadName("log-reader", reader)));
    httpServer.start();
    LOGGER.atInfo().log(
        "%s in failure domain %s is listening on %s for callers and on %s for peers",
        settings.name(), settings.failureDomain(), settings.listen(), settings.peerListen());
  }

  private static Runnable withThreadName(String name, Runnable runnable) {
    return () -> {
      Thread.currentThread().setName(name);
      try {
        runnable.run();
      } catch (RuntimeException e) {
        LOGGER.atSevere().withCause(e).log(
            "thread %s failed with an unexpected error; stopping the process", name);
        Runtime.getRuntime().halt(1);
      }
    };
  }

  private void execute(Instant now, Effect effect) {
    if (effect instanceof Effect.Reply reply) {
      httpServer.answer(reply.handle(), reply.answer());
    } else if (effect instanceof Effect.CallWorker call) {
      callWorker(call);
    } else if (effect instanceof Effect.Append append) {
      logWriter.enqueue(append);
    } else if (effect instanceof Effect.SendToPeer send) {
      peerLink.send(send.address(), send.envelope());
    } else if (effect instanceof Effect.RecordTimelineEvent timelineEvent) {
      timelineQueue.offer(new PendingTimelineEvent(now, timelineEvent));
    } else if (effect instanceof Effect.Drained) {
      drained.countDown();
    }
  }

  private void callWorker(Effect.CallWorker effect) {
    CompletableFuture<WorkerReply> reply = workerClient.call(effect.address(), effect.call());
    CompletableFuture<Void> unused =
        reply.thenAccept(
            received ->
                loop.put(new Event.WorkerReplied(effect.worker(), effect.call(), received)));
  }

  private void recordTimelineEvents() {
    while (!Thread.currentThread().isInterrupted()) {
      timelineQueue
          .poll(TIMELINE_WAIT_NANOS)
          .ifPresent(
              pending -> {
                timeline.record(pending.at(), pending.event());
                metrics.countTimelineEvent(pending.event());
              });
    }
  }

  /**
   * Shuts down gracefully: accepts no new work, finishes what is in flight, hands its workers over
   * to peers, and stops all threads.
   *
   * @return whether everything was finished within the drain limit of the settings
   */
  public boolean drain() {
    LOGGER.atInfo().log("%s is draining", settings.name());
    loop.put(new Event.DrainRequested());
    boolean finished = false;
    try {
      finished = drained.await(settings.drainLimit().toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    httpServer.stop(FINAL_ANSWERS_TIMEOUT);
    stop();
    LOGGER.atInfo().log(
        "%s stopped; finished within the drain limit: %s", settings.name(), finished);
    return finished;
  }

  private void stop() {
    loop.stop();
    logWriter.stop();
    liveListPoller.stop();
    logReaders.forEach(LogStreamReader::stop);
    threads.shutdownNow();
    try {
      peerLink.close();
    } catch (IOException e) {
      LOGGER.atFine().log("closing the peer link failed: %s; continuing to stop", e.getMessage());
    }
  }

  /**
   * A timeline event that is not recorded yet.
   *
   * @param at when it happened
   * @param event the event
   */
  private record PendingTimelineEvent(Instant at, Effect.RecordTimelineEvent event) {}
}
