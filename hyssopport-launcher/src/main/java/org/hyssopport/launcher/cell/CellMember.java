package org.hyssopport.launcher.cell;

import com.sun.net.httpserver.HttpServer;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.SchedulerSettings;
import org.hyssopport.platform.AdviceGateway;
import org.hyssopport.platform.DrainSchedule;
import org.hyssopport.platform.ExchangePhase;
import org.hyssopport.platform.InstanceSettings;
import org.hyssopport.platform.JobApiServer;
import org.hyssopport.platform.MetadataStore;
import org.hyssopport.platform.WorkerGateway;
import org.hyssopport.protocol.FramedLink;
import org.hyssopport.protocol.MemberMessage;
import org.hyssopport.protocol.MessagePackCodec;

/**
 * A running member of a cell: answers callers, takes part in the election of the scheduler, and
 * schedules while it leads.
 *
 * <p>Creates the components of the member and their threads, and dispatches the messages of other
 * members to them.
 *
 * @since 0.2
 * @see InstanceSettings
 */
public final class CellMember implements MemberTransport {

  /** Each request occupies a thread until it is answered, usually for tens of milliseconds. */
  private static final int CALLER_THREADS = 48;

  private static final int REQUEST_QUEUE_CAPACITY = 512;

  /**
   * Readiness checks and metrics use separate threads, so that a burst of callers does not make the
   * member appear dead.
   */
  private static final int OPERATOR_THREADS = 2;

  /** When a failure domain is cut off, each order to it occupies a thread for 0.7 s. */
  private static final int ORDER_THREADS = 64;

  private static final int ORDER_QUEUE_CAPACITY = 4096;

  /** One for each worker; a poll occupies a thread for up to 1 s, waiting for the end of a run. */
  private static final int MAXIMUM_POLL_THREADS = 400;

  /** The advice service handles the calls of an instance one at a time. */
  private static final int ADVICE_THREADS = 2;

  private static final long LEAVING_CHECK_MILLIS = 50;

  /** Applies once the exit is due. */
  private static final long SETTLEMENT_CHECK_MILLIS = 10;

  /** How long answers that are ready may take to be written, once the exit is due. */
  private static final Duration WRITING_TIME = Duration.ofMillis(100);

  /** As often as members exchange heartbeats. */
  private static final long CONFIGURATION_CHECK_MILLIS = 200;

  private final MemberContext context;
  private final ForwardingRequestHandler requestHandler;
  private final SchedulerElection election;
  private final ConfigurationExchange configurationExchange;
  private final FramedLink peerLink;
  private final MessagePackCodec<MemberMessage.MemberEnvelope> codec =
      MessagePackCodec.of(MemberMessage.MemberEnvelope.class);
  private final Optional<AdviceGateway> adviceGateway;
  private final ExecutorService adviceExecutor =
      Threads.bounded("advice", ADVICE_THREADS, REQUEST_QUEUE_CAPACITY);
  private final JobApiServer apiServer;
  private final HttpServer metricsServer;

  private CellMember(InstanceSettings settings, PrintStream out) throws IOException {
    SchedulerSettings schedulerSettings =
        SchedulerSettings.of(settings.longestLease(), settings.gangWindow(), settings.retention());
    context =
        new MemberContext(
            settings,
            schedulerSettings,
            MetadataStore.at(settings.storeAddress()),
            WorkerGateway.create(),
            new MonotonicClock(),
            DecisionLog.start(settings.name(), out),
            new CellMetrics(),
            Threads.bounded("orders", ORDER_THREADS, ORDER_QUEUE_CAPACITY),
            Threads.immediate("looks", MAXIMUM_POLL_THREADS));
    context.log().write("start", startLogFields(settings));
    adviceGateway = settings.adviceAddress().map(AdviceGateway::at);
    ConfigurationFollower configurationFollower =
        new ConfigurationFollower(context.store(), context.log());
    election = new SchedulerElection(context, this, this::deliverAnswer);
    requestHandler = new ForwardingRequestHandler(context, configurationFollower, election);
    configurationFollower.setReadListener(election::recordStoreAvailability);
    configurationExchange = new ConfigurationExchange(context, configurationFollower, this);
    configurationFollower.setConfigurationListener(
        (configuration, source) -> {
          context.metrics().recordConfiguration(configuration.version(), source.name());
          election.applyConfiguration(configuration);
        });
    election.setNewSchedulerListener(requestHandler::resendOpenRequests);
    election.setNotTakenListener(requestHandler::onNotTaken);
    peerLink =
        FramedLink.open(
            new InetSocketAddress(settings.ip(), settings.peerPort()),
            this::receiveFrame,
            fault -> context.log().write("peer link fault", Map.of("detail", fault)));
    registerGauges();
    registerBacklogGauges();
    context
        .metrics()
        .registerOrganisations(
            () -> election.activeTerm().map(SchedulerTerm::organisationUsage).orElse(List.of()));
    Threads.start("configuration", configurationFollower);
    Threads.start("membership", election::runMembership);
    Threads.start("presence", election::runHeartbeats);
    Threads.start("live-list", election::runLiveList);
    Threads.start("configuration-requests", this::runConfigurationRequests);
    ExecutorService callerExecutor =
        Threads.bounded("callers", CALLER_THREADS, REQUEST_QUEUE_CAPACITY);
    ExecutorService operatorExecutor =
        Threads.bounded("operators", OPERATOR_THREADS, REQUEST_QUEUE_CAPACITY);
    apiServer = openApiServer(callerExecutor, operatorExecutor);
    registerExchangeGauge();
    metricsServer = startMetricsServer(operatorExecutor);
  }

  private void registerGauges() {
    context
        .metrics()
        .gauge(
            "hyssopport_cell_open_requests",
            "Requests of callers that wait for an answer.",
            requestHandler::inFlight);
    context
        .metrics()
        .gaugeIfKnown(
            "hyssopport_cell_active_jobs",
            "Jobs that have not ended; stated only by the scheduler, once it knows them.",
            election::activeJobs);
  }

  private void registerExchangeGauge() {
    context
        .metrics()
        .gauge(
            "hyssopport_cell_open_exchanges",
            "Exchanges with callers, from their dispatch until their answer is written.",
            () -> apiServer.openExchanges().values().stream().mapToInt(Integer::intValue).sum());
  }

  private void registerBacklogGauges() {
    for (CongestionDetector.Backlog backlog : CongestionDetector.Backlog.values()) {
      context
          .metrics()
          .gaugeIfKnown(
              "hyssopport_cell_oldest_" + backlog.name().toLowerCase(Locale.ROOT) + "_millis",
              "How long the oldest element of this queue waits; stated only by the scheduler.",
              () -> election.backlogMillis(backlog));
    }
  }

  /** Listens for callers; if that fails, releases the address for other members. */
  private JobApiServer openApiServer(Executor callerExecutor, Executor operatorExecutor)
      throws IOException {
    try {
      return JobApiServer.open(
          context.settings(), requestHandler, context.clock(), callerExecutor, operatorExecutor);
    } catch (IOException e) {
      peerLink.close();
      throw e;
    }
  }

  /** Serves the metrics; if that fails, releases the addresses that are open already. */
  private HttpServer startMetricsServer(Executor operatorExecutor) throws IOException {
    InstanceSettings settings = context.settings();
    try {
      return context.metrics().startServer(settings.ip(), settings.metricsPort(), operatorExecutor);
    } catch (IOException e) {
      apiServer.close();
      peerLink.close();
      throw e;
    }
  }

  /**
   * Starts a member.
   *
   * @param settings the settings of its instance
   * @param out the stream that its log is written to
   * @return the running member
   * @throws IOException if an address can't be bound
   */
  public static CellMember start(InstanceSettings settings, PrintStream out) throws IOException {
    return new CellMember(settings, out);
  }

  /** Returns the port that was bound for callers. */
  int callerPort() {
    return apiServer.callerPort();
  }

  private static Map<String, Object> startLogFields(InstanceSettings settings) {
    Map<String, Object> fields = new HashMap<>();
    fields.put("callers", settings.callerAddress());
    fields.put("peers", settings.peerAddress());
    fields.put("store", settings.storeAddress());
    fields.put("failureDomain", settings.failureDomain());
    return fields;
  }

  /**
   * Logs whether the settings file could be read again. A running member keeps its addresses.
   *
   * @param settings the settings, or why the file can't be read
   */
  public void logReload(Either<?, InstanceSettings> settings) {
    context.log().write("reload", Map.of("read", settings.isRight()));
  }

  private void deliverAnswer(long number, CallerAnswer answer) {
    requestHandler.onSchedulerAnswer(number, answer);
  }

  @Override
  public void send(String address, MemberMessage message) {
    if (address.equals(context.settings().peerAddress())) {
      dispatch(address, message);
    } else {
      peerLink.send(
          address,
          codec.encode(
              new MemberMessage.MemberEnvelope(context.settings().peerAddress(), message)));
    }
  }

  @Override
  public void reconnect(String address) {
    peerLink.disconnect(address);
  }

  private void receiveFrame(byte[] payload) {
    Either<String, MemberMessage.MemberEnvelope> decoded = codec.decode(payload);
    if (decoded.isLeft() || decoded.get().message() == null || decoded.get().sender() == null) {
      context
          .log()
          .write(
              "member message not decodable; dropped",
              Map.of("detail", decoded.isLeft() ? decoded.getLeft() : "empty"));
      return;
    }
    dispatch(decoded.get().sender(), decoded.get().message());
  }

  private void dispatch(String sender, MemberMessage message) {
    message
        .configurationVersion()
        .ifPresent(version -> configurationExchange.onOffer(sender, version));
    if (message instanceof MemberMessage.ForwardedAnswer answer) {
      requestHandler.onSchedulerAnswer(answer.number(), answer.answer());
    } else if (message instanceof MemberMessage.AdviceRequest adviceRequest) {
      queueAdviceRequest(sender, adviceRequest);
    } else if (message instanceof MemberMessage.ConfigurationRequest
        || message instanceof MemberMessage.ConfigurationCopy) {
      configurationExchange.receive(sender, message);
    } else {
      election.receive(sender, message);
    }
  }

  private void runConfigurationRequests() {
    while (Threads.pause(CONFIGURATION_CHECK_MILLIS)) {
      Threads.runRound(
          "configuration-requests",
          () -> configurationExchange.askIfNothingIsHeard(election.memberAddresses()));
    }
  }

  /** Queues a request for advice; if too many wait, answers at once that there is no advice. */
  private void queueAdviceRequest(String sender, MemberMessage.AdviceRequest request) {
    try {
      adviceExecutor.execute(() -> answerAdviceRequest(sender, request));
    } catch (RejectedExecutionException e) {
      context
          .log()
          .write(
              "advice request refused: too many wait",
              Map.of("sender", sender, "call", request.call()));
      send(
          sender,
          new MemberMessage.AdviceAnswer(request.term(), request.call(), Optional.empty(), 0));
    }
  }

  private void answerAdviceRequest(String sender, MemberMessage.AdviceRequest request) {
    Optional<AdviceGateway.Advice> answer =
        adviceGateway.flatMap(
            gateway ->
                gateway.requestAdvice(
                    request.step(), request.workers(), Duration.ofMillis(request.withinMillis())));
    Optional<Map<String, String>> tickets =
        answer.map(
            advice -> {
              Map<String, String> ticketTexts = new HashMap<>();
              advice.tickets().forEach((worker, text) -> ticketTexts.put(worker.name(), text));
              return ticketTexts;
            });
    long validMillis = answer.map(AdviceGateway.Advice::validMillis).orElse(0L);
    send(
        sender,
        new MemberMessage.AdviceAnswer(request.term(), request.call(), tickets, validMillis));
  }

  /**
   * Leaves the cell: reports the member as not ready, hands over leadership, answers the requests
   * in flight, at the longest until shortly before the grace period ends, and stops the servers.
   *
   * @param terminatedAtNanos when the platform told the process to leave, as {@link
   *     System#nanoTime} returned it
   */
  public void leave(long terminatedAtNanos) {
    Instant terminatedAt =
        context.clock().instant().minusNanos(System.nanoTime() - terminatedAtNanos);
    DrainSchedule schedule = DrainSchedule.of(terminatedAt, context.settings().grace());
    context.log().write("stop", Map.of("inFlight", requestHandler.inFlight()));
    apiServer.startLeaving(schedule);
    requestHandler.startLeaving();
    // The call that leaves the group may wait for the store for as long as the process has.
    Threads.start("leave-group", election::leave);
    drain(schedule);
    Map<String, Object> fields = stoppedLogFields(schedule, apiServer.openExchanges());
    apiServer.close();
    metricsServer.stop(0);
    context.log().write("stopped", fields);
    context.log().awaitWritten(context.clock(), schedule.logsWrittenBy());
  }

  /** Serves callers until no exchange is open, at the longest until the exit is due. */
  private void drain(DrainSchedule schedule) {
    if (!serveUntilIdle(schedule)) {
      settleBeforeExit(schedule);
    }
  }

  /** Returns whether the server was closed since no exchange was open. */
  private boolean serveUntilIdle(DrainSchedule schedule) {
    while (context.clock().instant().isBefore(schedule.exitBy())) {
      if (context.clock().instant().isAfter(schedule.answerBy())) {
        apiServer.settleExchanges();
      }
      boolean noticed = context.clock().instant().isAfter(schedule.noticedBy());
      if (noticed && apiServer.tryClose()) {
        return true;
      }
      if (!Threads.pause(LEAVING_CHECK_MILLIS)) {
        return false;
      }
    }
    return false;
  }

  /**
   * Answers what is still open once the exit is due. A pause of the process, or want of processor
   * time, may have taken all of the time in which that was to be done.
   */
  private void settleBeforeExit(DrainSchedule schedule) {
    Instant leastUntil = context.clock().instant().plus(WRITING_TIME);
    Instant until = schedule.settledBy().isAfter(leastUntil) ? schedule.settledBy() : leastUntil;
    apiServer.settleExchanges();
    while (!apiServer.allExchangesAnswered()
        && context.clock().instant().isBefore(until)
        && Threads.pause(SETTLEMENT_CHECK_MILLIS)) {
      apiServer.settleExchanges();
    }
    Instant writtenBy = context.clock().instant().plus(WRITING_TIME);
    while (!apiServer.tryClose()
        && context.clock().instant().isBefore(writtenBy)
        && Threads.pause(SETTLEMENT_CHECK_MILLIS)) {
      // Waits until the answers are written.
    }
  }

  private Map<String, Object> stoppedLogFields(
      DrainSchedule schedule, Map<ExchangePhase, Integer> openExchanges) {
    Map<String, Object> fields = new HashMap<>();
    fields.put("inFlight", requestHandler.inFlight());
    fields.put("schedulerKnown", election.schedulerSeenRecently());
    fields.put(
        "millisSinceStop",
        Duration.between(schedule.terminatedAt(), context.clock().instant()).toMillis());
    openExchanges.forEach(
        (phase, count) -> {
          fields.put(phase.name().toLowerCase(Locale.ROOT), count);
          context.metrics().countExchangesCut(phase.name(), count);
        });
    return fields;
  }
}
