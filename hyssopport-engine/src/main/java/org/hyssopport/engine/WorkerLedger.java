package org.hyssopport.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.policy.Resources;

/**
 * Tracks the resources and slots that the lease holder has allocated on one worker.
 *
 * <p>An allocation is recorded before the start of its attempt is sent. It remains until the
 * attempt is known to have ended.
 */
final class WorkerLedger {

  private static final int CONTROL_CONNECTIONS = 4;

  private final Resources capacity;
  private final int slots;
  private final int connections;
  private final Map<AttemptId, Allocation> allocations = new HashMap<>();
  private Resources used = Resources.NONE;

  private WorkerLedger(Resources capacity, int slots, int connections) {
    this.capacity = capacity;
    this.slots = slots;
    this.connections = connections;
  }

  static WorkerLedger of(Resources capacity, int slots, int connections) {
    return new WorkerLedger(capacity, slots, connections);
  }

  Resources capacity() {
    return capacity;
  }

  Resources free() {
    return capacity.minus(used);
  }

  int usedSlots() {
    return allocations.size();
  }

  int freeSlots() {
    return Math.max(0, slots - allocations.size());
  }

  boolean isEmpty() {
    return allocations.isEmpty();
  }

  boolean fits(Resources resources, int reservedSlots) {
    int usable = Math.min(slots - reservedSlots, connections - CONTROL_CONNECTIONS);
    return allocations.size() < usable && resources.fitsIn(free());
  }

  /** Records an allocation, which replaces an earlier one of the same attempt. */
  void allocate(AttemptId attempt, Allocation allocation) {
    Allocation before = allocations.put(attempt, allocation);
    if (before != null) {
      used = used.minus(before.resources());
    }
    used = used.plus(allocation.resources());
  }

  void release(AttemptId attempt) {
    Allocation allocation = allocations.remove(attempt);
    if (allocation != null) {
      used = used.minus(allocation.resources());
    }
  }

  Optional<Allocation> allocation(AttemptId attempt) {
    return Optional.ofNullable(allocations.get(attempt));
  }

  /** Releases the reservations that have expired and returns their attempts. */
  List<AttemptId> releaseExpired(Instant now) {
    List<AttemptId> expired = new ArrayList<>();
    allocations.forEach(
        (attempt, allocation) -> {
          if (allocation.expiresAt().map(now::isAfter).orElse(false)) {
            expired.add(attempt);
          }
        });
    expired.forEach(this::release);
    return expired;
  }

  List<AttemptId> attemptsInStage(Allocation.Stage stage) {
    List<AttemptId> found = new ArrayList<>();
    allocations.forEach(
        (attempt, allocation) -> {
          if (allocation.stage() == stage) {
            found.add(attempt);
          }
        });
    return found;
  }

  /** Returns the kept attempts that are known to run. */
  List<AttemptId> runningKept() {
    List<AttemptId> found = new ArrayList<>();
    allocations.forEach(
        (attempt, allocation) -> {
          if (allocation.kept() && allocation.stage().isRunning()) {
            found.add(attempt);
          }
        });
    return found;
  }

  /**
   * The allocation of one attempt.
   *
   * @param resources the allocated resources
   * @param kept whether the attempt outlives the call that starts it
   * @param stage what is known of the attempt
   * @param expiresAt when a reservation expires; empty for other allocations
   */
  record Allocation(Resources resources, boolean kept, Stage stage, Optional<Instant> expiresAt) {

    static Allocation reserved(Resources resources, Instant expiresAt) {
      return new Allocation(resources, true, Stage.RESERVED, Optional.of(expiresAt));
    }

    static Allocation sent(Resources resources, boolean kept) {
      return new Allocation(resources, kept, Stage.SENT, Optional.empty());
    }

    static Allocation running(Resources resources, boolean kept) {
      return new Allocation(resources, kept, Stage.RUNNING, Optional.empty());
    }

    static Allocation reported(Resources resources, boolean kept) {
      return new Allocation(resources, kept, Stage.REPORTED, Optional.empty());
    }

    /** What is known of the attempt of an allocation. */
    enum Stage {
      /** Reserved for a claim that is not in the log yet. */
      RESERVED,
      /** The start was sent; the worker has confirmed neither the start nor the end yet. */
      SENT,
      /** The worker confirmed the start. */
      RUNNING,
      /** Tracked only by the worker's reports, which also show its end. */
      REPORTED;

      boolean isRunning() {
        return this == RUNNING || this == REPORTED;
      }
    }
  }
}
