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
 * Several engines joined to the cores of the stand-ins, with faults, on one fake clock.
 *
 * <p>Each engine's effects become calls to the stand-ins' cores after a short delay. Every choice
 * comes from one seed, so that the same steps give the same history.
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
  private final Map<String, LiveInstance> listed = new LinkedHashMap<>();
  private final Map<String, Map<Long, Consumer<Answer>>> callers = new HashMap<>();
  private final History history = History.empty();
  private final Map<TimelineKind, Integer> noteCounts = new HashMap<>();
  private Optional<WorkerReply.AttemptState> lastState = Optional.empty();
  private long lastHandle;
  private int cutByDrains;

  private FakeCell(CellShape shape, long seed) {
    this.shape = shape;
    this.random = new Random(seed);
    this.log = LogModel.create(shape.settings().retention(), APPENDS_PER_SECOND);
    for (String domain : shape.domains()) {
      addDomain(domain);
    }
    clock.after(LIST_INTERVAL, this::tellList);
    tellList();
  }

  /** Returns a running cell of the given shape. */
  public static FakeCell create(CellShape shape, long seed) {
    return new FakeCell(shape, seed);
  }

  private void addDomain(String domain) {
    for (int number = 1; number <= shape.entriesPerDomain(); number++) {
      FakeEntry entry = new FakeEntry(domain + "-e" + number, domain);
      entries.put(entry.name(), entry);
      listed.put(entry.name(), listing(entry.name(), domain, LiveInstance.Kind.ENTRY));
      startEntry(entry.name());
      Duration offset = Duration.ofMillis(random.nextInt((int) shape.tick().toMillis()));
      clock.after(offset, () -> tick(entry));
    }
    for (int number = 1; number <= shape.workersPerDomain(); number++) {
      String name = domain + "-w" + number;
      workers.put(name, WorkerModel.create(name));
      listed.put(name, listing(name, domain, LiveInstance.Kind.WORKER));
    }
  }

  private LiveInstance listing(String name, String domain, LiveInstance.Kind kind) {
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

  /** Returns the clock's time. */
  public Instant now() {
    return clock.now();
  }

  /** Returns the faults to set. */
  public NetworkFaults faults() {
    return faults;
  }

  /** Returns the shape. */
  public CellShape shape() {
    return shape;
  }

  /** Returns the history to add to. */
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

  /** Returns a worker's core. */
  public WorkerModel worker(String name) {
    return workers.get(name);
  }

  /** Returns how often something was noted on the time line. */
  public int count(TimelineKind kind) {
    return noteCounts.getOrDefault(kind, 0);
  }

  /** Tells whether an entry instance runs. */
  public boolean isAlive(String entry) {
    return entries.get(entry).isAlive();
  }

  /** Returns how many callers lost their connection because an instance left gracefully. */
  public int cutByDrains() {
    return cutByDrains;
  }

  /** Tells whether an entry instance was told to leave and has not finished. */
  public boolean isDraining(String entry) {
    return entries.get(entry).isAlive() && entries.get(entry).isDraining();
  }

  /** Moves the clock on. */
  public void advance(Duration length) {
    clock.advance(length);
  }

  /** Runs something at a moment. */
  public void at(Instant moment, Runnable action) {
    clock.at(moment, action);
  }

  /** Starts a new run of an entry instance. */
  public void startEntry(String name) {
    FakeEntry entry = entries.get(name);
    if (entry.isAlive()) {
      return;
    }
    List<FailureDomain> domains = shape.domains().stream().map(FailureDomain::new).toList();
    entry.start(domains, shape.settings());
    relist(name, LiveInstance.State.LIVE);
  }

  /** Ends an entry instance at once; its callers lose their connections. */
  public void killEntry(String name) {
    entries.get(name).kill();
    listed.remove(name);
    Map<Long, Consumer<Answer>> waiting = callers.remove(name);
    if (waiting != null) {
      Answer lost = new Answer.Refused(Answer.RefusalKind.UNKNOWN_OUTCOME, List.of());
      waiting.values().forEach(caller -> caller.accept(lost));
    }
  }

  /** Pauses an entry instance, together with what it was about to send. */
  public void freezeEntry(String name) {
    entries.get(name).freeze();
  }

  /** Lets a paused entry instance go on. */
  public void thawEntry(String name) {
    FakeEntry entry = entries.get(name);
    if (entry.isFrozen()) {
      entry.thaw();
      while (!entry.held().isEmpty()) {
        handle(entry, entry.held().remove());
      }
    }
  }

  /** Tells an entry instance to leave. */
  public void drainEntry(String name) {
    FakeEntry entry = entries.get(name);
    if (entry.isAlive()) {
      entry.drain();
      deliver(entry, new Event.DrainRequested());
      relist(name, LiveInstance.State.LEAVING);
    }
  }

  /** Lists a worker as leaving. */
  public void leaveWorker(String name) {
    relist(name, LiveInstance.State.LEAVING);
  }

  private void relist(String name, LiveInstance.State state) {
    boolean worker = workers.containsKey(name);
    LiveInstance.Kind kind = worker ? LiveInstance.Kind.WORKER : LiveInstance.Kind.ENTRY;
    String domain = name.substring(0, name.lastIndexOf('-'));
    LiveInstance line = listing(name, domain, kind);
    listed.put(
        name,
        new LiveInstance(
            name,
            kind,
            line.failureDomain(),
            line.rack(),
            line.address(),
            line.peerAddress(),
            state,
            line.capacity(),
            line.slots(),
            line.connections()));
  }

  /** Sends something to an entry instance as a caller; the answer comes to the consumer. */
  public void call(String entry, CallFactory call, Consumer<Answer> answer) {
    FakeEntry target = entries.get(entry);
    if (!target.isAlive()) {
      answer.accept(new Answer.Refused(Answer.RefusalKind.UNKNOWN_OUTCOME, List.of()));
      return;
    }
    lastHandle++;
    callers.computeIfAbsent(entry, name -> new LinkedHashMap<>()).put(lastHandle, answer);
    deliver(target, call.create(lastHandle));
  }

  private void tellList() {
    LiveList list = new LiveList(clock.now(), List.copyOf(listed.values()));
    for (FakeEntry entry : entries.values()) {
      if (entry.isAlive() && faults.reachesList(entry.domain().name())) {
        clock.after(shape.listLag(), () -> deliver(entry, new Event.LiveListRead(list)));
      }
    }
    clock.after(LIST_INTERVAL, this::tellList);
  }

  private void tick(FakeEntry entry) {
    if (entry.runs()) {
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
      Instant newest = clock.now().minus(faults.readLag());
      List<StoredRecord> visible =
          page.records().stream().filter(record -> !record.appendedAt().isAfter(newest)).toList();
      boolean lapsed = page.firstRetained() > entry.offset(stream);
      if (lapsed || !visible.isEmpty() || entry.offset(stream) == 0) {
        long next = lapsed ? page.firstRetained() : entry.offset(stream) + visible.size();
        entry.moveTo(stream, next);
        handle(entry, new Event.StreamRead(stream, page.firstRetained(), visible, true));
      }
    }
  }

  private void deliver(FakeEntry entry, Event event) {
    if (!entry.isAlive()) {
      return;
    }
    if (entry.isFrozen()) {
      entry.hold(event);
    } else {
      handle(entry, event);
    }
  }

  private void handle(FakeEntry entry, Event event) {
    for (Effect effect : entry.engine().handle(event, clock.now())) {
      perform(entry, effect);
    }
  }

  private void perform(FakeEntry entry, Effect effect) {
    if (effect instanceof Effect.Reply reply) {
      Map<Long, Consumer<Answer>> waiting = callers.getOrDefault(entry.name(), new HashMap<>());
      Consumer<Answer> caller = waiting.remove(reply.handle());
      if (caller != null) {
        caller.accept(reply.answer());
      }
    } else if (effect instanceof Effect.CallWorker call) {
      depart(entry, entry.id().incarnation(), () -> callWorker(entry, call));
    } else if (effect instanceof Effect.Append append) {
      depart(entry, entry.id().incarnation(), () -> append(entry, append));
    } else if (effect instanceof Effect.SendToPeer send) {
      depart(entry, entry.id().incarnation(), () -> sendToPeer(entry, send));
    } else if (effect instanceof Effect.RecordTimelineEvent note) {
      note(entry, note);
    } else if (effect instanceof Effect.Drained) {
      cutByDrains += callers.getOrDefault(entry.name(), Map.of()).size();
      killEntry(entry.name());
    }
  }

  /** Sends after a short delay; a paused sender sends only when it goes on, a dead one never. */
  private void depart(FakeEntry entry, String incarnation, Runnable send) {
    clock.after(
        jitter(),
        () -> {
          boolean sameRun = entry.isAlive() && entry.id().incarnation().equals(incarnation);
          if (sameRun && entry.isFrozen()) {
            clock.after(shape.tick(), () -> depart(entry, incarnation, send));
          } else if (sameRun) {
            send.run();
          }
        });
  }

  private Duration jitter() {
    return Duration.ofNanos(200_000L + random.nextInt(2_000_000));
  }

  private void note(FakeEntry entry, Effect.RecordTimelineEvent note) {
    noteCounts.merge(note.kind(), 1, Integer::sum);
    if (note.kind() == TimelineKind.CONFIGURATION_IN_FORCE) {
      long version = Long.parseLong(note.subject().substring("version ".length()));
      history.add(new History.VersionInForce(entry.id().toString(), version));
    }
  }

  private void callWorker(FakeEntry entry, Effect.CallWorker effect) {
    String name = effect.worker().name();
    String workerDomain = name.substring(0, name.lastIndexOf('-'));
    if (faults.isDown(name) || !faults.reaches(entry.domain().name(), workerDomain)) {
      boolean refused = random.nextBoolean();
      reply(entry, effect, new WorkerReply.NoUsableReply(!refused), refused ? jitter() : TIMEOUT);
      return;
    }
    if (random.nextDouble() < faults.lostShare() / 2) {
      reply(entry, effect, new WorkerReply.NoUsableReply(true), TIMEOUT);
      return;
    }
    WorkerModel worker = workers.get(name);
    if (random.nextDouble() < faults.duplicatedShare()) {
      clock.after(
          Duration.ofMillis(random.nextInt(3000)), () -> worker.handle(effect.call(), clock.now()));
    }
    arrive(entry, effect, worker);
  }

  private void arrive(FakeEntry entry, Effect.CallWorker effect, WorkerModel worker) {
    Instant seen = clock.now();
    if (effect.call() instanceof WorkerCall.ReadReport) {
      WorkerReply report = worker.handle(effect.call(), seen);
      reply(entry, effect, report, jitter().plus(REPORT_LAG));
      return;
    }
    WorkerReply reply = worker.handle(effect.call(), seen);
    boolean waits =
        effect.call() instanceof WorkerCall.StartTask start
            && !start.kept()
            && reply instanceof WorkerReply.AttemptState;
    if (waits) {
      WorkerCall.StartTask start = (WorkerCall.StartTask) effect.call();
      Instant end = worker.endOf(start.attempt()).orElse(seen);
      Instant latest = end.isAfter(start.horizon()) ? start.horizon() : end;
      clock.at(latest, () -> answerRequest(entry, effect, worker, start));
    } else {
      answer(entry, effect, reply);
    }
  }

  private void answerRequest(
      FakeEntry entry, Effect.CallWorker effect, WorkerModel worker, WorkerCall.StartTask start) {
    WorkerReply reply = worker.handle(new WorkerCall.ReadTask(start.attempt()), clock.now());
    boolean ended =
        reply instanceof WorkerReply.AttemptState state
            && state.view().phase() == AttemptPhase.ENDED;
    answer(entry, effect, ended ? reply : new WorkerReply.NoUsableReply(true));
  }

  private void answer(FakeEntry entry, Effect.CallWorker effect, WorkerReply reply) {
    String name = effect.worker().name();
    String workerDomain = name.substring(0, name.lastIndexOf('-'));
    boolean lost =
        faults.isDown(name)
            || !faults.reaches(entry.domain().name(), workerDomain)
            || faults.takeLostAnswer(name)
            || random.nextDouble() < faults.lostShare() / 2;
    if (lost) {
      reply(entry, effect, new WorkerReply.NoUsableReply(true), TIMEOUT);
      return;
    }
    WorkerReply told = reply;
    if (reply instanceof WorkerReply.AttemptState state) {
      if (lastState.isPresent() && random.nextDouble() < faults.crossedShare()) {
        told = lastState.get();
      }
      lastState = Optional.of(state);
    }
    reply(entry, effect, told, jitter());
  }

  private void reply(FakeEntry entry, Effect.CallWorker effect, WorkerReply reply, Duration delay) {
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
      endAppend(entry, effect, result, TIMEOUT);
      return;
    }
    LogModel.NewRecord record =
        new LogModel.NewRecord(effect.recordId(), RecordCodec.encode(effect.record()));
    clock.after(
        faults.logDelay(),
        () -> {
          boolean taken = log.append(effect.stream(), List.of(record), clock.now()).isPresent();
          if (taken && random.nextDouble() < faults.duplicatedShare()) {
            log.append(effect.stream(), List.of(record), clock.now());
          }
          AppendResult result = taken ? AppendResult.APPENDED : AppendResult.REFUSED;
          boolean lost = taken && faults.logLosesAnswers();
          endAppend(entry, effect, lost ? AppendResult.LOST : result, jitter());
        });
  }

  private void endAppend(
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

  /** Creates the event of a call. */
  public interface CallFactory {

    /** Returns the event for a caller's handle. */
    Event create(long handle);
  }

  /**
   * The shape of a cell.
   *
   * @param domains the failure domains
   * @param entriesPerDomain entry instances in each
   * @param workersPerDomain workers in each
   * @param workerCapacity what a worker can hold
   * @param slots what a worker runs at once
   * @param listLag how old the live list is
   * @param tick how often an engine is told that time passed
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

    /** Copies the list. */
    public CellShape {
      domains = List.copyOf(domains);
    }
  }
}
