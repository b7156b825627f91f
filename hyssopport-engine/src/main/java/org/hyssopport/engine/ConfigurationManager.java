package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import org.hyssopport.engine.Answer.ConfigurationAnswer;
import org.hyssopport.engine.Answer.RefusalKind;
import org.hyssopport.engine.PeerMessage.ConfigurationOffered;
import org.hyssopport.engine.PeerMessage.ConfigurationQuery;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.work.ConfigurationProjection;
import org.hyssopport.engine.work.StreamRecord.Checkpoint;
import org.hyssopport.engine.work.StreamRecord.ConfigurationChanged;
import org.hyssopport.policy.ConfigurationReader;

/**
 * Holds the configuration in force, publishes changes to the log and exchanges newer versions with
 * peers.
 *
 * <p>The order of the log decides which change is accepted. An instance applies only versions newer
 * than its own, whether read from the log or offered by a peer, so it never returns to an older
 * one.
 */
final class ConfigurationManager {

  private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration QUERY_INTERVAL = Duration.ofMillis(500);
  private static final Duration CHECKPOINT_RETRY_INTERVAL = Duration.ofSeconds(30);
  private static final int CHECKPOINTS_PER_RETENTION = 3;

  private final EngineContext context;
  private final FollowedStreams streams;
  private final AppendTracker tracker;
  private final Membership membership;
  private long version = ConfigurationProjection.NO_VERSION;
  private String text = "";
  private Instant nextQuery = Instant.EPOCH;
  private Instant nextCheckpoint = Instant.EPOCH;

  ConfigurationManager(
      EngineContext context,
      FollowedStreams streams,
      AppendTracker tracker,
      Membership membership) {
    this.context = context;
    this.streams = streams;
    this.tracker = tracker;
    this.membership = membership;
  }

  long version() {
    return version;
  }

  void query(long handle) {
    if (version == ConfigurationProjection.NO_VERSION) {
      context.reply(handle, Answers.notFound("configuration", "none is in force"));
    } else {
      context.reply(handle, new ConfigurationAnswer(version, text));
    }
  }

  void publish(Event.ConfigurationPublishRequested event) {
    var checked = ConfigurationReader.read(event.text());
    if (checked.isLeft()) {
      context.reply(event.handle(), new Answer.Refused(RefusalKind.INVALID, checked.getLeft()));
      return;
    }
    if (event.base() < version) {
      context.reply(event.handle(), new Answer.StaleBase(event.base(), version));
      return;
    }
    tracker.append(
        FollowedStreams.CONFIGURATION,
        new ConfigurationChanged(event.base(), event.text()),
        context.now().plus(PUBLISH_TIMEOUT),
        new PublishListener(event));
  }

  /** Applies the log's newest configuration if it is newer than the one in force here. */
  void applyFromLog() {
    ConfigurationProjection projection = streams.configuration().projection();
    projection.text().ifPresent(newText -> apply(projection.version(), newText));
  }

  private void apply(long newVersion, String newText) {
    if (newVersion <= version) {
      return;
    }
    var checked = ConfigurationReader.read(newText);
    if (checked.isLeft()) {
      return;
    }
    version = newVersion;
    text = newText;
    context.setConfiguration(checked.get());
    context.recordTimelineEvent(
        TimelineKind.CONFIGURATION_IN_FORCE, "version " + version, checked.get().name());
  }

  /** Asks a peer for its configuration if its heartbeat named a newer version. */
  void queryIfNewer(Membership.Peer peer) {
    boolean newer = peer.configurationVersion() > version;
    if (newer && !context.now().isBefore(nextQuery)) {
      nextQuery = context.now().plus(QUERY_INTERVAL);
      send(peer, new ConfigurationQuery());
    }
  }

  void onConfigurationQuery(EntryId sender) {
    if (version != ConfigurationProjection.NO_VERSION) {
      membership
          .reachablePeer(sender)
          .ifPresent(peer -> send(peer, new ConfigurationOffered(version, text)));
    }
  }

  void onConfigurationOffered(ConfigurationOffered offer) {
    nextQuery = context.now();
    apply(offer.version(), offer.text());
  }

  private void send(Membership.Peer peer, PeerMessage message) {
    context.emit(
        new Effect.SendToPeer(
            peer.address(), new PeerMessage.Envelope(context.self(), peer.id(), message)));
  }

  /** Appends a checkpoint of the configuration before the log drops the record that holds it. */
  void tick() {
    Duration interval = context.settings().retention().dividedBy(CHECKPOINTS_PER_RETENTION);
    boolean due =
        streams
            .configuration()
            .oldestNeededAt()
            .map(at -> context.now().isAfter(at.plus(interval)))
            .orElse(false);
    boolean firstRanked = membership.rank("configuration-checkpoint") == 0;
    boolean initialized = streams.configuration().isInitialized();
    if (!due || !firstRanked || !initialized || context.now().isBefore(nextCheckpoint)) {
      return;
    }
    nextCheckpoint = context.now().plus(CHECKPOINT_RETRY_INTERVAL);
    long covered = streams.configuration().nextOffset() - 1;
    String state = streams.configuration().projection().snapshot();
    context.append(FollowedStreams.CONFIGURATION, new Checkpoint(covered, state));
  }

  /**
   * Replies to the operator once the record of the change is applied, refused or not read back in
   * time.
   */
  private final class PublishListener implements AppendTracker.Listener {

    private final Event.ConfigurationPublishRequested event;

    private PublishListener(Event.ConfigurationPublishRequested event) {
      this.event = event;
    }

    @Override
    public void onApplied(boolean valid) {
      applyFromLog();
      Answer answer =
          valid
              ? new ConfigurationAnswer(
                  streams.configuration().projection().version(), event.text())
              : new Answer.StaleBase(event.base(), streams.configuration().projection().version());
      context.reply(event.handle(), answer);
    }

    @Override
    public void onRefused() {
      context.reply(event.handle(), Answers.unavailable(Reason.LOG_UNAVAILABLE));
    }

    @Override
    public void onExpired() {
      String lost = Reason.LOG_ANSWER_LOST.text();
      context.reply(event.handle(), Answers.refused(RefusalKind.UNKNOWN_OUTCOME, "", lost));
    }
  }
}
