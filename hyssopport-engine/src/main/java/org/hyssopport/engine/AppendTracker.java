package org.hyssopport.engine;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.hyssopport.engine.platform.AppendResult;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.work.StreamFollower.AppliedRecord;
import org.hyssopport.engine.work.StreamRecord;

/**
 * Tracks appended records until they are read back from the log, and reports the result of each.
 *
 * <p>A record whose append was not answered is recognised by its id when it is read.
 */
final class AppendTracker {

  private final EngineContext context;
  private final Map<String, TrackedAppend> tracked = new HashMap<>();
  private Instant nextSweep = Instant.EPOCH;

  AppendTracker(EngineContext context) {
    this.context = context;
  }

  /**
   * Appends a record and calls the listener exactly once: when the record is applied, when it is
   * refused, or when its deadline has passed.
   */
  void append(StreamName stream, StreamRecord record, Instant deadline, Listener listener) {
    String id = context.append(stream, record);
    tracked.put(id, new TrackedAppend(deadline, listener));
  }

  int trackedCount() {
    return tracked.size();
  }

  void onAppendEnded(Event.AppendEnded event) {
    if (event.result() != AppendResult.REFUSED) {
      return;
    }
    for (String id : event.recordIds()) {
      TrackedAppend entry = tracked.remove(id);
      if (entry != null) {
        entry.listener().onRefused();
      }
    }
  }

  void onRecordsApplied(List<AppliedRecord> records) {
    for (AppliedRecord record : records) {
      TrackedAppend entry = tracked.remove(record.stored().id());
      if (entry != null) {
        entry.listener().onApplied(record.valid());
      }
    }
  }

  void tick() {
    if (context.now().isBefore(nextSweep)) {
      return;
    }
    nextSweep = context.now().plus(context.settings().heartbeatInterval());
    List<String> expired =
        tracked.entrySet().stream()
            .filter(entry -> !context.now().isBefore(entry.getValue().deadline()))
            .map(Map.Entry::getKey)
            .collect(Collectors.toList());
    for (String id : expired) {
      tracked.remove(id).listener().onExpired();
    }
  }

  /** Receives the result of one append. */
  interface Listener {

    /** The record was read back; {@code valid} is false if it did not change the state. */
    void onApplied(boolean valid);

    /** The log definitely did not store the record. */
    void onRefused();

    /** The record was not read back by its deadline; it may still be in the log. */
    void onExpired();
  }

  /**
   * A record that has not been read back yet.
   *
   * @param deadline when the listener is notified that the record was not read back
   * @param listener receives the result
   */
  private record TrackedAppend(Instant deadline, Listener listener) {}
}
