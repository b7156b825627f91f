package org.hyssopport.testkit.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.hyssopport.engine.Effect;
import org.hyssopport.engine.EngineSettings;
import org.hyssopport.engine.EntryEngine;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.PeerMessage;
import org.hyssopport.engine.ServiceRequest;
import org.hyssopport.engine.platform.AttemptPhase;
import org.hyssopport.engine.platform.AttemptResult;
import org.hyssopport.engine.platform.AttemptView;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.LiveInstance;
import org.hyssopport.engine.platform.LiveList;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerReply;
import org.hyssopport.policy.Configuration;
import org.hyssopport.policy.Json;
import org.hyssopport.policy.Resources;
import org.hyssopport.policy.Team;
import org.hyssopport.policy.WorkClass;
import org.hyssopport.protocol.PeerLinkSizes;
import org.hyssopport.testkit.standin.WorkerModel;

/**
 * Drives a single entry engine against workers that answer at once, and measures decision time,
 * processor time, heap and messages.
 */
final class EngineBench {

  private static final FailureDomain DOMAIN = new FailureDomain("ourthe");
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final int HTTP_OVERHEAD_BYTES = 350;

  private final EntryEngine engine;
  private final List<WorkerModel> workers = new ArrayList<>();
  private final List<LiveInstance> instances = new ArrayList<>();
  private final int peerCount;
  private final Deque<Event> replies = new ArrayDeque<>();
  private Instant now = START;
  private long workerCalls;
  private long sentBytes;
  private long lastHandle;

  private EngineBench(int workerCount, int peerCount) {
    this.peerCount = peerCount;
    engine =
        EntryEngine.create(
            new EntryId("ourthe-e0", "bench"), DOMAIN, List.of(DOMAIN), EngineSettings.standard());
    for (int number = 0; number < workerCount; number++) {
      workers.add(WorkerModel.create("w" + number));
      instances.add(newInstance("w" + number, LiveInstance.Kind.WORKER));
    }
    for (int number = 1; number <= peerCount; number++) {
      instances.add(newInstance("ourthe-e" + number, LiveInstance.Kind.ENTRY));
    }
  }

  /**
   * Returns an engine that holds the leases of all workers.
   *
   * @param peerCount the number of draining peers that send heartbeats to it
   */
  static EngineBench createReady(int workerCount, int peerCount) {
    EngineBench bench = new EngineBench(workerCount, peerCount);
    bench.handle(new Event.LiveListRead(new LiveList(START, bench.instances)));
    PeerMessage offer = new PeerMessage.ConfigurationOffered(1, configuration().toJson());
    bench.handle(
        new Event.PeerMessageReceived(
            new PeerMessage.Envelope(new EntryId("ourthe-e1", "x"), Optional.empty(), offer)));
    bench.advanceIdle(Duration.ofSeconds(6));
    return bench;
  }

  private static LiveInstance newInstance(String name, LiveInstance.Kind kind) {
    boolean isWorker = kind == LiveInstance.Kind.WORKER;
    return new LiveInstance(
        name,
        kind,
        DOMAIN,
        "rack",
        name,
        isWorker ? Optional.empty() : Optional.of(name),
        LiveInstance.State.LIVE,
        isWorker ? Resources.of(64, 256 * 1024, 2) : Resources.NONE,
        isWorker ? 8 : 0,
        64);
  }

  private static Configuration configuration() {
    return Configuration.named("bench")
        .with(Team.named("team", Resources.of(1_000_000, 1_000_000_000L, 1_000_000)))
        .with(WorkClass.service("check", "team").running(Duration.ofMillis(20)));
  }

  private void handle(Event event) {
    for (Effect effect : engine.handle(event, now)) {
      if (effect instanceof Effect.CallWorker call) {
        workerCalls++;
        answerWorkerCall(call);
      } else if (effect instanceof Effect.SendToPeer send) {
        sentBytes += PeerLinkSizes.sizeOf(send.envelope());
      }
    }
  }

  private void answerWorkerCall(Effect.CallWorker call) {
    WorkerModel worker = workers.get(Integer.parseInt(call.worker().name().substring(1)));
    WorkerReply reply =
        call.call() instanceof WorkerCall.StartTask start
            ? doneReply(start)
            : worker.handle(call.call(), now);
    sentBytes += jsonSize(call.call()) + HTTP_OVERHEAD_BYTES;
    replies.add(new Event.WorkerReplied(call.worker(), call.call(), reply));
  }

  private WorkerReply doneReply(WorkerCall.StartTask start) {
    AttemptView view =
        new AttemptView(
            start.attempt(),
            AttemptPhase.ENDED,
            start.resources(),
            start.kept(),
            Optional.of(AttemptResult.DONE),
            Optional.of("done"),
            Optional.of(now));
    return new WorkerReply.AttemptState(now, "boot", view);
  }

  private static int jsonSize(Object value) {
    try {
      return Json.mapper().writeValueAsBytes(value).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("worker call can't be encoded as JSON: " + value, e);
    }
  }

  private void handleReplies() {
    while (!replies.isEmpty()) {
      handle(replies.remove());
    }
  }

  /** Advances the clock while the engine handles only control traffic. */
  void advanceIdle(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      now = now.plusMillis(20);
      receivePeerHeartbeats();
      handle(new Event.Ticked());
      handleReplies();
    }
  }

  /**
   * Delivers a heartbeat from every peer every 260 ms. The peers report that they are draining, so
   * that this engine keeps the leases of all workers.
   */
  private void receivePeerHeartbeats() {
    if (now.toEpochMilli() % 260 >= 20) {
      return;
    }
    for (int number = 1; number <= peerCount; number++) {
      PeerMessage heartbeat = new PeerMessage.Heartbeat(DOMAIN, now, true, 1, 0, 0, 0);
      handle(
          new Event.PeerMessageReceived(
              new PeerMessage.Envelope(
                  new EntryId("ourthe-e" + number, "x"), Optional.empty(), heartbeat)));
    }
  }

  /** Returns the bytes sent so far, including the estimated HTTP overhead of each worker call. */
  long sentBytes() {
    return sentBytes;
  }

  long workerCalls() {
    return workerCalls;
  }

  /** Returns the processor time that the current thread has used, in nanoseconds. */
  static long processorNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Returns the heap in use after garbage collection, in bytes. */
  static long liveHeapBytes() {
    for (int round = 0; round < 4; round++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /**
   * Places requests one after the other.
   *
   * @return the time of each placement decision in nanoseconds
   */
  Histogram placeRequests(int count) {
    Histogram nanosPerDecision = new Histogram(10_000_000_000L, 3);
    for (int number = 0; number < count; number++) {
      lastHandle++;
      Event event = new Event.RequestReceived(lastHandle, newRequest());
      long startNanos = System.nanoTime();
      List<Effect> effects = engine.handle(event, now);
      nanosPerDecision.recordValue(System.nanoTime() - startNanos);
      for (Effect effect : effects) {
        if (effect instanceof Effect.CallWorker call) {
          answerWorkerCall(call);
        }
      }
      if (number % 16 == 15) {
        handleReplies();
      }
      if (number % 2000 == 1999) {
        advanceIdle(Duration.ofMillis(200));
      }
    }
    handleReplies();
    return nanosPerDecision;
  }

  private ServiceRequest newRequest() {
    return new ServiceRequest(
        "check",
        Optional.of(now.plusSeconds(2)),
        true,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        "{\"runMillis\":1}");
  }
}
