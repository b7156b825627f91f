package org.hyssopport.testkit.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.hyssopport.engine.Answer;
import org.hyssopport.engine.Effect;
import org.hyssopport.engine.EngineSettings;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.PeerMessage.Envelope;
import org.hyssopport.engine.TimelineKind;
import org.hyssopport.engine.platform.AppendResult;
import org.hyssopport.engine.platform.AttemptPhase;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.LiveInstance;
import org.hyssopport.engine.platform.LiveList;
import org.hyssopport.engine.platform.StoredRecord;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerReply;
import org.hyssopport.engine.work.RecordCodec;
import org.hyssopport.policy.Resources;
import org.hyssopport.testkit.oracle.History;
import org.hyssopport.testkit.standin.LogModel;
import org.hyssopport.testkit.standin.WorkerModel;

/**
 * A simulated cell: several entry engines connected to the models of the stand-ins, with injected
 * faults, on one fake clock.
 *
 * <p>Each engine's effects become calls to these models after a short delay. All random choices
 * come from one seed, so that the same steps give the same history.
 *
 * @since 0.1
 */
public final class FakeCell {

  private static final Duration LIST_INTERVAL = Duration.ofMillis(500);
  private static final Duration TIMEOUT = Duration.ofMillis(1500);
  private static final Duration REPORT_LAG = Duration.ofMillis(150);
  private static final int READ_LIMIT = 500;
  private static final int APPENDS_PER_SECOND = 400;

  private final CellShape shape;
  private final FakeClock clock = FakeClock.create();
  private final NetworkFaults faults = new NetworkFaults();
  private final Random random;
  private final LogModel log;
  private final Map<String, FakeEntry> entries = new LinkedHashMap<>();
  private final Map<String, WorkerModel> workers = new LinkedHashMap<>();
  private final Map<String, LiveInstance> liveInstances = new LinkedHashMap<>();
  private final Map<String, Map<Long, Consumer<Answer>>> waitingCallers = new HashMap<>();
  private final History history = History.empty();
  private final Map<TimelineKind, Integer> timelineEventCounts = new HashMap<>();
  private Optional<WorkerReply.AttemptState> lastAttemptState = Optional.empty();
  private long lastHandle;
  private int callersCutByDrains;

  private FakeCell(CellShape shape, long seed) {
    this.shape = shape;
    this.random = new Random(seed);
    this.log = LogModel.create(shape.settings().retention(), APPENDS_PER_SECOND);
    for (String domain : shape.domains()) {
      addDomain(domain);
    }
    clock.after(LIST_INTERVAL, this::publishLiveList);
    publishLiveList();
  }

  /** Returns a running cell of the given shape. */
  public static FakeCell create(CellShape shape, long seed) {
    return new FakeCell(shape, seed);
  }

  private void addDomain(String domain) {
    for (int number = 1; number <= shape.entriesPerDomain(); number++) {
      FakeEntry entry = new FakeEntry(domain + "-e" + number, domain);
      entries.put(entry.name(), entry);
      liveInstances.put(
          entry.name(), newLiveInstance(entry.name(), domain, LiveInstance.Kind.ENTRY));
      startEntry(entry.name());
      Duration offset = Duration.ofMillis(random.nextInt((int) shape.tick().toMillis()));
      clock.after(offset, () -> tick(entry));
    }
    for (int number = 1; number <= shape.workersPerDomain(); number++) {
      String name = domain + "-w" + number;
      workers.put(name, WorkerModel.create(name));
      liveInstances.put(name, newLiveInstance(name, domain, LiveInstance.Kind.WORKER));
    }
  }

  private LiveInstance newLiveInstance(String name, String domain, LiveInstance.Kind kind) {
    boolean worker = kind == LiveInstance.Kind.WORKER;
    return new LiveInstance(
        name,
        kind,
        new FailureDomain(domain),
        domain + "-rack",
        name,
        worker ? Optional.empty() : Optional.of(name),
        LiveInstance.State.LIVE,
        worker ? shape.workerCapacity() : Resources.NONE,
        worker ? shape.slots() : 0,
        64);
  }

  /** Returns the current instant of the fake clock. */
  public Instant now() {
    return clock.now();
  }

  /** Returns the injected faults, which may be changed at any time. */
  public NetworkFaults faults() {
    return faults;
  }

  /** Returns the shape of the cell. */
  public CellShape shape() {
    return shape;
  }

  /** Returns the history, to which observations are added. */
  public History history() {
    return history;
  }

  /** Returns the names of all entry instances. */
  public List<String> entryNames() {
    return List.copyOf(entries.keySet());
  }

  /** Returns the names of all workers. */
  public List<String> workerNames() {
    return List.copyOf(workers.keySet());
  }

  /** Returns the model of a worker. */
  public WorkerModel worker(String name) {
    return workers.get(name);
  }

  /** Returns the number of timeline events of a kind on all entry instances. */
  public int timelineEventCount(TimelineKind kind) {
    return timelineEventCounts.getOrDefault(kind, 0);
  }

  /** Returns whether an entry instance is alive; a frozen one is. */
  public boolean isAlive(String entry) {
    return entries.get(entry).isAlive();
  }

  /** Returns the number of callers that were still waiting when an instance finished draining. */
  public int callersCutByDrains() {
    return callersCutByDrains;
  }

  /** Returns whether an entry instance was requested to drain and has not finished. */
  public boolean isDraining(String entry) {
    return entries.get(entry).isAlive() && entries.get(entry).isDraining();
  }

  /** Advances the clock by a span and runs every action that becomes due. */
  public void advance(Duration span) {
    clock.advance(span);
  }

  /** Schedules an action for an instant. */
  public void at(Instant moment, Runnable action) {
    clock.at(moment, action);
  }

  /** Starts an entry instance with a new incarnation; does nothing if it is alive. */
  public void startEntry(String name) {
    FakeEntry entry = entries.get(name);
    if (entry.isAlive()) {
      return;
    }
    List<FailureDomain> domains = shape.domains().stream().map(FailureDomain::new).toList();
    entry.start(domains, shape.settings());
    setListedState(name, LiveInstance.State.LIVE);
  }

  /** Kills an entry instance; its waiting callers are answered that the outcome is unknown. */
  public void killEntry(String name) {
    entries.get(name).kill();
    liveInstances.remove(name);
    Map<Long, Consumer<Answer>> waiting = waitingCallers.remove(name);
    if (waiting != null) {
      Answer unknownOutcome = new Answer.Refused(Answer.RefusalKind.UNKNOWN_OUTCOME, List.of());
      waiting.values().forEach(caller -> caller.accept(unknownOutcome));
    }
  }

  /** Freezes an entry instance: it handles no events and sends nothing until it is resumed. */
  public void freezeEntry(String name) {
    entries.get(name).freeze();
  }

  /** Resumes a frozen entry instance and handles the events that waited. */
  public void thawEntry(String name) {
    FakeEntry entry = entries.get(name);
    if (entry.isFrozen()) {
      entry.thaw();
      while (!entry.deferredEvents().isEmpty()) {
        handle(entry, entry.deferredEvents().remove());
      }
    }
  }

  /** Requests an entry instance to drain, and lists it as leaving. */
  public void drainEntry(String name) {
    FakeEntry entry = entries.get(name);
    if (entry.isAlive()) {
      entry.drain();
      deliver(entry, new Event.DrainRequested());
      setListedState(name, LiveInstance.State.LEAVING);
    }
  }

  /** Lists a worker as leaving in the live list. */
  public void listWorkerAsLeaving(String name) {
    setListedState(name, LiveInstance.State.LEAVING);
  }

  private void setListedState(String name, LiveInstance.State state) {
    boolean worker = workers.containsKey(name);
    LiveInstance.Kind kind = worker ? LiveInstance.Kind.WORKER : LiveInstance.Kind.ENTRY;
    String domain = name.substring(0, name.lastIndexOf('-'));
    LiveInstance instance = newLiveInstance(name, domain, kind);
    liveInstances.put(
        name,
        new LiveInstance(
            name,
            kind,
            instance.failureDomain(),
            instance.rack(),
            instance.address(),
            instance.peerAddress(),
            state,
            instance.capacity(),
            instance.slots(),
            instance.connections()));
  }

  /**
   * Sends a caller's event to an entry instance and passes its answer to the consumer. If the
   * instance is not alive, the answer is that the outcome is unknown.
   */
  public void call(String entry, CallFactory call, Consumer<Answer> answer) {
    FakeEntry target = entries.get(entry);
    if (!target.isAlive()) {
      answer.accept(new Answer.Refused(Answer.RefusalKind.UNKNOWN_OUTCOME, List.of()));
      return;
    }
    lastHandle++;
    waitingCallers.computeIfAbsent(entry, name -> new LinkedHashMap<>()).put(lastHandle, answer);
    deliver(target, call.create(lastHandle));
  }

  private void publishLiveList() {
    LiveList list = new LiveList(clock.now(), List.copyOf(liveInstances.values()));
    for (FakeEntry entry : entries.values()) {
      if (entry.isAlive() && faults.reachesList(entry.domain().name())) {
        clock.after(shape.listLag(), () -> deliver(entry, new Event.LiveListRead(list)));
      }
    }
    clock.after(LIST_INTERVAL, this::publishLiveList);
  }

  private void tick(FakeEntry entry) {
    if (entry.isRunning()) {
      readStreams(entry);
      handle(entry, new Event.Ticked());
    }
    clock.after(shape.tick(), () -> tick(entry));
  }

  private void readStreams(FakeEntry entry) {
    if (!faults.reachesLog(entry.domain().name())) {
      return;
    }
    for (StreamName stream : entry.engine().followedStreams()) {
      LogModel.Page page = log.read(stream, entry.offset(stream), READ_LIMIT, clock.now());
      Instant visibleUntil = clock.now().minus(faults.readLag());
      List<StoredRecord> visible =
          page.records().stream()
              .filter(record -> !record.appendedAt().isAfter(visibleUntil))
              .toList();
      boolean recordsExpired = page.firstRetained() > entry.offset(stream);
      // An empty read is delivered too while nothing was read yet: it initialises the stream.
      if (recordsExpired || !visible.isEmpty() || entry.offset(stream) == 0) {
        long next = recordsExpired ? page.firstRetained() : entry.offset(stream) + visible.size();
        entry.setOffset(stream, next);
        handle(entry, new Event.StreamRead(stream, page.firstRetained(), visible, true));
      }
    }
  }

  private void deliver(FakeEntry entry, Event event) {
    if (!entry.isAlive()) {
      return;
    }
    if (entry.isFrozen()) {
      entry.defer(event);
    } else {
      handle(entry, event);
    }
  }

  private void handle(FakeEntry entry, Event event) {
    for (Effect effect : entry.engine().handle(event, clock.now())) {
      execute(entry, effect);
    }
  }

  private void execute(FakeEntry entry, Effect effect) {
    if (effect instanceof Effect.Reply reply) {
      Map<Long, Consumer<Answer>> waiting =
          waitingCallers.getOrDefault(entry.name(), new HashMap<>());
      Consumer<Answer> caller = waiting.remove(reply.handle());
      if (caller != null) {
        caller.accept(reply.answer());
      }
    } else if (effect instanceof Effect.CallWorker call) {
      sendAfterDelay(entry, entry.id().incarnation(), () -> callWorker(entry, call));
    } else if (effect instanceof Effect.Append append) {
      sendAfterDelay(entry, entry.id().incarnation(), () -> append(entry, append));
    } else if (effect instanceof Effect.SendToPeer send) {
      sendAfterDelay(entry, entry.id().incarnation(), () -> sendToPeer(entry, send));
    } else if (effect instanceof Effect.RecordTimelineEvent timelineEvent) {
      recordTimelineEvent(entry, timelineEvent);
    } else if (effect instanceof Effect.Drained) {
      callersCutByDrains += waitingCallers.getOrDefault(entry.name(), Map.of()).size();
      killEntry(entry.name());
    }
  }

  /** Sends after a short delay. A frozen sender sends once it is resumed, a dead one never. */
  private void sendAfterDelay(FakeEntry entry, String incarnation, Runnable send) {
    clock.after(
        jitter(),
        () -> {
          boolean sameIncarnation = entry.isAlive() && entry.id().incarnation().equals(incarnation);
          if (sameIncarnation && entry.isFrozen()) {
            clock.after(shape.tick(), () -> sendAfterDelay(entry, incarnation, send));
          } else if (sameIncarnation) {
            send.run();
          }
        });
  }

  private Duration jitter() {
    return Duration.ofNanos(200_000L + random.nextInt(2_000_000));
  }

  private void recordTimelineEvent(FakeEntry entry, Effect.RecordTimelineEvent timelineEvent) {
    timelineEventCounts.merge(timelineEvent.kind(), 1, Integer::sum);
    if (timelineEvent.kind() == TimelineKind.CONFIGURATION_IN_FORCE) {
      long version = Long.parseLong(timelineEvent.subject().substring("version ".length()));
      history.add(new History.VersionInForce(entry.id().toString(), version));
    }
  }

  private void callWorker(FakeEntry entry, Effect.CallWorker effect) {
    String name = effect.worker().name();
    String workerDomain = name.substring(0, name.lastIndexOf('-'));
    if (faults.isDown(name) || !faults.reaches(entry.domain().name(), workerDomain)) {
      boolean refused = random.nextBoolean();
      deliverReply(
          entry, effect, new WorkerReply.NoUsableReply(!refused), refused ? jitter() : TIMEOUT);
      return;
    }
    if (random.nextDouble() < faults.lostShare() / 2) {
      deliverReply(entry, effect, new WorkerReply.NoUsableReply(true), TIMEOUT);
      return;
    }
    WorkerModel worker = workers.get(name);
    if (random.nextDouble() < faults.duplicatedShare()) {
      clock.after(
          Duration.ofMillis(random.nextInt(3000)), () -> worker.handle(effect.call(), clock.now()));
    }
    handleCall(entry, effect, worker);
  }

  private void handleCall(FakeEntry entry, Effect.CallWorker effect, WorkerModel worker) {
    Instant arrivedAt = clock.now();
    if (effect.call() instanceof WorkerCall.ReadReport) {
      WorkerReply report = worker.handle(effect.call(), arrivedAt);
      deliverReply(entry, effect, report, jitter().plus(REPORT_LAG));
      return;
    }
    WorkerReply reply = worker.handle(effect.call(), arrivedAt);
    // A start that is not kept is a request: the worker answers it when the run has ended.
    boolean answersAtEnd =
        effect.call() instanceof WorkerCall.StartTask start
            && !start.kept()
            && reply instanceof WorkerReply.AttemptState;
    if (answersAtEnd) {
      WorkerCall.StartTask start = (WorkerCall.StartTask) effect.call();
      Instant end = worker.expectedEndOf(start.attempt()).orElse(arrivedAt);
      Instant answerAt = end.isAfter(start.horizon()) ? start.horizon() : end;
      clock.at(answerAt, () -> answerWithTaskEnd(entry, effect, worker, start));
    } else {
      answerCall(entry, effect, reply);
    }
  }

  private void answerWithTaskEnd(
      FakeEntry entry, Effect.CallWorker effect, WorkerModel worker, WorkerCall.StartTask start) {
    WorkerReply reply = worker.handle(new WorkerCall.ReadTask(start.attempt()), clock.now());
    boolean ended =
        reply instanceof WorkerReply.AttemptState state
            && state.view().phase() == AttemptPhase.ENDED;
    answerCall(entry, effect, ended ? reply : new WorkerReply.NoUsableReply(true));
  }

  private void answerCall(FakeEntry entry, Effect.CallWorker effect, WorkerReply reply) {
    String name = effect.worker().name();
    String workerDomain = name.substring(0, name.lastIndexOf('-'));
    boolean lost =
        faults.isDown(name)
            || !faults.reaches(entry.domain().name(), workerDomain)
            || faults.consumeLostAnswer(name)
            || random.nextDouble() < faults.lostShare() / 2;
    if (lost) {
      deliverReply(entry, effect, new WorkerReply.NoUsableReply(true), TIMEOUT);
      return;
    }
    WorkerReply delivered = reply;
    if (reply instanceof WorkerReply.AttemptState state) {
      if (lastAttemptState.isPresent() && random.nextDouble() < faults.misdeliveredShare()) {
        delivered = lastAttemptState.get();
      }
      lastAttemptState = Optional.of(state);
    }
    deliverReply(entry, effect, delivered, jitter());
  }

  private void deliverReply(
      FakeEntry entry, Effect.CallWorker effect, WorkerReply reply, Duration delay) {
    String incarnation = entry.id().incarnation();
    clock.after(
        delay,
        () -> {
          if (entry.isAlive() && entry.id().incarnation().equals(incarnation)) {
            deliver(entry, new Event.WorkerReplied(effect.worker(), effect.call(), reply));
          }
        });
  }

  private void append(FakeEntry entry, Effect.Append effect) {
    if (!faults.reachesLog(entry.domain().name())) {
      AppendResult result = random.nextBoolean() ? AppendResult.REFUSED : AppendResult.LOST;
      deliverAppendResult(entry, effect, result, TIMEOUT);
      return;
    }
    LogModel.NewRecord record =
        new LogModel.NewRecord(effect.recordId(), RecordCodec.encode(effect.record()));
    clock.after(
        faults.logDelay(),
        () -> {
          boolean appended = log.append(effect.stream(), List.of(record), clock.now()).isPresent();
          if (appended && random.nextDouble() < faults.duplicatedShare()) {
            log.append(effect.stream(), List.of(record), clock.now());
          }
          AppendResult result = appended ? AppendResult.APPENDED : AppendResult.REFUSED;
          boolean lost = appended && faults.logLosesAnswers();
          deliverAppendResult(entry, effect, lost ? AppendResult.LOST : result, jitter());
        });
  }

  private void deliverAppendResult(
      FakeEntry entry, Effect.Append effect, AppendResult result, Duration delay) {
    String incarnation = entry.id().incarnation();
    clock.after(
        delay,
        () -> {
          if (entry.isAlive() && entry.id().incarnation().equals(incarnation)) {
            List<String> ids = List.of(effect.recordId());
            deliver(entry, new Event.AppendEnded(effect.stream(), ids, result));
          }
        });
  }

  private void sendToPeer(FakeEntry sender, Effect.SendToPeer effect) {
    FakeEntry receiver = entries.get(effect.address());
    boolean lost = random.nextDouble() < faults.lostShare();
    if (receiver == null || lost) {
      return;
    }
    int copies = random.nextDouble() < faults.duplicatedShare() ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      clock.after(jitter(), () -> receive(sender, receiver, effect.envelope()));
    }
  }

  private void receive(FakeEntry sender, FakeEntry receiver, Envelope envelope) {
    if (faults.reaches(sender.domain().name(), receiver.domain().name())) {
      deliver(receiver, new Event.PeerMessageReceived(envelope));
    }
  }

  /** Creates the event that represents a caller's call. */
  public interface CallFactory {

    /** Returns the event, given the handle that identifies the caller. */
    Event create(long handle);
  }

  /**
   * The size and settings of a cell.
   *
   * @param domains the failure domains
   * @param entriesPerDomain the number of entry instances in each failure domain
   * @param workersPerDomain the number of workers in each failure domain
   * @param workerCapacity the capacity of each worker
   * @param slots the number of tasks that a worker can run at once
   * @param listLag the age of the live list when an entry instance reads it
   * @param tick the interval at which each engine gets a tick event
   * @param settings the settings of all engines
   */
  public record CellShape(
      List<String> domains,
      int entriesPerDomain,
      int workersPerDomain,
      Resources workerCapacity,
      int slots,
      Duration listLag,
      Duration tick,
      EngineSettings settings) {

    /** Copies the list of failure domains. */
    public CellShape {
      domains = List.copyOf(domains);
    }
  }
}
